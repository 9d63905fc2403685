package client

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// newTestClient returns a client of three addresses that starts with a:1.
func newTestClient(n *network, holder string) *Client {
	c, err := New(Options{Addresses: []string{"a:1", "b:1", "c:1"}, Holder: holder, Transport: n})
	if err != nil {
		panic(err)
	}
	c.addresses.current = 0
	return c
}

// inBubble runs a test with a network in the virtual time of synctest.
func inBubble(t *testing.T, test func(ctx context.Context, g Gomega, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t.Context(), NewWithT(t), newNetwork(t)) })
}

func TestCallMovesToAnotherAddressAfterEachKindOfFailure(t *testing.T) {
	for name, failure := range map[string]reaction{
		"429": answeredWith(http.StatusTooManyRequests), "503": answeredWith(http.StatusServiceUnavailable),
		"500": answeredWith(http.StatusInternalServerError), "504": answeredWith(http.StatusGatewayTimeout),
		"silence": neverAnswered, "reset": responseLost, "refused": connectionRefused,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, g Gomega, n *network) {
				n.planReactions("a:1", failure)
				n.planReactions("b:1", failure)
				value, err := newTestClient(n, "h").Next(ctx, "n1")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(value).To(BeNumerically(">", 0))
				g.Expect(n.requests).To(Equal([]string{"a:1 POST /numbers/n1", "b:1 POST /numbers/n1", "c:1 POST /numbers/n1"}))
			})
		})
	}
}

func TestCallsStartWithTheAddressThatAnsweredLast(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		c := newTestClient(n, "h")
		n.planReactions("a:1", neverAnswered)
		for range 2 {
			_, err := c.Next(ctx, "n")
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(n.requests[2]).To(HavePrefix("b:1 "))
	})
}

func TestAttemptEndsAfterItsTimeout(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		n.planReactions("a:1", neverAnswered)
		began := time.Now()
		_, err := newTestClient(n, "h").Next(ctx, "n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("~", DefaultAttemptTimeout+firstPause/2, firstPause))
	})
}

func TestPausesGrowWhileAllAddressesFail(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		for range 1000 {
			n.planReactions("", connectionRefused)
		}
		_, err := newTestClient(n, "h").Next(ctx, "n")
		g.Expect(err).To(MatchError(ErrUnavailable))
		// 10 s with pauses of 5 to 10 ms that double up to 0.5 to 1 s.
		g.Expect(len(n.requests)).To(And(BeNumerically(">", 14), BeNumerically("<", 30)))
	})
}

func TestRetryAfterIsHonoured(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		n.planReactions("a:1", answeredWith(http.StatusServiceUnavailable, "Retry-After", "0.7"))
		n.planReactions("b:1", answeredWith(http.StatusTooManyRequests, "Retry-After", "2"))
		n.planReactions("c:1", answeredWith(http.StatusServiceUnavailable, "Retry-After", "2"))
		began := time.Now()
		_, err := newTestClient(n, "h").Next(ctx, "n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(And(BeNumerically(">=", 700*time.Millisecond), BeNumerically("<", 800*time.Millisecond)))
		g.Expect(n.requests[3]).To(HavePrefix("a:1 "))
	})
}

func TestRetryAfterIsParsedInSecondsAndLimited(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.02": 20 * time.Millisecond, "": 0, "soon": 0, "-1": 0, "NaN": 0, "1e300": maxRetryAfter,
	} {
		g.Expect(retryAfter(http.Header{"Retry-After": {text}})).To(Equal(want), text)
	}
}

