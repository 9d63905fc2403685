package routing

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

var _ = Describe("an endpoint that leaves", func() {
	var pool *Pool
	in := func(state sessions.State) []sessions.Endpoint {
		endpoint := told("i", "m")
		endpoint.State = state
		return []sessions.Endpoint{endpoint}
	}
	BeforeEach(func() {
		pool = NewPool(rand.New(rand.NewPCG(1, 1)))
		pool.Update(0, in(sessions.Ready), true)
	})

	It("is not brought back by a control sidecar that has not heard of its end", func() {
		pool.Update(time.Second, in(sessions.Departed), false)
		pool.Update(2*time.Second, in(sessions.Ready), true)
		Expect(pool.Find("i")).To(BeNil())
	})

	It("takes no new calls once it drains, whatever another control sidecar says", func() {
		pool.Update(time.Second, in(sessions.Draining), false)
		pool.Update(2*time.Second, in(sessions.Ready), true)
		Expect(pool.Find("i").Mark()).To(Equal(Leaving))
	})

	It("is remembered for a bounded time", func() {
		pool.Update(time.Second, in(sessions.Departed), false)
		pool.Age(2*time.Second + rememberGone)
		Expect(pool.gone).To(BeEmpty())
	})
})
