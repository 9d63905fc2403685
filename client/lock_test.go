package client

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const hold = 3 * time.Second

// acquireLock acquires the lock "l" and stops its renewal at the end of the test.
func acquireLock(ctx context.Context, g Gomega, c *Client) *Lock {
	lock, err := c.Acquire(ctx, "l", hold)
	g.Expect(err).NotTo(HaveOccurred())
	c.options.Transport.(*network).atTestEnd(lock.stopRenewal)
	return lock
}

// timeUntilLost waits until a lock is lost and returns how long that took.
func timeUntilLost(lock *Lock) time.Duration {
	began := time.Now()
	<-lock.Lost()
	return time.Since(began)
}

func TestLockIsKeptByRenewalsAtAThirdOfTheHold(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		lock := acquireLock(ctx, g, newTestClient(n, "h"))
		time.Sleep(10*hold + hold/2) // virtual
		g.Expect(lock.Held()).To(BeTrue())
		g.Expect(n.count("/heartbeat")).To(Equal(31))
		g.Expect(lock.Release(ctx)).To(Succeed())
		g.Expect(lock.Lost()).To(BeClosed())
		g.Expect(n.locks).To(BeEmpty())
		g.Expect(lock.Release(ctx)).To(MatchError(ErrLockLost))
	})
}

func TestLockIsLostBeforeTheHoldExpiresIfNoRenewalIsAnswered(t *testing.T) {
	for name, failure := range map[string]reaction{
		"silence": neverAnswered, "503": answeredWith(http.StatusServiceUnavailable), "reset": responseLost,
		"400": answeredWith(http.StatusBadRequest),
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, g Gomega, n *network) {
				lock := acquireLock(ctx, g, newTestClient(n, "h"))
				for range 10_000 {
					n.planReactions("", failure)
				}
				g.Expect(timeUntilLost(lock)).To(Equal(hold - hold/marginDivisor))
				g.Expect(lock.Held()).To(BeFalse())
			})
		})
	}
}

func TestHoldCountsFromTheTimeTheCallWasSent(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		n.planReactions("", servedAfter(400*time.Millisecond))
		lock := acquireLock(ctx, g, newTestClient(n, "h"))
		for range 10_000 {
			n.planReactions("", neverAnswered)
		}
		g.Expect(timeUntilLost(lock)).To(Equal(hold - hold/marginDivisor - 400*time.Millisecond))
	})
}

func TestFailedRenewalsAreRetriedBeforeTheLeaseExpires(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		lock := acquireLock(ctx, g, newTestClient(n, "h"))
		n.planReactions("", neverAnswered, responseLost, answeredWith(http.StatusServiceUnavailable))
		time.Sleep(2 * hold) // virtual
		g.Expect(lock.Held()).To(BeTrue())
	})
}

func TestLateRenewalDoesNotExtendTheLease(t *testing.T) {
	inBubble(t, func(_ context.Context, g Gomega, _ *network) {
		l := newLease(time.Now().Add(time.Second))
		time.Sleep(time.Second) // virtual
		g.Expect(l.extend(time.Now().Add(time.Hour))).To(BeFalse())
		g.Expect(l.lost).To(BeClosed())
		g.Expect(l.held()).To(BeFalse())
	})
}

func TestBeginAnsweredAfterTheHoldGrantsNoLock(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		c := newTestClient(n, "h")
		late := func(_ *http.Request, serve func() *http.Response) (*http.Response, error) {
			response := serve()
			time.Sleep(hold) // virtual: the process was paused and its time-out did not fire
			return response, nil
		}
		n.planReactions("", late)
		_, err := c.TryAcquire(ctx, "l", hold)
		g.Expect(err).To(MatchError(ErrLockLost))
		n.planReactions("", late)
		lock := acquireLock(ctx, g, c)
		g.Expect(lock.Held()).To(BeTrue())
	})
}

func TestLockIsLostAtOnceWhenARenewalIsRejected(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		c := newTestClient(n, "h")
		lock := acquireLock(ctx, g, c)
		n.planReactions("", answeredWith(http.StatusConflict))
		g.Expect(timeUntilLost(lock)).To(Equal(hold / renewalDivisor))
		synctest.Wait()
		again := acquireLock(ctx, g, c)
		g.Expect(again.Token()).To(BeNumerically(">", lock.Token()))
		g.Expect(lock.Release(ctx)).To(MatchError(ErrLockLost))
		g.Expect(n.locks["l"].token).To(Equal(again.Token()), "an old token releases nothing")
	})
}

