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
	sessionIn := func(state sessions.State) []sessions.Endpoint {
		endpoint := session("i", "m")
		endpoint.State = state
		return []sessions.Endpoint{endpoint}
	}
	BeforeEach(func() {
		pool = NewPool(rand.New(rand.NewPCG(1, 1)))
		pool.Update(0, sessionIn(sessions.Ready), true)
	})

	It("is not added again by a control process with an older state", func() {
		pool.Update(time.Second, sessionIn(sessions.Departed), false)
		pool.Update(2*time.Second, sessionIn(sessions.Ready), true)
		Expect(pool.Find("i")).To(BeNil())
	})

	It("stays draining when another control process still reports it ready", func() {
		pool.Update(time.Second, sessionIn(sessions.Draining), false)
		pool.Update(2*time.Second, sessionIn(sessions.Ready), true)
		Expect(pool.Find("i").State()).To(Equal(Draining))
	})

	It("is remembered as departed for departedTTL", func() {
		pool.Update(time.Second, sessionIn(sessions.Departed), false)
		pool.Expire(2*time.Second + departedTTL)
		Expect(pool.departed).To(BeEmpty())
	})
})
