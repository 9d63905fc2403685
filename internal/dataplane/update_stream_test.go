package dataplane

import (
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

var _ = Describe("an update", func() {
	It("with an older configuration does not replace the newer one", func() {
		proxy := newTestProxy(routeJSON("non_idempotent", ""), newFakeEndpoint("i-1", responds(200, "hello", signatureHeader)))
		server := proxy.server
		newer := protocol.Update{Configuration: configurationWithRoutes(5, "")}
		older := protocol.Update{Configuration: configurationWithRoutes(4, routeJSON("non_idempotent", ""))}
		Expect(queryTables(server, func() protocol.Ack { return server.applyUpdate(newer) }).ConfigSeq).To(Equal(uint64(5)))
		Expect(queryTables(server, func() protocol.Ack { return server.applyUpdate(older) }).ConfigSeq).To(Equal(uint64(5)))
		response, _, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(404))
	})

	It("with a draining endpoint ends new calls to it", func() {
		a, b := newFakeEndpoint("i-1", responds(200, "a", signatureHeader)), newFakeEndpoint("i-2", responds(200, "b", signatureHeader))
		proxy := newTestProxy(routeJSON("non_idempotent", ""), a, b)
		server := proxy.server
		queryTables(server, func() protocol.Ack {
			return server.applyUpdate(protocol.Update{Revision: 2, Endpoints: []sessions.Endpoint{a.sessionEndpoint(sessions.Draining)}})
		})
		for range 10 {
			_, body, err := proxy.send("/p/")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("b"))
		}
	})

	It("with an endpoint wakes a request that waits for one", func() {
		e := newFakeEndpoint("i-1", responds(200, "hello", signatureHeader))
		proxy := newTestProxy(routeJSON("non_idempotent", ""))
		server := proxy.server
		go func() {
			for server.requestsInFlight.Load() == 0 {
				runtime.Gosched()
			}
			server.enqueue(func() {
				server.applyUpdate(protocol.Update{Revision: 2, Endpoints: []sessions.Endpoint{e.sessionEndpoint(sessions.Ready)}})
			})
		}()
		response, _, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(200))
	})
})