func TestAcquireWaitsForAHeldLock(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		first := acquireLock(ctx, g, newTestClient(n, "h1"))
		other := newTestClient(n, "h2")
		_, err := other.TryAcquire(ctx, "l", hold)
		g.Expect(err).To(MatchError(ErrLockHeld))

		limited, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		_, err = other.Acquire(limited, "l", hold)
		g.Expect(err).To(MatchError(ErrLockHeld))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(n.count("/begin")).To(BeNumerically("<", 60))

		first.stopRenewal() // simulates that its process dies
		began := time.Now()
		second := acquireLock(ctx, g, other)
		g.Expect(time.Since(began)).To(BeNumerically("<=", hold+DefaultMaxPause))
		g.Expect(second.Token()).To(BeNumerically(">", first.Token()))
		g.Expect(first.Held()).To(BeFalse())
	})
}

func TestClientDoesNotShareALockBetweenItsOwnCallers(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		c := newTestClient(n, "h")
		lock := acquireLock(ctx, g, c)
		_, err := c.TryAcquire(ctx, "l", hold)
		g.Expect(err).To(MatchError(ErrLockHeld))
		g.Expect(n.count("/begin")).To(Equal(1))
		g.Expect(lock.Release(ctx)).To(Succeed())
		acquireLock(ctx, g, c)
	})
}

func TestTokenOfALostAnswerIsReplacedByAHigherOne(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		n.planReactions("", responseLost)
		lock := acquireLock(ctx, g, newTestClient(n, "h"))
		g.Expect(lock.Token()).To(Equal(uint64(2)))
		time.Sleep(2 * hold) // virtual
		g.Expect(lock.Held()).To(BeTrue())
	})
}

func TestContextOfAcquireDoesNotEndTheLock(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		limited, cancel := context.WithCancel(ctx)
		lock, err := newTestClient(n, "h").Acquire(limited, "l", hold)
		g.Expect(err).NotTo(HaveOccurred())
		cancel()
		time.Sleep(2 * hold) // virtual
		g.Expect(lock.Held()).To(BeTrue())
		g.Expect(lock.Release(ctx)).To(Succeed())
	})
}

func TestHoldBelowAMillisecondIsRejected(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		_, err := newTestClient(n, "h").Acquire(ctx, "l", time.Microsecond)
		g.Expect(err).To(HaveOccurred())
		g.Expect(n.requests).To(BeEmpty())
	})
}

// Under faults, candidates lead one after another and never two at the same time.
func TestOneCandidateLeadsAtATime(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		const candidates, terms = 5, 4
		leaders, tokens := 0, []uint64{}
		for i := range candidates * terms {
			reactions := []reaction{neverAnswered, responseLost, answeredWith(http.StatusServiceUnavailable), servedAfter(hold / 10)}
			n.planReactions("", reactions[i%len(reactions)])
		}
		done := make(chan struct{}, candidates)
		guard := make(chan struct{}, 1)
		for i := range candidates {
			go func() {
				defer func() { done <- struct{}{} }()
				election := newTestClient(n, string(rune('a'+i))).Election("leader", hold)
				for range terms {
					leadership, err := election.Campaign(ctx)
					g.Expect(err).NotTo(HaveOccurred())
					guard <- struct{}{}
					leaders++
					g.Expect(leaders).To(Equal(1))
					tokens = append(tokens, leadership.Token())
					<-guard
					time.Sleep(hold / 2) // virtual
					g.Expect(leadership.Leads()).To(BeTrue())
					guard <- struct{}{}
					leaders--
					<-guard
					err = leadership.Resign(ctx)
					g.Expect(err == nil || errors.Is(err, ErrOutcomeUnknown)).To(BeTrue())
				}
			}()
		}
		for range candidates {
			<-done
		}
		for i := 1; i < len(tokens); i++ {
			g.Expect(tokens[i]).To(BeNumerically(">", tokens[i-1]))
		}
		g.Expect(tokens).To(HaveLen(candidates * terms))
	})
}

func TestCandidatesAskLessOftenThanTheLeaderRenews(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, n *network) {
		leader, err := newTestClient(n, "h1").Election("l", hold).Campaign(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		limited, cancel := context.WithTimeout(ctx, 10*hold)
		defer cancel()
		_, err = newTestClient(n, "h2").Election("l", hold).Campaign(limited)
		g.Expect(err).To(MatchError(ErrLockHeld))
		g.Expect(n.count("/begin")).To(And(BeNumerically(">", 30), BeNumerically("<", 62)))
		g.Expect(leader.Resign(ctx)).To(Succeed())
	})
}
