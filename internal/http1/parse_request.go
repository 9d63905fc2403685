package http1

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykering/internal/decision"
)

// singletonHeaders must not be repeated, because an endpoint may use a different one of two values.
var singletonHeaders = []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining", "Idempotency-Key"}

// parseRequest parses the fields of a request's head that the core needs.
func (s *Server) parseRequest(head *http.Request) (*request, *requestError) {
	switch {
	case head.ContentLength > maxStreamedBody:
		return nil, &requestError{http.StatusRequestEntityTooLarge, "request body too large"}
	case head.Header.Get("Expect") != "" && !expectsContinue(head):
		return nil, &requestError{http.StatusExpectationFailed, "Expect: only 100-continue is known"}
	case !strings.HasPrefix(head.RequestURI, "/"):
		return nil, badRequest("not a path: this is no proxy for other hosts")
	}
	for _, name := range singletonHeaders {
		if len(head.Header[name]) > 1 {
			return nil, badRequest(name + ": repeated")
		}
	}
	req := newRequest()
	if invalid := s.parseHeaders(req, head.Header); invalid != nil {
		return nil, invalid
	}
	if invalid := s.checkMethod(req, head); invalid != nil {
		return nil, invalid
	}
	req.IsRetry = head.Header.Get("X-Resent") == "1"
	return req, nil
}

// parseHeaders parses the id, class, remaining time and tenant of a request.
func (s *Server) parseHeaders(req *request, header http.Header) *requestError {
	req.ID = decision.RequestID(header.Get("X-Txn"))
	if req.ID == "" || len(req.ID) > maxIDLength {
		return badRequest("X-Txn: missing or too long")
	}
	var ok bool
	if req.Class, ok = s.classes[header.Get("X-Lane")]; !ok {
		return badRequest("X-Lane: unknown class")
	}
	if req.Remaining, ok = parseRemaining(header.Get("X-Remaining")); !ok {
		return badRequest("X-Remaining: not a time in m or u that can be waited")
	}
	if deadline := s.config.Settings.Classes[req.Class].Deadline; deadline > 0 {
		// No client waits longer than the deadline of its class. The balancer estimates from these times
		// how long clients wait.
		req.Remaining = min(req.Remaining, deadline)
	}
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[header.Get("X-Org")]; !ok {
			return badRequest("X-Org: unknown tenant")
		}
	}
	return nil
}

// checkMethod checks that a request has the method, and if necessary the idempotency key, that its
// class requires.
func (s *Server) checkMethod(req *request, head *http.Request) *requestError {
	effect := s.config.Settings.Classes[req.Class].Effect
	if effect == decision.Keyed && head.Header.Get("Idempotency-Key") == "" {
		return badRequest("Idempotency-Key: missing") // endpoints could not recognize a retry
	}
	isGet := head.Method == http.MethodGet
	if (effect == decision.Safe) != isGet || !isGet && head.Method != http.MethodPost {
		return badRequest(head.Method + ": not the method of this class")
	}
	return nil
}

// parseRemaining parses a decimal number with a unit: m for milliseconds or u for microseconds.
func parseRemaining(text string) (remaining time.Duration, ok bool) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
	}
	if strings.Trim(digits, "0123456789.") != "" {
		return 0, false // ParseFloat also accepts signs, exponents, "inf" and "nan"
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(n >= 0 && n <= float64(maxRemaining/unit)) {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}

// hopByHop lists the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop removes the hop-by-hop headers and those that the Connection header lists.
func removeHopByHop(h http.Header) {
	for _, line := range slices.Clone(h["Connection"]) {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// expectsContinue reports whether a client waits for a 100 response before it sends its body (RFC
// 9110, section 10.1.1).
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
