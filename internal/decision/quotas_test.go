package decision

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestTenantBeyondQuotaIsRefusedFirst(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "a", QuotaPerS: 5}, {Name: "b", QuotaPerS: 100}}
	h := start(t, s, 1)
	h.serve(100, nil)
	for i := range 150 {
		h.b.Request(h.now, Request{ID: RequestID(fmt.Sprint("t", i)), Tenant: i % 2, Remaining: 1500 * ms})
	}
	for range 20 {
		h.advance(20 * ms)
		for _, r := range slices.Clone(h.b.listed[0].calls) {
			h.reportOutcome(sentCall{id: r.id, to: 1, attempt: r.attempts - 1}, OK, 20*ms)
		}
	}
	served := map[bool]int{} // by whether the tenant is the one beyond its quota
	for _, s := range h.sent[100:] {
		served[(s.id[len(s.id)-1]-'0')%2 == 0]++
	}
	if served[true] >= served[false] {
		t.Errorf("%d calls of the tenant beyond its share, %d of the one within", served[true], served[false])
	}
}

// A tenant that sends an instance one request every three seconds never had a whole token in a bucket of
// one second's quota, and counted as beyond its quota with every request.
func TestSmallTenantIsWithinQuota(t *testing.T) {
	s := settings()
	s.Instances = 100
	s.Tenants = []Tenant{{Name: "small", QuotaPerS: 40}, {Name: "large", QuotaPerS: 1000}}
	h := start(t, s, 50)
	low := 0
	for i := range 60 {
		id := RequestID(fmt.Sprint("t", i))
		h.b.Request(h.now, Request{ID: id, Remaining: 1500 * ms})
		if h.b.requests[id].overQuota {
			low++
		}
		h.advance(20 * ms)
		h.reportOutcome(h.last(), OK, 20*ms)
		h.advance(2980 * ms)
	}
	if low > 6 {
		t.Errorf("%d of 60 requests beyond a share that is never passed", low)
	}
}

// Callers come unevenly: an instance that served five times an even part of all quotas refused four of five
// requests, though the endpoints had capacity. A tenant that floods is still refused first once capacity is
// short.
func TestOverQuotaIsRefusedOnlyWhereCapacityIsShort(t *testing.T) {
	s := settings()
	s.Instances = 20
	s.Tenants = []Tenant{{Name: "a", QuotaPerS: 100}, {Name: "b", QuotaPerS: 100}}
	for name, c := range map[string]struct {
		floods      int // requests of tenant a for one of b
		endpoints   int
		least, most int // of 1000 of a that are refused
		mostB       int
		every       time.Duration // between two answers
	}{
		"uneven, with room":       {1, 20, 0, 0, 0, 20 * ms},
		"a flood, with room":      {8, 20, 0, 0, 0, 20 * ms},
		"a flood, capacity short": {8, 1, 400, 1000, 12, 60 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, s, c.endpoints)
			refused, answered, last := map[bool]int{}, 0, h.now
			for i := range 1000 * (c.floods + 1) / c.floods {
				h.n++
				b := i%(c.floods+1) == 0
				id := RequestID(fmt.Sprint(b, h.n))
				h.b.Request(h.now, Request{ID: id, Tenant: map[bool]int{true: 1}[b], Remaining: 1500 * ms})
				h.advance(20 * ms)
				for ; answered < len(h.sent) && h.now-last >= c.every; last += c.every {
					x := h.sent[answered]
					h.reportOutcome(x, OK, h.now-h.b.requests[x.id].sentAt)
					answered++
				}
			}
			for _, id := range h.refusals {
				refused[strings.HasPrefix(string(id), "true")]++
			}
			if n := refused[false]; n < c.least || n > c.most {
				t.Errorf("%d of 1000 refused of who floods, want %d to %d", n, c.least, c.most)
			}
			if n := refused[true]; n > c.mostB {
				t.Errorf("%d of %d refused of the other, want at most %d", n, 1000/c.floods, c.mostB)
			}
		})
	}
}

