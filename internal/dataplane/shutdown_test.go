package dataplane

import (
	"net/http"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a graceful shutdown", func() {
	// startShutdown puts the server into a graceful shutdown that started some time ago.
	startShutdown := func(p *Server, ago time.Duration) {
		p.shutdown.Store(&shutdown{schedule: newShutdownSchedule(8 * time.Second), startedAt: time.Now().Add(-ago)})
	}

	DescribeTable("admits, late in its grace period of 8 s, only what must end within it",
		func(ago time.Duration, deadline string, status int) {
			e := newFakeEndpoint("i-1", responds(200, "hello", signatureHeader))
			proxy := newTestProxy(routeJSON("non_idempotent", ""), e)
			startShutdown(proxy.server, ago)
			response, _, err := proxy.send("/p/", "X-Deadline-Ms: "+deadline)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Close).To(BeTrue(), "its client is to go elsewhere")
			if status == http.StatusServiceUnavailable {
				Expect(e.received()).To(BeEmpty())
				Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
		},
		Entry("any request at first", time.Second, "5000", 200),
		Entry("no long one later than 3 s after the signal", 3100*time.Millisecond, "5000", 503),
		Entry("no long one 4.9 s after the signal, which was cut before", 4900*time.Millisecond, "5000", 503),
		Entry("a short one that ends in time", 3100*time.Millisecond, "2000", 200),
		Entry("no short one once it might not end", 6*time.Second, "2000", 503),
		Entry("nothing once responses are aborted", 7500*time.Millisecond, "10", 503),
	)

	It("rejects what it could not complete, as not run", func() {
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

	DescribeTable("aborts no admitted request outside the excused times, for any grace period",
		func(grace time.Duration) {
			schedule := newShutdownSchedule(grace)
			lastSixth := grace * 5 / 6
			Expect(schedule.abortResponsesAt).To(BeNumerically(">", lastSixth), "no answer is cut before the last sixth")
			Expect(schedule.closeConnectionsAt).To(And(BeNumerically(">", schedule.abortResponsesAt), BeNumerically("<", grace)))
			for elapsed := time.Duration(0); elapsed < grace; elapsed += grace / 50 {
				for left := time.Duration(0); left < 2*grace; left += grace / 50 {
					taken := schedule.admits(elapsed, left)
					sentLate := elapsed+maxSignalDelay > abortableRequestWindow
					Expect(taken && sentLate && elapsed+left > schedule.abortResponsesAt).To(BeFalse(), "%v in, %v left", elapsed, left)
				}
			}
		},
		Entry("1 s", time.Second),
		Entry("3 s", 3*time.Second),
		Entry("8 s", 8*time.Second),
		Entry("60 s", time.Minute),
	)

	It("answers 504 for what is in flight when its time is over", func() {
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
