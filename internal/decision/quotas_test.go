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
	served := map[bool]int{} // calls of the tenant beyond its quota (true) and within it (false)
	for _, s := range h.sent[100:] {
		served[(s.id[len(s.id)-1]-'0')%2 == 0]++
	}
	if served[true] >= served[false] {
		t.Errorf("%d calls of the tenant beyond its quota, want fewer than the %d of the other",
			served[true], served[false])
	}
}

// A tenant that sends an instance one request every three seconds is within its quota. With a bucket that
// holds only one second of the quota it would never have a whole token.
func TestSmallTenantIsWithinQuota(t *testing.T) {
	s := settings()
	s.Instances = 100
	s.Tenants = []Tenant{{Name: "small", QuotaPerS: 40}, {Name: "large", QuotaPerS: 1000}}
	h := start(t, s, 50)
	overQuota := 0
	for i := range 60 {
		id := RequestID(fmt.Sprint("t", i))
		h.b.Request(h.now, Request{ID: id, Remaining: 1500 * ms})
		if h.b.requests[id].overQuota {
			overQuota++
		}
		h.advance(20 * ms)
		h.reportOutcome(h.last(), OK, 20*ms)
		h.advance(2980 * ms)
	}
	if overQuota > 6 {
		t.Errorf("%d of 60 requests beyond a quota that is never exceeded, want at most 6", overQuota)
	}
}

// Callers are unevenly distributed. An instance that serves several times an even part of all quotas must not
// refuse requests while the endpoints have capacity. When capacity is short, a tenant that floods is refused
// first.
func TestOverQuotaIsRefusedOnlyWhereCapacityIsShort(t *testing.T) {
	s := settings()
	s.Instances = 20
	s.Tenants = []Tenant{{Name: "a", QuotaPerS: 100}, {Name: "b", QuotaPerS: 100}}
	for name, c := range map[string]struct {
		aPerB                    int // requests of tenant a for each one of tenant b
		endpoints                int
		minRefusedA, maxRefusedA int // refused requests of tenant a, of 1000
		maxRefusedB              int
		answerInterval           time.Duration
	}{
		"uneven, with capacity": {1, 20, 0, 0, 0, 20 * ms},
		"flood, with capacity":  {8, 20, 0, 0, 0, 20 * ms},
		"flood, capacity short": {8, 1, 400, 1000, 12, 60 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, s, c.endpoints)
			refused, answered, last := map[bool]int{}, 0, h.now
			for i := range 1000 * (c.aPerB + 1) / c.aPerB {
				h.n++
				isB := i%(c.aPerB+1) == 0
				id := RequestID(fmt.Sprint(isB, h.n))
				h.b.Request(h.now, Request{ID: id, Tenant: map[bool]int{true: 1}[isB], Remaining: 1500 * ms})
				h.advance(20 * ms)
				for ; answered < len(h.sent) && h.now-last >= c.answerInterval; last += c.answerInterval {
					call := h.sent[answered]
					h.reportOutcome(call, OK, h.now-h.b.requests[call.id].sentAt)
					answered++
				}
			}
			for _, id := range h.refusals {
				refused[strings.HasPrefix(string(id), "true")]++
			}
			if n := refused[false]; n < c.minRefusedA || n > c.maxRefusedA {
				t.Errorf("%d of 1000 requests of tenant a refused, want %d to %d", n, c.minRefusedA, c.maxRefusedA)
			}
			if n := refused[true]; n > c.maxRefusedB {
				t.Errorf("%d of %d requests of tenant b refused, want at most %d", n, 1000/c.aPerB, c.maxRefusedB)
			}
		})
	}
}

