package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

var _ = Describe("endpoint selection under load", func() {
	const endpoints, start = 20, time.Minute
	var pool *Pool
	BeforeEach(func() {
		var all []sessions.Endpoint
		for i := range endpoints {
			all = append(all, session(fmt.Sprintf("i-%04x", 7919*i%65536), "m"))
		}
		pool = NewPool(rand.New(rand.NewPCG(1, 2)))
		pool.Update(start, all, true)
	})

	It("does not overload the preferred endpoints of an affinity that half of all requests have", func() {
		const requests, concurrency = 4000, 30
		counts := map[string]int{}
		var inFlight []*Endpoint
		for i := range requests {
			q := Query{Service: "s", Model: "m", Affinity: uint64(1 + i%2*(i+1))}
			e, result := pool.Select(start, q)
			Expect(result).To(Equal(Selected))
			pool.BeginCall(e)
			counts[e.ID]++
			if inFlight = append(inFlight, e); len(inFlight) > concurrency {
				pool.EndCall(start, inFlight[0], q, Succeeded, false)
				inFlight = inFlight[1:]
			}
		}
		for id, count := range counts {
			Expect(count).To(BeNumerically("<", 2.5*requests/endpoints), id)
		}
	})

	It("uses the sums of all proxies after one second, and ignores them after fleetLoadTTL", func() {
		loads := map[string]FleetLoad{}
		idle := pool.byService["s"][0].ID
		for _, e := range pool.byService["s"][1:] {
			loads[e.ID] = FleetLoad{InFlight: 9, Waiting: 9}
		}
		pool.SetFleetLoads(start, loads)
		selected := func(at time.Duration) int { return countSelections(pool, at)[idle] }
		Expect(selected(start + time.Second)).To(BeNumerically(">", 60))
		Expect(selected(start + fleetLoadTTL)).To(BeNumerically("<", 50))
	})
})

// countSelections makes 400 selections and counts them by endpoint ID.
func countSelections(pool *Pool, at time.Duration) map[string]int {
	counts := map[string]int{}
	for range 400 {
		if e, result := pool.Select(at, Query{Service: "s", Model: "m"}); result == Selected {
			counts[e.ID]++
		}
	}
	return counts
}
