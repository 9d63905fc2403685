package controlplane

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

var _ = Describe("the status", func() {
	It("has the view, the version, the members and the endpoints", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[0], 3, 0)
		eventually(func() int { return sendHeartbeat(members[0], "i-1", 1, sessions.Ready) }).Should(Equal(http.StatusOK))
		address := members[1].settings.InternalAddress(members[1].settings.IPAddress)
		eventually(func(g Gomega) {
			status, err := AskStatus(address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.Version).To(Equal(int64(3)))
			g.Expect(status.Members).To(HaveLen(3))
			g.Expect(status.InForce).To(BeTrue())
			g.Expect(status.Tolerance).To(HaveValue(Equal(protocol.Tolerance{Losses: 1})))
			g.Expect(status.Endpoints).To(HaveKeyWithValue(sessions.Ready, 1))
		}).Should(Succeed())
	})
})