// A past shortage of capacity must not affect later requests. In each case a request would otherwise be
// refused, or paced, after the cause has ended.
func TestShortageEndsWithItsCause(t *testing.T) {
	s := settings()
	s.ClientsMarkRetries = true
	s.Tenants = []Tenant{{Name: "a", QuotaPerS: 100}}
	slowDown := func(h *harness) { // calls take many times the usual latency
		h.serve(100, nil)
		for range 200 {
			h.request(read)
			h.advance(60 * ms)
			h.reportOutcome(h.last(), OK, 400*ms)
		}
	}
	t.Run("a retry after a pause", func(t *testing.T) {
		h := start(t, s, 20)
		slowDown(h)
		if h.b.latencyPressure <= 1 {
			t.Fatalf("latency pressure %.2f, want more than 1 to test its end", h.b.latencyPressure)
		}
		h.advance(10 * time.Second)
		before := len(h.sent)
		h.b.Request(h.now, Request{ID: "retry", Remaining: 1500 * ms, IsRetry: true})
		if len(h.sent) == before {
			t.Error("a request was refused with idle endpoints, because calls were slow ten seconds ago")
		}
	})
	t.Run("pacing when endpoints are added", func(t *testing.T) {
		s := s
		s.Instances = 30
		h := start(t, s, 20)
		slowDown(h)
		if !h.b.isPaced {
			t.Fatal("sends are not paced, so the end of pacing is not tested")
		}
		l := List{Kind: DeltaList, Version: 2}
		for id := EndpointID(21); id <= 40; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, Weight: 1})
		}
		h.b.Targets(h.now, l)
		h.advance(2 * time.Second)
		h.serve(20, nil)
		if h.b.isPaced {
			t.Error("sends are still paced although endpoints outnumber instances")
		}
	})
	t.Run("all quotas are 0", func(t *testing.T) {
		s := s
		s.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
		h := start(t, s, 20)
		h.serve(100, nil)
		if _, err := json.Marshal(h.b.Snapshot(h.now)); err != nil {
			t.Error("the snapshot cannot be encoded:", err)
		}
		if len(h.refusals) > 0 {
			t.Errorf("%d of 100 requests refused with idle endpoints, want 0", len(h.refusals))
		}
		if id := h.request(read); !h.b.requests[id].overQuota {
			t.Error("a request counts as within a quota of 0")
		}
	})
}

// Quota shares set the rates of tenants and retries, regardless of the answer rate of this instance. A lower
// rate also lowers the capacity of the bucket, and with it the number of saved tokens.
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
			t.Errorf("%v requests counted, want %d", after.Asked-before.Asked, n)
		}
		return after.WithinQuota - before.WithinQuota
	}
	setShares := func(rate, fallback float64, until time.Duration) {
		h.b.SetQuotaShares(h.now, QuotaShares{
			TenantRates: []float64{rate}, TenantFallbackRates: []float64{fallback},
			RetryRate: rate / 25, RetryFallbackRate: fallback, Until: until,
		})
	}
	setShares(50, 50, 0)
	h.now += 100 * time.Second
	if got := within(1000); got != 50*tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v requests within a quota of 50 per second after a pause", got)
	}
	h.now += 100 * time.Second
	setShares(1, 1, 0)
	if got := within(1000); got != tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v requests within a quota of 1 per second after a pause", got)
	}
	// A rate of 50 per second expires after 2 s, and no event arrives at that time, as in a suspended
	// process. Saved tokens count up to the capacity at the fallback rate, which applies from the expiry on.
	h.now += 100 * time.Second
	within(1000)
	setShares(50, 2, h.now+2*time.Second)
	h.now += time.Second
	if got := within(1000); got != 50 {
		t.Errorf("%v requests within the first second of a rate of 50, want 50", got)
	}
	h.now += 100 * time.Second
	if got := within(1000); got != 2*tenantBurstSeconds+tenantBurstBase {
		t.Errorf("%v requests after the rate expired, want a full bucket at the fallback rate", got)
	}
	h.now += time.Second
	if got := within(1000); got != 2 {
		t.Errorf("%v requests in a second at the fallback rate of 2, want 2", got)
	}
	// Retry tokens arrive at their rate, and at the fallback rate after its expiry. Answers add none.
	setShares(50, 0, h.now+time.Second)
	h.b.retryTokens = 0
	for range 100 {
		h.b.refillRetryBudget()
	}
	if h.b.retryTokens > 0 {
		t.Errorf("answers added %v retry tokens, want 0", h.b.retryTokens)
	}
	h.now += 10 * time.Second
	if setShares(50, 0, 0); h.b.retryTokens != 1 { // 2 tokens arrived; the capacity at a rate of 0 is 1
		t.Errorf("%v retry tokens after a second at 2 per second and nine at 0, want 1", h.b.retryTokens)
	}
	h.b.SetQuotaShares(h.now, QuotaShares{RetryRate: -1})
	if h.b.refillRetryBudget(); h.b.retryTokens <= 1 {
		t.Error("answers add no retry tokens after the fleet has left the budget to them")
	}
}
