package routing

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

var _ = Describe("an endpoint that deregisters or drains", func() {
	var pool *Pool
	in := func(state sessions.State) []sessions.Endpoint {
		endpoint := session("i", "m")
		endpoint.State = state
		return []sessions.Endpoint{endpoint}
	}
	BeforeEach(func() {
		pool = NewPool(rand.New(rand.NewPCG(1, 1)))
		pool.Update(0, in(sessions.Ready), true)
	})

	It("stays removed after a control process with older state names it", func() {
		pool.Update(time.Second, in(sessions.Departed), false)
		pool.Update(2*time.Second, in(sessions.Ready), true)
		Expect(pool.Find("i")).To(BeNil())
	})

	It("gets no new calls once it drains, though another control process reports it ready", func() {
		pool.Update(time.Second, in(sessions.Draining), false)
		pool.Update(2*time.Second, in(sessions.Ready), true)
		Expect(pool.Find("i").State()).To(Equal(Draining))
	})

	It("is remembered as departed for a bounded time", func() {
		pool.Update(time.Second, in(sessions.Departed), false)
		pool.Expire(2*time.Second + departedTTL)
		Expect(pool.departed).To(BeEmpty())
	})
})
