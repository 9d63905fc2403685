package controlplane

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

var _ = Describe("a heartbeat", func() {
	DescribeTable("is rejected with 400 when it is malformed",
		func(body string) {
			members := startMembers(1)
			eventually(func() int {
				status, _ := call(http.MethodPost, members[0].url("/instances/i-1/heartbeat"), body)
				return status
			}).Should(Equal(http.StatusBadRequest))
		},
		Entry("a body that is not JSON", "{"),
		Entry("no state", `{"service":"s","address":"127.0.0.1:1"}`),
		Entry("no address", `{"service":"s","state":"ready"}`),
		Entry("a negative sequence", `{"service":"s","address":"a:1","state":"ready","sequence":-1}`),
	)

	It("is acknowledged in less than 4 KiB", func() {
		members := startMembers(1)
		eventually(func() int { return sendHeartbeat(members[0], "i-1", 1, sessions.Ready) }).Should(Equal(http.StatusOK))
		_, text := call(http.MethodPost, members[0].url("/instances/i-1/deregister"), "")
		Expect(len(text)).To(BeNumerically("<", 4096))
	})
})
