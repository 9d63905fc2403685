package controlplane

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"dykering/internal/coordination"
	"dykering/internal/errkind"
)

// FuzzCoordinationBody checks that any body is either decoded or rejected as malformed, and that validated values are
// within their bounds.
func FuzzCoordinationBody(f *testing.F) {
	f.Add(`{"lease_holder":"a3.7","fencing_token":41,"hold_ms":3000}`)
	f.Add(`{"value":"5c0e7a21d94b36f8","if_revision":907}`)
	f.Add(`{"hold_ms":1e999,"fencing_token":-1}`)
	f.Add(`{"lease_holder":"\ud800","value":null}`)
	f.Add(`{}`)
	f.Add(``)
	f.Fuzz(func(t *testing.T, text string) {
		request := httptest.NewRequest(http.MethodPost, "/locks/l/begin", strings.NewReader(text))
		var lock lockRequest
		expectReadOrMalformed(t, readJSON(request, &lock))
		command := coordination.Command{Operation: coordination.BeginLock, Name: "l", Holder: lock.Holder, HoldMs: lock.HoldMs}
		if command.Validate() == nil && (lock.HoldMs <= 0 || lock.HoldMs > coordination.MaxHoldMs || lock.Holder == "") {
			t.Fatalf("the body %q passes validation as %+v", text, lock)
		}

		request = httptest.NewRequest(http.MethodPost, "/cells/g.a/replace", strings.NewReader(text))
		var put putRequest
		expectReadOrMalformed(t, readJSON(request, &put))
		if put.Value == nil {
			return
		}
		command = coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: *put.Value}
		if command.Validate() == nil && len(*put.Value) > coordination.MaxValueBytes {
			t.Fatalf("a value of %d bytes passes validation", len(*put.Value))
		}
	})
}

// expectReadOrMalformed fails the test for an error of another kind than errkind.Malformed and errkind.TooLarge.
func expectReadOrMalformed(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	if kind := errkind.KindOf(err); kind != errkind.Malformed && kind != errkind.TooLarge {
		t.Fatalf("the error has the unexpected kind %v: %v", kind, err)
	}
}

// FuzzWatchQuery checks that any query is either parsed or rejected as malformed, and that the wait is within its
// bounds.
func FuzzWatchQuery(f *testing.F) {
	f.Add("930", "2000")
	f.Add("", "")
	f.Add("-1", "1e300")
	f.Add("18446744073709551615", "Inf")
	f.Add("0", "NaN")
	f.Add("0x1", "-0")
	f.Fuzz(func(t *testing.T, after, wait string) {
		query := url.Values{"after": {after}, "wait_ms": {wait}}
		request := httptest.NewRequest(http.MethodGet, "/watch/g.?"+query.Encode(), nil)
		_, duration, err := readWatch(request)
		expectReadOrMalformed(t, err)
		if duration < 0 || duration > maxWatchWait || err != nil && duration != time.Duration(0) {
			t.Fatalf("after %q, wait %q: %s, %v", after, wait, duration, err)
		}
	})
}
