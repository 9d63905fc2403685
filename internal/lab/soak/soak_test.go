package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"

	"dykering/internal/lab/history"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak of control processes")
}

var _ = Describe("a caller", func() {
	var s *system

	// serve adds the address of a fake control process that always answers with the given status and body.
	serve := func(status int, body string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			io.WriteString(w, body)
		}))
		DeferCleanup(server.Close)
		s.addresses = append(s.addresses, strings.TrimPrefix(server.URL, "http://"))
	}

	BeforeEach(func() {
		s = &system{recorder: history.NewRecorder(), clientsDone: make(chan struct{}), acknowledged: make(chan string, 1)}
	})

	It("records the request and its answer, and keeps its address after a 412", func() {
		serve(http.StatusPreconditionFailed, `{"revision":7}`)
		serve(http.StatusOK, "")
		c, revision := s.newCaller("a", 0), uint64(3)
		c.put("g.k", "x", &revision)
		call := c.put("g.k", "x", &revision)
		Expect(s.recorder.Calls()).To(HaveLen(2))
		Expect(call.Address).To(Equal(s.addresses[0]))
		Expect(call).To(And(HaveField("Client", "a"), HaveField("Status", 412), HaveField("Revision", uint64(7)),
			HaveField("IfRevision", uint64(3)), HaveField("Conditional", true)))
		Expect(call.Received).To(BeNumerically(">=", call.Sent))
	})

	It("calls another address after a failure, a 503 or a 429, and reports acknowledgements", func() {
		s.addresses = []string{"127.0.0.1:1"}
		serve(http.StatusServiceUnavailable, "")
		serve(http.StatusTooManyRequests, "")
		serve(http.StatusOK, `{"value":9}`)
		c := s.newCaller("a", 0)
		var statuses []int
		for range 4 {
			statuses = append(statuses, c.number("n").Status)
		}
		Expect(statuses).To(Equal([]int{0, 503, 429, 200}))
		Expect(s.recorder.Calls()[3].Number).To(Equal(uint64(9)))
		Expect(s.acknowledged).To(Receive(Equal(s.addresses[3])))
	})

	It("drops some answers as if the network had lost them", func() {
		serve(http.StatusOK, `{"value":9}`)
		c, lost := s.newCaller("a", 0), 0
		for range 10 * callsPerLostAnswer {
			if call := c.number("n"); call.Status == 0 {
				Expect(call.Number).To(BeZero())
				lost++
			}
		}
		Expect(lost).To(BeNumerically("~", 10, 9))
	})

	It("treats a truncated answer as no answer", func() {
		serve(http.StatusOK, `{"value":`)
		Expect(s.newCaller("a", 0).number("n").Status).To(BeZero())
	})
})

var _ = Describe("the drawn faults", func() {
	It("are the same for the same seed, and include each kind", func() {
		a, b := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2))
		kinds := map[fault]bool{}
		for range 100 {
			drawn := drawFault(a)
			Expect(drawn).To(Equal(drawFault(b)))
			drawn.downtime, drawn.afterAcknowledgement = 0, false
			kinds[drawn] = true
		}
		Expect(kinds).To(HaveLen(5))
	})
})

var _ = Describe("a report", func() {
	at := func(address string, operation history.Operation, sent, received time.Duration) history.Call {
		return history.Call{Address: address, Operation: operation, Sent: sent, Received: received, Status: http.StatusOK}
	}

	It("contains the longest time without a successful put", func() {
		late := at("a", history.Put, 6, 6)
		late.Status = http.StatusServiceUnavailable
		pause, end := longestPause([]history.Call{at("a", history.Put, 1, 1), at("a", history.Read, 5, 5), late, at("a", history.Put, 9, 9)})
		Expect(pause).To(Equal(time.Duration(8)))
		Expect(end).To(Equal(time.Duration(9)))
	})

	It("contains the time until each process answers again", func() {
		Expect(recovery([]history.Call{
			at("a", history.Read, 1, 2), at("a", history.Read, 11, 12), at("a", history.Read, 13, 19), at("b", history.Read, 12, 14),
		}, 10)).To(Equal(time.Duration(4)))
	})
})
