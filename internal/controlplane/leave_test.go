package controlplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"dykering/internal/chain"
	"dykering/internal/protocol"
)

// restartWithShortGrace starts members with the grace period of the other specs, so that the end of this one need not wait.
func restartWithShortGrace(members ...*member) {
	for _, m := range members {
		m.settings.Bounds.GracePeriodS = 3
		m.start()
	}
}

var _ = Describe("two of three members that leave at once", func() {
	const longGracePeriod = 600 // seconds; it must not end within the spec

	It("leave one by one: the last is needed until it gets a second signal", func() {
		members := newMembers(3)
		for _, m := range members {
			m.settings.Bounds.GracePeriodS = longGracePeriod
			m.start()
		}
		DeferCleanup(members[0].signal) // the first of two: it would wait for the others, which have stopped
		changeUntilAcknowledged(members[0], 1, 0)
		members[1].signal()
		members[2].signal()
		first := make(chan *member, 2)
		for _, m := range members[1:] {
			go func() {
				m.finished <- <-m.finished
				first <- m
			}()
		}
		var voters []chain.Member
		var gone *member
		eventually(first).Should(Receive(&gone))
		needed, _ := lo.Find(members[1:], func(m *member) bool { return m != gone })

		address := members[0].settings.InternalAddress(members[0].settings.IPAddress)
		eventually(func(g Gomega) {
			status, err := AskStatus(address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.InForce).To(BeTrue())
			g.Expect(status.View.Chain).To(HaveLen(2))
			g.Expect(status.Tolerance).To(HaveField("Losses", -1))
			g.Expect(status.Tolerance.Leaving).To(HaveLen(2))
			voters = status.View.Voters
		}).Should(Succeed())
		changeUntilAcknowledged(members[0], 2, 1)
		Expect(first).NotTo(Receive())

		needed.signal()
		eventually(first).Should(Receive(Equal(needed)))
		gone.awaitEnd()
		needed.awaitEnd()
		restartWithShortGrace(gone, needed)
		eventually(func(g Gomega) {
			status, err := AskStatus(address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.Tolerance).To(HaveValue(Equal(protocol.Tolerance{Losses: 1})))
			g.Expect(status.View.Voters).To(ConsistOf(voters))
		}).Should(Succeed())
	})
})
