package dataplane

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("idle connections", func() {
	It("decide between endpoints of equal load", func() {
		endpoints := []*fakeEndpoint{
			newFakeEndpoint("i-1", responds(200, "hello", signatureHeader)),
			newFakeEndpoint("i-2", responds(200, "hello", signatureHeader)),
			newFakeEndpoint("i-3", responds(200, "hello", signatureHeader)),
		}
		proxy := newTestProxy(routeJSON("non_idempotent", ""), endpoints...)
		const requests = 12
		for i := range requests {
			response, _, err := proxy.send("/p/x", fmt.Sprintf("%s: id-%d", headerRequestID, i))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			calls := func() int { return len(proxy.server.pool.OwnCalls()) }
			Eventually(func() int { return queryTables(proxy.server, calls) }).Should(BeZero())
		}
		called := 0
		for _, e := range endpoints {
			if n := len(e.received()); n > 0 {
				called++
				Expect(n).To(Equal(requests))
			}
		}
		Expect(called).To(Equal(1))
	})

	It("are not reported for an endpoint that was not called, or that closes its connections", func() {
		closing := newFakeEndpoint("i-1", responds(200, "hello", signatureHeader, "Connection: close"))
		proxy := newTestProxy(routeJSON("non_idempotent", ""), closing)
		Expect(proxy.server.connections.hasIdle("i-1")).To(BeFalse())
		_, _, err := proxy.send("/p/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(proxy.server.connections.hasIdle("i-1")).To(BeFalse())
	})
})
