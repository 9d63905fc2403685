package dataplane

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/nodefile"
	"dykering/internal/routing"
)

// rejectionHead returns an endpoint's promise that it has not run the request with an id. The headers are in the given order.
func rejectionHead(id string, notExecutedFirst bool) string {
	first, second := "X-Request-Id: "+id, "X-Not-Executed: 1"
	if notExecutedFirst {
		first, second = second, first
	}
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s\r\n%s\r\nContent-Length: 0\r\n\r\n", first, second)
}

// repeatingEndpoint rejects the first request and runs all others. Before it answers the second request, it sends some bytes on the
// connection of the first one, as if they had been delayed.
type repeatingEndpoint struct {
	mu    sync.Mutex
	first net.Conn
	runs  int
}

// start starts the endpoint. The surplus is sent on the connection of the first request.
func (e *repeatingEndpoint) start(surplus string) *fakeEndpoint {
	rejects := func(conn net.Conn, r *http.Request) bool {
		e.mu.Lock()
		e.first = conn
		e.mu.Unlock()
		_, err := io.WriteString(conn, rejectionHead(r.Header.Get(headerRequestID), false))
		return err == nil
	}
	runsAfterSurplus := func(conn net.Conn, r *http.Request) bool {
		io.WriteString(e.first, surplus)
		return e.run(conn, r)
	}
	return newFakeEndpoint("i-1", rejects, runsAfterSurplus, e.run)
}

func (e *repeatingEndpoint) run(conn net.Conn, r *http.Request) bool {
	e.mu.Lock()
	e.runs++
	e.mu.Unlock()
	return responds(http.StatusOK, "hello", signatureHeader)(conn, r)
}

func (e *repeatingEndpoint) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// allowRetries limits a proxy to a number of retries.
func (proxy *testProxy) allowRetries(count int) {
	s := proxy.server
	budget := routing.NewRetryBudget(nodefile.Seconds(s.settings.Bounds.BudgetWindowS), 0, 2*float64(count))
	budget.SetProxies(1)
	queryTables(s, func() bool { s.retryBudget = budget; return true })
}

// TWICE and REFUSED: an endpoint sends its rejection again, when the connection carries the same request for the second time.
var _ = Describe("a rejection that an endpoint sends again while it runs the retry", func() {
	It("is not taken for the answer to the retry, so that the request runs once", func() {
		e := &repeatingEndpoint{}
		proxy := newTestProxy(routeJSON("non_idempotent", ""), e.start(rejectionHead("id-1", false)))
		response, body, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.runCount()).To(Equal(1))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("hello"))
	})

	It("does not become a promise to the client that the request has not run", func() {
		e := &repeatingEndpoint{}
		proxy := newTestProxy(routeJSON("non_idempotent", ""), e.start(rejectionHead("id-1", false)))
		proxy.allowRetries(1)
		response, _, err := proxy.send("/p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.runCount()).To(Equal(1))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
})

// TWICE and REFUSED: the beginning of a surplus rejection and the response behind it parse as one head.
var _ = Describe("a surplus rejection that breaks off before the response to the next request", func() {
	DescribeTable("does not make the proxy send that request again",
		func(notExecutedFirst bool) {
			surplus := rejectionHead("id-1", notExecutedFirst)
			for length := range len(surplus) {
				runs, status := runAfterFragment(surplus[:length])
				Expect(runs).To(Equal(1), "after %q", surplus[:length])
				Expect(status).NotTo(Equal(http.StatusServiceUnavailable), "after %q", surplus[:length])
			}
		},
		Entry("with the id before the promise", false),
		Entry("with the promise before the id", true),
	)
})

// MIXED: the beginning of a surplus success and the failure behind it parse as one head.
var _ = Describe("a surplus success that breaks off before the failure of the next request", func() {
	It("does not turn the failure into a success", func() {
		const surplus = "HTTP/1.1 200 OK\r\nX-Response-Signature: older\r\n"
		for length := range len(surplus) {
			fails := func(conn net.Conn, r *http.Request) bool {
				io.WriteString(conn, surplus[:length])
				return responds(http.StatusInternalServerError, "no", signatureHeader)(conn, r)
			}
			proxy := newTestProxy(routeJSON("non_idempotent", ""),
				newFakeEndpoint("i-1", responds(http.StatusOK, "hello", signatureHeader), fails))
			_, _, err := proxy.send("/p/")
			Expect(err).NotTo(HaveOccurred())
			response, _, err := proxy.send("/p/", headerRequestID+": id-2", "X-Deadline-Ms: 300")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(BeNumerically(">=", 500), "after %q", surplus[:length])
		}
	})
})

// runAfterFragment sends a request to an endpoint that writes a fragment before its response to the request, on a connection that
// has carried another request. It returns how often the request ran and the status that the client got.
func runAfterFragment(fragment string) (runs, status int) {
	e := &repeatingEndpoint{}
	answersFirst := responds(http.StatusOK, "hello", signatureHeader)
	runsAfterFragment := func(conn net.Conn, r *http.Request) bool {
		io.WriteString(conn, fragment)
		return e.run(conn, r)
	}
	proxy := newTestProxy(routeJSON("non_idempotent", ""), newFakeEndpoint("i-1", answersFirst, runsAfterFragment, e.run))
	_, _, err := proxy.send("/p/")
	Expect(err).NotTo(HaveOccurred())
	response, _, err := proxy.send("/p/", headerRequestID+": id-2", "X-Deadline-Ms: 300")
	Expect(err).NotTo(HaveOccurred())
	return e.runCount(), response.StatusCode
}
