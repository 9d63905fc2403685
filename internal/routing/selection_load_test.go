package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

var _ = Describe("hard loads", func() {
	const endpoints, start = 20, time.Minute
	var pool *Pool
	BeforeEach(func() {
		var all []sessions.Endpoint
		for i := range endpoints {
			all = append(all, told(fmt.Sprintf("i-%04x", 7919*i%65536), "m"))
		}
		pool = NewPool(rand.New(rand.NewPCG(1, 2)))
		pool.Update(start, all, true)
	})

	It("do not crowd the endpoints of a beginning that half of all requests share", func() {
		const requests, atOnce = 4000, 30
		counts := map[string]int{}
		var underWay []*Endpoint
		for i := range requests {
			q := Query{Service: "s", Model: "m", Affinity: uint64(1 + i%2*(i+1))}
			e, verdict := pool.Pick(start, q)
			Expect(verdict).To(Equal(Picked))
			pool.Begin(e)
			counts[e.ID]++
			if underWay = append(underWay, e); len(underWay) > atOnce {
				pool.End(start, underWay[0], q, Served, false)
				underWay = underWay[1:]
			}
		}
		for id, count := range counts {
			Expect(count).To(BeNumerically("<", 2.5*requests/endpoints), id)
		}
	})

	It("go by the word of control sidecars while it is a second old, and no longer when it is three", func() {
		loads := map[string]FleetLoad{}
		idle := pool.services["s"][0].ID
		for _, e := range pool.services["s"][1:] {
			loads[e.ID] = FleetLoad{InFlight: 9, Waiting: 9}
		}
		pool.SetFleetLoads(start, loads)
		share := func(at time.Duration) int { return pickCounts(pool, at)[idle] }
		Expect(share(start + time.Second)).To(BeNumerically(">", 60))
		Expect(share(start + othersFor)).To(BeNumerically("<", 50))
	})
})

// pickCounts counts four hundred picks by endpoint.
func pickCounts(pool *Pool, at time.Duration) map[string]int {
	counts := map[string]int{}
	for range 400 {
		if e, verdict := pool.Pick(at, Query{Service: "s", Model: "m"}); verdict == Picked {
			counts[e.ID]++
		}
	}
	return counts
}