func TestErrorTellsWhetherTheCallMayHaveBeenExecuted(t *testing.T) {
	for name, step := range map[string]struct {
		failure reaction
		put     error
	}{
		"429":     {answeredWith(http.StatusTooManyRequests), ErrUnavailable},
		"503":     {answeredWith(http.StatusServiceUnavailable), ErrUnavailable},
		"refused": {connectionRefused, ErrUnavailable},
		"504":     {answeredWith(http.StatusGatewayTimeout), ErrOutcomeUnknown},
		"500":     {answeredWith(http.StatusInternalServerError), ErrOutcomeUnknown},
		"reset":   {responseLost, ErrOutcomeUnknown},
		"silence": {neverAnswered, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, g Gomega, n *network) {
				c := newTestClient(n, "h")
				n.planReactions("a:1", step.failure) // a single attempt with an unknown outcome is sufficient
				for range 1000 {
					n.planReactions("", answeredWith(http.StatusServiceUnavailable))
				}
				_, err := c.Put(ctx, "g.k", "v")
				g.Expect(err).To(MatchError(step.put))
				g.Expect(err).To(MatchError(context.DeadlineExceeded))
				n.planReactions("a:1", step.failure)
				_, _, err = c.Get(ctx, "g.k")
				g.Expect(err).To(MatchError(ErrUnavailable), "a read changes nothing")
			})
		})
	}
}

func TestContextEndsACall(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		n.planReactions("", neverAnswered, neverAnswered, neverAnswered)
		limited, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := newTestClient(n, "h").Next(limited, "n")
		g.Expect(err).To(MatchError(ErrOutcomeUnknown))
		g.Expect(time.Since(began)).To(Equal(1500 * time.Millisecond))
	})
}

func TestUnexpectedStatusIsNotRetried(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		n.planReactions("", answeredWith(http.StatusBadRequest))
		_, err := newTestClient(n, "h").Next(ctx, "n")
		var status *StatusError
		g.Expect(errors.As(err, &status)).To(BeTrue())
		g.Expect(status.Status).To(Equal(http.StatusBadRequest))
		g.Expect(n.requests).To(HaveLen(1))
	})
}

func TestRepeatedPutReturnsItsFirstRevision(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		c := newTestClient(n, "h")
		n.planReactions("a:1", responseLost)
		revision, err := c.PutIf(ctx, "g.k", "v", 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(revision).To(Equal(uint64(1)))
		value, read, err := c.Get(ctx, "g.k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(value).To(Equal("v"))
		g.Expect(read).To(Equal(uint64(1)))
	})
}

func TestConditionalPutReturnsTheCurrentRevision(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		c := newTestClient(n, "h")
		_, err := c.Put(ctx, "g.k", "v1")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.PutIf(ctx, "g.k", "v2", 0)
		var conflict *ConflictError
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(conflict.Revision).To(Equal(uint64(1)))
		g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeFalse())

		n.planReactions("", answeredWith(http.StatusGatewayTimeout))
		_, err = c.PutIf(ctx, "g.k", "v3", 7)
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "the first attempt may have taken effect")
	})
}

func TestAbsentKeyIsNotFound(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		_, revision, err := newTestClient(n, "h").Get(ctx, "g.k")
		g.Expect(err).To(MatchError(ErrNotFound))
		g.Expect(revision).To(BeZero())
	})
}

func TestNamesAreEscapedAndChecked(t *testing.T) {
	g := NewWithT(t)
	path, err := pathOf("/cells/", "g 1./a%", "/read")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(path).To(Equal("/cells/g%201.%2Fa%25/read"))
	request, err := call{method: http.MethodGet, path: path}.request("a:1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(request.URL.EscapedPath()).To(Equal(path))
	for _, name := range []string{"", ".", ".."} {
		_, err := pathOf("/cells/", name, "/read")
		g.Expect(err).To(HaveOccurred(), name)
	}
}

func TestNewRejectsAddressesWithoutAPort(t *testing.T) {
	g := NewWithT(t)
	for _, addresses := range [][]string{nil, {"a"}, {"http://a:1/x"}} {
		_, err := New(Options{Addresses: addresses})
		g.Expect(err).To(HaveOccurred(), strings.Join(addresses, " "))
	}
}

func TestCallAvoidsItsFailedAddressEvenIfOtherCallsStartThere(t *testing.T) {
	g := NewWithT(t)
	l := newAddressList([]string{"a:1", "b:1"})
	l.current = 0
	l.markFailed(0, 0)
	l.markFailed(1, 0) // failure of another call: calls start with a:1 again
	index, notBefore := l.next(0)
	g.Expect(index).To(Equal(1))
	g.Expect(notBefore).To(BeZero())
}
