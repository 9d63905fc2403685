package decision

import (
	"testing"
	"time"
)

// The word of others marks an endpoint that has not answered since, up to half of the list, and is not told on as own
// evidence until a trial of this instance's own failed; one that answered here is kept, and told as good where asked.
func TestPeerEjectionAppliesUnlessEndpointAnsweredSince(t *testing.T) {
	d := start(t, settings(), 6)
	d.serve(60, func(EndpointID) Status { return OK })
	bad := func(age time.Duration, ids ...EndpointID) int {
		var a []PeerEjection
		for _, id := range ids {
			a = append(a, PeerEjection{Endpoint: id, Age: age})
		}
		return d.b.ApplyPeerEjections(d.now, a)
	}
	if n := bad(time.Minute, 1, 2, 99); n != 0 {
		t.Errorf("%d marked that answered since", n)
	}
	d.advance(time.Second)
	if n := bad(0, 1, 2, 3, 4, 5, 6); n != 3 {
		t.Errorf("%d of 6 marked, want half", n)
	}
	if e := d.b.Evidence(d.now, []EndpointID{1, 5, 99}); len(e) != 1 || e[0].Endpoint != 5 || e[0].Ejected || e[0].Age < time.Second {
		t.Errorf("evidence %+v, want that 5 answered a second ago", e)
	}
	if got := d.serve(40, func(to EndpointID) Status {
		if to == 1 {
			return ConnectFailed
		}
		return OK
	}); got[2] == 0 || got[3] == 0 || got[1] == 0 {
		t.Errorf("no trials: %v", got)
	}
	e := d.b.Evidence(d.now, nil)
	if len(e) != 1 || e[0].Endpoint != 1 || !e[0].Ejected {
		t.Errorf("evidence %+v, want 1 bad by its trial", e)
	}
}

// Shares and further attempts that are allotted are what may be spent, whatever is served; a part that falls takes what
// was saved up with it.
func TestQuotaSharesReplaceEvenQuotas(t *testing.T) {
	s := settings()
	s.Instances, s.Tenants = 10, []Tenant{{Name: "one", QuotaPerS: 100}}
	d := start(t, s, 4)
	within := func(n int) float64 {
		before := d.b.Usage()[0]
		for range n {
			d.b.isOverQuota(d.now, Request{})
		}
		after := d.b.Usage()[0]
		if after.Asked-before.Asked != float64(n) {
			t.Errorf("%v asked of %d", after.Asked-before.Asked, n)
		}
		return after.WithinQuota - before.WithinQuota
	}
	allot := func(part, floor float64, until time.Duration) {
		d.b.SetQuotaShares(d.now, QuotaShares{TenantRates: []float64{part}, TenantFallbackRates: []float64{floor}, RetryRate: part / 25, RetryFallbackRate: floor, Until: until})
	}
	allot(50, 50, 0)
	d.now += 100 * time.Second
	if got := within(1000); got != 50*tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v within 50 a second after a pause", got)
	}
	d.now += 100 * time.Second
	allot(1, 1, 0)
	if got := within(1000); got != tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v within 1 a second after a pause", got)
	}
	// A lease of 50 a second for 2 s, and nobody says that it has ended, as in a process that was stopped: what it brought
	// counts for no more than the floor's bucket holds, and after it the floor comes.
	d.now += 100 * time.Second
	within(1000)
	allot(50, 2, d.now+2*time.Second)
	d.now += time.Second
	if got := within(1000); got != 50 {
		t.Errorf("%v within the first second of a lease of 50", got)
	}
	d.now += 100 * time.Second
	if got := within(1000); got != 2*tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v after the lease has ended, want the floor's", got)
	}
	d.now += time.Second
	if got := within(1000); got != 2 {
		t.Errorf("%v in a second by the floor of 2", got)
	}
	// Further attempts come by their rate, and by the floor from its end on; answers earn none.
	allot(50, 0, d.now+time.Second)
	d.b.retryTokens = 0
	for range 100 {
		d.b.earnRetry()
	}
	if d.b.retryTokens > 0 {
		t.Errorf("answers earned %v further attempts", d.b.retryTokens)
	}
	d.now += 10 * time.Second
	if allot(50, 0, 0); d.b.retryTokens != 1 { // 2 came, of which without a rate one is kept
		t.Errorf("%v further attempts after a second of 2 and nine of none", d.b.retryTokens)
	}
	d.b.SetQuotaShares(d.now, QuotaShares{RetryRate: -1})
	if d.b.earnRetry(); d.b.retryTokens <= 1 {
		t.Error("answers earn nothing again")
	}
}
