package controlplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"dykering/internal/chain"
	"dykering/internal/protocol"
)

// restartWithShortGrace starts members with the grace period of the other specs, so that stopping them at the end of
// the spec does not take long.
func restartWithShortGrace(members ...*member) {
	for _, m := range members {
		m.settings.Bounds.GracePeriodS = 3
		m.start()
	}
}

var _ = Describe("two of three members that leave at once", func() {
	const longGracePeriod = 600 // seconds; it must not expire during the spec

	It("leave one after the other: the last one is needed and stays until a second signal", func() {
		members := newMembers(3)
		for _, m := range members {
			m.settings.Bounds.GracePeriodS = longGracePeriod
			m.start()
		}
		// This is the first of two signals; the cleanup of newMembers sends the second. With one signal the member would
		// wait for the others, which have stopped.
		DeferCleanup(members[0].signal)
		changeUntilAcknowledged(members[0], 1, 0)
		members[1].signal()
		members[2].signal()
		ended := make(chan *member, 2)
		for _, m := range members[1:] {
			go func() {
				m.finished <- <-m.finished
				ended <- m
			}()
		}
		var voters []chain.Member
		var left *member
		eventually(ended).Should(Receive(&left))
		needed, _ := lo.Find(members[1:], func(m *member) bool { return m != left })

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
		Expect(ended).NotTo(Receive())

		needed.signal()
		eventually(ended).Should(Receive(Equal(needed)))
		left.awaitEnd()
		needed.awaitEnd()
		restartWithShortGrace(left, needed)
		eventually(func(g Gomega) {
			status, err := AskStatus(address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.Tolerance).To(HaveValue(Equal(protocol.Tolerance{Losses: 1})))
			g.Expect(status.View.Voters).To(ConsistOf(voters))
		}).Should(Succeed())
	})
})
