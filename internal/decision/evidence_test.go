package decision

import (
	"testing"
	"time"
)

// The evidence of other instances ejects an endpoint that has not answered this instance since, up to half of
// the list. The ejection is not reported as evidence of this instance until a trial call has failed. An
// endpoint that has answered is not ejected, and is reported as healthy if it is among the candidates.
func TestPeerEjectionAppliesUnlessEndpointAnsweredSince(t *testing.T) {
	h := start(t, settings(), 6)
	h.serve(60, func(EndpointID) Status { return OK })
	eject := func(age time.Duration, ids ...EndpointID) int {
		var ejections []PeerEjection
		for _, id := range ids {
			ejections = append(ejections, PeerEjection{Endpoint: id, Age: age})
		}
		return h.b.ApplyPeerEjections(h.now, ejections)
	}
	if n := eject(time.Minute, 1, 2, 99); n != 0 {
		t.Errorf("%d endpoints ejected that have answered since, want 0", n)
	}
	h.advance(time.Second)
	if n := eject(0, 1, 2, 3, 4, 5, 6); n != 3 {
		t.Errorf("%d of 6 endpoints ejected, want 3", n)
	}
	e := h.b.Evidence(h.now, []EndpointID{1, 5, 99})
	if len(e) != 1 || e[0].Endpoint != 5 || e[0].Ejected || e[0].Age < time.Second {
		t.Errorf("evidence %+v, want only that endpoint 5 answered at least one second ago", e)
	}
	if got := h.serve(40, func(to EndpointID) Status {
		if to == 1 {
			return ConnectFailed
		}
		return OK
	}); got[2] == 0 || got[3] == 0 || got[1] == 0 {
		t.Errorf("calls by endpoint %v, want trial calls to 1, 2 and 3", got)
	}
	e = h.b.Evidence(h.now, nil)
	if len(e) != 1 || e[0].Endpoint != 1 || !e[0].Ejected {
		t.Errorf("evidence %+v, want only that endpoint 1 is ejected", e)
	}
}
