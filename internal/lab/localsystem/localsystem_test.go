package localsystem

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// operatorWithAnswer returns an operator whose control process always answers with the status and body.
func operatorWithAnswer(t *testing.T, status int, body string) *Operator {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return newOperator([]string{strings.TrimPrefix(server.URL, "http://")})
}

func TestChangeThatIsRejectedIsDetected(t *testing.T) {
	o := operatorWithAnswer(t, http.StatusPreconditionFailed, "")
	o.change(make(chan struct{}))
	if len(o.violations) != 1 || o.changes != 0 {
		t.Errorf("violations %q, %d changes", o.violations, o.changes)
	}
}

func TestReadOfOlderVersionIsDetected(t *testing.T) {
	o := operatorWithAnswer(t, http.StatusOK, `{"version":3}`)
	o.acknowledged = 3
	if !o.read() || len(o.violations) != 0 {
		t.Errorf("violations %q", o.violations)
	}
	o.acknowledged = 4
	if !o.read() || len(o.violations) != 1 {
		t.Errorf("violations %q", o.violations)
	}
}

func TestEndpointDetectsRequestsAfterItsDrainAndLowerTokens(t *testing.T) {
	e := &Endpoint{id: "e-1", models: []string{"a"}}
	request := func() {
		r := httptest.NewRequest(http.MethodGet, requestPath, http.NoBody)
		r.Header.Set("X-Model", "a")
		e.handleRequest(httptest.NewRecorder(), r)
	}
	order := func(token int) {
		body := strings.NewReader(fmt.Sprintf(`{"operation":"loading","model":"b","fencing_token":%d}`, token))
		e.handleOrder(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/order", body))
	}
	request()
	order(2)
	e.drainedAt = time.Now()
	request()
	if len(e.violations) != 0 {
		t.Errorf("violations %q", e.violations)
	}
	e.drainedAt = time.Now().Add(-2 * drainGracePeriod)
	request()
	order(1)
	if len(e.violations) != 2 {
		t.Errorf("violations %q", e.violations)
	}
}

// A request that one proxy does not answer must reach the other proxy, also while other requests advance the turn.
func TestRequestTriesEachProxyOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	c := newClients([]string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")})
	var requests sync.WaitGroup
	for range 50 {
		requests.Go(func() { c.Request("a") })
	}
	requests.Wait()
	if c.answers[http.StatusOK] != 50 {
		t.Errorf("answers %v", c.answers)
	}
}