// A shortage of capacity in the past says nothing about the present: in each case a request would be
// refused or queued for good without its cause.
func TestShortageEndsWithItsCause(t *testing.T) {
	s := settings()
	s.ClientsMarkRetries = true
	s.Tenants = []Tenant{{Name: "a", QuotaPerS: 100}}
	slow := func(h *harness) { // calls that take three times what is usual
		h.serve(100, nil)
		for range 200 {
			h.request(read)
			h.advance(60 * ms)
			h.reportOutcome(h.last(), OK, 400*ms)
		}
	}
	t.Run("a repeat after a silence", func(t *testing.T) {
		h := start(t, s, 20)
		slow(h)
		if h.b.latencyPressure <= 1 {
			t.Fatalf("strain %.2f: nothing is tested", h.b.latencyPressure)
		}
		h.advance(10 * time.Second)
		at := len(h.sent)
		h.b.Request(h.now, Request{ID: "again", Remaining: 1500 * ms, IsRetry: true})
		if len(h.sent) == at {
			t.Error("refused beside idle servers, for calls that were slow ten seconds ago")
		}
	})
	t.Run("a pace as servers come", func(t *testing.T) {
		s := s
		s.Instances = 30
		h := start(t, s, 20)
		slow(h)
		if !h.b.isPaced {
			t.Fatal("not paced: nothing is tested")
		}
		l := List{Kind: DeltaList, Version: 2}
		for id := EndpointID(21); id <= 40; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Weight: 1})
		}
		h.b.Targets(h.now, l)
		h.advance(2 * time.Second)
		h.serve(20, nil)
		if h.b.isPaced {
			t.Error("calls are paced for good once there are more endpoints than instances")
		}
	})
	t.Run("no shares at all", func(t *testing.T) {
		s := s
		s.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
		h := start(t, s, 20)
		h.serve(100, nil)
		if _, err := json.Marshal(h.b.Snapshot(h.now)); err != nil {
			t.Error("what is learnt cannot be told to a successor:", err)
		}
		if len(h.refusals) > 0 {
			t.Errorf("%d of 100 refused beside idle servers", len(h.refusals))
		}
		if id := h.request(read); !h.b.requests[id].overQuota {
			t.Error("within a share of nothing")
		}
	})
}

// Quota shares set what tenants and retries may use, whatever is served here; a share that shrinks takes
// saved tokens with it.
func TestQuotaSharesReplaceEvenQuotas(t *testing.T) {
	s := settings()
	s.Instances, s.Tenants = 10, []Tenant{{Name: "one", QuotaPerS: 100}}
	h := start(t, s, 4)
	within := func(n int) float64 {
		before := h.b.Usage()[0]
		for range n {
			h.b.isOverQuota(h.now, Request{})
		}
		after := h.b.Usage()[0]
		if after.Asked-before.Asked != float64(n) {
			t.Errorf("%v asked of %d", after.Asked-before.Asked, n)
		}
		return after.WithinQuota - before.WithinQuota
	}
	allot := func(part, floor float64, until time.Duration) {
		h.b.SetQuotaShares(h.now, QuotaShares{TenantRates: []float64{part}, TenantFallbackRates: []float64{floor}, RetryRate: part / 25, RetryFallbackRate: floor, Until: until})
	}
	allot(50, 50, 0)
	h.now += 100 * time.Second
	if got := within(1000); got != 50*tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v within 50 a second after a pause", got)
	}
	h.now += 100 * time.Second
	allot(1, 1, 0)
	if got := within(1000); got != tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v within 1 a second after a pause", got)
	}
	// A lease of 50 a second for 2 s, and nobody says that it has ended, as in a process that was stopped: what it brought
	// counts for no more than the floor's bucket holds, and after it the floor comes.
	h.now += 100 * time.Second
	within(1000)
	allot(50, 2, h.now+2*time.Second)
	h.now += time.Second
	if got := within(1000); got != 50 {
		t.Errorf("%v within the first second of a lease of 50", got)
	}
	h.now += 100 * time.Second
	if got := within(1000); got != 2*tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v after the lease has ended, want the floor's", got)
	}
	h.now += time.Second
	if got := within(1000); got != 2 {
		t.Errorf("%v in a second by the floor of 2", got)
	}
	// Further attempts come by their rate, and by the floor from its end on; answers earn none.
	allot(50, 0, h.now+time.Second)
	h.b.retryTokens = 0
	for range 100 {
		h.b.refillRetryBudget()
	}
	if h.b.retryTokens > 0 {
		t.Errorf("answers earned %v further attempts", h.b.retryTokens)
	}
	h.now += 10 * time.Second
	if allot(50, 0, 0); h.b.retryTokens != 1 { // 2 came, of which without a rate one is kept
		t.Errorf("%v further attempts after a second of 2 and nine of none", h.b.retryTokens)
	}
	h.b.SetQuotaShares(h.now, QuotaShares{RetryRate: -1})
	if h.b.refillRetryBudget(); h.b.retryTokens <= 1 {
		t.Error("answers earn nothing again")
	}
}
