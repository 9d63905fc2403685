package client

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// putValues sets the key g.k to one value after another.
func putValues(ctx context.Context, g Gomega, n *network, values ...string) {
	c := newTestClient(&network{service: n.service}, "writer")
	for _, value := range values {
		_, err := c.Put(ctx, "g.k", value)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// newTestWatch returns a watch of the group g. above a revision.
func newTestWatch(g Gomega, n *network, after uint64) *Watch {
	w, err := newTestClient(n, "h").Watch("g.", after)
	g.Expect(err).NotTo(HaveOccurred())
	return w
}

// nextValues returns the values of the next events.
func nextValues(ctx context.Context, g Gomega, w *Watch, count int) (values []string) {
	for range count {
		event, err := w.Next(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.Revision()).To(BeNumerically(">=", event.Revision))
		values = append(values, event.Value)
	}
	return values
}

func TestWatchDeliversEventsInOrder(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		putValues(ctx, g, n, "v1", "v2", "v3")
		w := newTestWatch(g, n, 1)
		g.Expect(nextValues(ctx, g, w, 1)).To(Equal([]string{"v2"}))
		g.Expect(w.Revision()).To(Equal(uint64(2)), "v3 is not delivered yet")
		g.Expect(nextValues(ctx, g, w, 1)).To(Equal([]string{"v3"}))
		go func() {
			time.Sleep(5 * time.Second) // virtual
			putValues(ctx, g, n, "v4")
		}()
		began := time.Now()
		g.Expect(nextValues(ctx, g, w, 1)).To(Equal([]string{"v4"}))
		g.Expect(time.Since(began)).To(Equal(5 * time.Second))
	})
}

func TestWatchResumesAtAnotherAddressWithoutGapsOrDuplicates(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		putValues(ctx, g, n, "v0")
		w := newTestWatch(g, n, 1)
		failures := []reaction{
			neverAnswered, responseLost, connectionRefused, answeredWith(http.StatusServiceUnavailable), servedAfter(time.Second),
		}
		var want []string
		for i := range 50 {
			want = append(want, fmt.Sprintf("v%d", i+1))
			n.planReactions("", failures[i%len(failures)])
		}
		go func() {
			for _, value := range want {
				time.Sleep(300 * time.Millisecond) // virtual
				putValues(ctx, g, n, value)
			}
		}()
		g.Expect(nextValues(ctx, g, w, len(want))).To(Equal(want))
	})
}

func TestWatchSkipsDuplicateEvents(t *testing.T) {
	inBubble(t, func(_ context.Context, g Gomega, n *network) {
		w := newTestWatch(g, n, 5)
		w.accept(watchResponse{Events: []Event{{Revision: 4}, {Revision: 5}, {Revision: 6}, {Revision: 6}, {Revision: 7}}, Revision: 9}, 0)
		g.Expect(w.pending).To(Equal([]Event{{Revision: 6}, {Revision: 7}}))
		g.Expect(w.position).To(Equal(uint64(9)))
		w.accept(watchResponse{Revision: 3}, 0)
		g.Expect(w.position).To(Equal(uint64(9)), "an older answer moves nothing back")
	})
}

func TestWatchReportsMissedHistoryAndContinuesFromTheCurrentRevision(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		putValues(ctx, g, n, "v1", "v2", "v3", "v4")
		n.compactedUpTo = 3
		w := newTestWatch(g, n, 1)
		_, err := w.Next(ctx)
		g.Expect(err).To(MatchError(ErrHistoryGone))
		g.Expect(w.Revision()).To(Equal(uint64(4)))
		putValues(ctx, g, n, "v5")
		g.Expect(nextValues(ctx, g, w, 1)).To(Equal([]string{"v5"}))
	})
}

func TestWatchFromTheCurrentRevisionMissesNothingAfterStart(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		putValues(ctx, g, n, "v1")
		w := newTestWatch(g, n, 0)
		g.Expect(w.Start(ctx)).To(Succeed())
		putValues(ctx, g, n, "v2", "v3")
		g.Expect(nextValues(ctx, g, w, 2)).To(Equal([]string{"v2", "v3"}))
	})
}

// The first revision of a group cannot be requested, so its event is reported as missed.
func TestWatchOfAnEmptyGroupReportsItsFirstEventAsMissed(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		w := newTestWatch(g, n, 0)
		g.Expect(w.Start(ctx)).To(Succeed())
		go func() {
			time.Sleep(time.Minute) // virtual
			putValues(ctx, g, n, "v1")
		}()
		_, err := w.Next(ctx)
		g.Expect(err).To(MatchError(ErrHistoryGone))
		g.Expect(len(n.requests)).To(BeNumerically("<", 150), "an empty group is asked for at most once a pause")
		putValues(ctx, g, n, "v2")
		g.Expect(nextValues(ctx, g, w, 1)).To(Equal([]string{"v2"}))
	})
}

func TestWatchOutlastsAnOutageAndEndsWithItsContext(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		putValues(ctx, g, n, "v1")
		w := newTestWatch(g, n, 1)
		for range 100 {
			n.planReactions("", answeredWith(http.StatusServiceUnavailable))
		}
		go func() {
			time.Sleep(time.Minute) // virtual
			putValues(ctx, g, n, "v2")
		}()
		g.Expect(nextValues(ctx, g, w, 1)).To(Equal([]string{"v2"}))
		limited, cancel := context.WithTimeout(ctx, 7*time.Second)
		defer cancel()
		began := time.Now()
		_, err := w.Next(limited)
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(time.Since(began)).To(Equal(7 * time.Second))
	})
}

func TestGroupEndsWithItsOnlyDot(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Addresses: []string{"a:1"}})
	g.Expect(err).NotTo(HaveOccurred())
	for _, group := range []string{"", ".", "g", "g.k", "g.k."} {
		_, err := c.Watch(group, 0)
		g.Expect(err).To(HaveOccurred(), group)
	}
}
