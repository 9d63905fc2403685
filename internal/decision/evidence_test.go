package decision

import (
	"testing"
	"time"
)

// The evidence of other instances ejects an endpoint that has not answered since, up to half of the list,
// and is not passed on as own evidence until an own trial call has failed. An endpoint that has answered
// here is kept, and reported as good where asked.
func TestPeerEjectionAppliesUnlessEndpointAnsweredSince(t *testing.T) {
	h := start(t, settings(), 6)
	h.serve(60, func(EndpointID) Status { return OK })
	bad := func(age time.Duration, ids ...EndpointID) int {
		var a []PeerEjection
		for _, id := range ids {
			a = append(a, PeerEjection{Endpoint: id, Age: age})
		}
		return h.b.ApplyPeerEjections(h.now, a)
	}
	if n := bad(time.Minute, 1, 2, 99); n != 0 {
		t.Errorf("%d marked that answered since", n)
	}
	h.advance(time.Second)
	if n := bad(0, 1, 2, 3, 4, 5, 6); n != 3 {
		t.Errorf("%d of 6 marked, want half", n)
	}
	if e := h.b.Evidence(h.now, []EndpointID{1, 5, 99}); len(e) != 1 || e[0].Endpoint != 5 || e[0].Ejected || e[0].Age < time.Second {
		t.Errorf("evidence %+v, want that 5 answered a second ago", e)
	}
	if got := h.serve(40, func(to EndpointID) Status {
		if to == 1 {
			return ConnectFailed
		}
		return OK
	}); got[2] == 0 || got[3] == 0 || got[1] == 0 {
		t.Errorf("no trials: %v", got)
	}
	e := h.b.Evidence(h.now, nil)
	if len(e) != 1 || e[0].Endpoint != 1 || !e[0].Ejected {
		t.Errorf("evidence %+v, want 1 bad by its trial", e)
	}
}
