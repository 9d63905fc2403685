package dataplane

import (
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

var _ = Describe("an update", func() {
	It("with an older configuration leaves the newer one in force", func() {
		proxy := newTestProxy(route("non_idempotent", ""), newFakeEndpoint("i-1", responds(200, "hello", signed)))
		p := proxy.server
		newer := protocol.Update{Configuration: configuration(5, "")}
		older := protocol.Update{Configuration: configuration(4, route("non_idempotent", ""))}
		Expect(ask(p, func() protocol.Ack { return p.applyUpdate(newer) }).ConfigSeq).To(Equal(uint64(5)))
		Expect(ask(p, func() protocol.Ack { return p.applyUpdate(older) }).ConfigSeq).To(Equal(uint64(5)))
		response, _, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(404))
	})

	It("that an endpoint drains ends new calls to it", func() {
		a, b := newFakeEndpoint("i-1", responds(200, "a", signed)), newFakeEndpoint("i-2", responds(200, "b", signed))
		proxy := newTestProxy(route("non_idempotent", ""), a, b)
		p := proxy.server
		ask(p, func() protocol.Ack {
			return p.applyUpdate(protocol.Update{Revision: 2, Endpoints: []sessions.Endpoint{a.session(sessions.Draining)}})
		})
		for range 10 {
			_, body, err := proxy.send("/p/")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("b"))
		}
	})

	It("with an endpoint wakes a request that waits for one", func() {
		e := newFakeEndpoint("i-1", responds(200, "hello", signed))
		proxy := newTestProxy(route("non_idempotent", ""))
		p := proxy.server
		go func() {
			for p.requestsInFlight.Load() == 0 {
				runtime.Gosched()
			}
			p.post(func() {
				p.applyUpdate(protocol.Update{Revision: 2, Endpoints: []sessions.Endpoint{e.session(sessions.Ready)}})
			})
		}()
		response, _, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(200))
	})
})
