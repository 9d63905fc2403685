package dataplane

import (
	"net/http"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a graceful shutdown", func() {
	// startShutdown puts a server into a graceful shutdown that started the given time ago.
	startShutdown := func(server *Server, ago time.Duration) {
		server.shutdown.Store(&shutdown{schedule: newShutdownSchedule(8 * time.Second), startedAt: time.Now().Add(-ago)})
	}

	DescribeTable("admits only requests that must end before responses are aborted, late in a grace period of 8 s",
		func(ago time.Duration, deadline string, status int) {
			e := newFakeEndpoint("i-1", responds(200, "hello", signatureHeader))
			proxy := newTestProxy(routeJSON("non_idempotent", ""), e)
			startShutdown(proxy.server, ago)
			response, _, err := proxy.send("/p/", "X-Deadline-Ms: "+deadline)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Close).To(BeTrue(), "the client must connect to another proxy")
			if status == http.StatusServiceUnavailable {
				Expect(e.received()).To(BeEmpty())
				Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
		},
		Entry("any request at first", time.Second, "5000", 200),
		Entry("no long request 3.1 s after the signal", 3100*time.Millisecond, "5000", 503),
		Entry("no long request 4.9 s after the signal, as its response would be aborted", 4900*time.Millisecond, "5000", 503),
		Entry("a short request that ends in time", 3100*time.Millisecond, "2000", 200),
		Entry("no short request that might not end in time", 6*time.Second, "2000", 503),
		Entry("no request once responses are aborted", 7500*time.Millisecond, "10", 503),
	)

	It("rejects a request that it could not complete, with the promise that it has not run", func() {
		e := newFakeEndpoint("i-1", responds(200, "hello", signatureHeader))
		proxy := newTestProxy(routeJSON("non_idempotent", ""), e)
		startShutdown(proxy.server, 0)
		proxy.server.abortResponses()
		response, _, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(503))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(e.received()).To(BeEmpty())
	})

	DescribeTable("aborts no admitted request that was sent after abortableRequestWindow, for any grace period",
		func(grace time.Duration) {
			schedule := newShutdownSchedule(grace)
			lastSixth := grace * 5 / 6
			Expect(schedule.abortResponsesAt).To(BeNumerically(">", lastSixth), "no response is aborted before the last sixth")
			Expect(schedule.closeConnectionsAt).To(And(BeNumerically(">", schedule.abortResponsesAt), BeNumerically("<", grace)))
			for elapsed := time.Duration(0); elapsed < grace; elapsed += grace / 50 {
				for timeout := time.Duration(0); timeout < 2*grace; timeout += grace / 50 {
					admitted := schedule.admits(elapsed, timeout)
					mayBeSentLate := elapsed+maxSignalDelay > abortableRequestWindow
					isAborted := elapsed+timeout > schedule.abortResponsesAt
					Expect(admitted && mayBeSentLate && isAborted).To(BeFalse(), "elapsed %v, timeout %v", elapsed, timeout)
				}
			}
		},
		Entry("1 s", time.Second),
		Entry("3 s", 3*time.Second),
		Entry("8 s", 8*time.Second),
		Entry("60 s", time.Minute),
	)

	It("answers 504 to a request that is in flight when responses are aborted", func() {
		e := newFakeEndpoint("i-1", staysSilent)
		proxy := newTestProxy(routeJSON("non_idempotent", ""), e)
		go func() {
			for len(e.received()) == 0 {
				runtime.Gosched()
			}
			proxy.server.abortResponses()
		}()
		response, _, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(504))
	})
})
