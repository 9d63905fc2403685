package dataplane

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("idle connections", func() {
	It("decide among equal endpoints", func() {
		endpoints := []*standIn{newStandIn("i-1", says(200, "hello", stamped)), newStandIn("i-2", says(200, "hello", stamped)),
			newStandIn("i-3", says(200, "hello", stamped))}
		s := newSidecar(route("non_idempotent", ""), endpoints...)
		const requests = 12
		for range requests {
			response, _, err := s.ask("/p/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Eventually(func() int { return ask(s.process, func() int { return len(s.process.pool.OwnCalls()) }) }).Should(BeZero())
		}
		asked := 0
		for _, e := range endpoints {
			if n := len(e.seen()); n > 0 {
				asked++
				Expect(n).To(Equal(requests))
			}
		}
		Expect(asked).To(Equal(1))
	})

	It("are none at an endpoint that was not called, or that closes", func() {
		s := newSidecar(route("non_idempotent", ""), newStandIn("i-1", says(200, "hello", stamped, "Connection: close")))
		Expect(s.process.connections.has("i-1")).To(BeFalse())
		_, _, err := s.ask("/p/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.process.connections.has("i-1")).To(BeFalse())
	})
})
