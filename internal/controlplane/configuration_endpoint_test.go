package controlplane

import (
	"net/http"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the configuration", func() {
	It("is committed and read at any member, and rejected if its base or its version is invalid", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[1], 3, 0)
		eventually(func() string { return readVersion(members[2]) }).Should(Equal("3"))
		eventually(func() int { return sendChange(members[0], 5, 1) }).Should(Equal(http.StatusPreconditionFailed))
		eventually(func() int { return sendChange(members[2], 2, 3) }).Should(Equal(http.StatusBadRequest))
		changeUntilAcknowledged(members[2], 7, 3)
		// A committed change is acknowledged again at any member, even after later changes.
		changeUntilAcknowledged(members[0], 3, 0)
		eventually(func() string { return readVersion(members[0]) }).Should(Equal("7"))
	})

	It("survives the restart of every process and the loss of one disk", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[0], 3, 0)
		for _, m := range members {
			m.end()
		}
		Expect(os.RemoveAll(members[1].settings.DataDirectory)).To(Succeed())
		for _, m := range members {
			m.start()
		}
		for _, m := range members {
			eventually(func() string { return readVersion(m) }).Should(Equal("3"))
		}
		changeUntilAcknowledged(members[1], 4, 3)
	})

	It("is committed while one member is down", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[2], 3, 0)
		members[0].end()
		changeUntilAcknowledged(members[2], 4, 3)
		eventually(func() string { return readVersion(members[1]) }).Should(Equal("4"))
	})

	It("is answered with 503 by a member without a quorum", func() {
		members := newMembers(3)
		members[0].start()
		eventually(func() int { return sendChange(members[0], 3, 0) }).Should(Equal(http.StatusServiceUnavailable))
	})

	DescribeTable("is rejected with the status of its error",
		func(path, body, base string, status int) {
			members := startMembers(1)
			eventually(func() int {
				got, _ := call(http.MethodPost, members[0].url(path), body, "X-Base-Version: "+base)
				return got
			}).Should(Equal(status))
		},
		Entry("a body that is not JSON", "/configuration/replace", "{", "0", http.StatusBadRequest),
		Entry("a base version that is not a number", "/configuration/replace", "{}", "x", http.StatusBadRequest),
		Entry("deeply nested JSON", "/configuration/replace", strings.Repeat("[", 100000), "0", http.StatusBadRequest),
		Entry("a body over the limit", "/configuration/replace", strings.Repeat(" ", maxConfigurationBytes+1), "0", http.StatusRequestEntityTooLarge),
	)
})
