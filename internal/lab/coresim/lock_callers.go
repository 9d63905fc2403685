package coresim

import (
	"fmt"
	"time"

	"dykering/internal/coordination"
)

// The load on locks, and the times that the callers draw from.
const (
	lockCount       = 3
	lockCallerCount = 5
	maxLockPause    = 300 * time.Millisecond
	minHold         = 300 * time.Millisecond
	maxHold         = 4 * time.Second
	// maxLongHold is the longest time for which a caller renews a hold.
	maxLongHold = 8 * time.Second
	// renewalsPerHold is the number of renewals within the duration of a hold.
	renewalsPerHold = 3
	// maxCrashDuration is the longest time until a crashed caller restarts.
	maxCrashDuration = 5 * time.Second
)

// lockCaller is an emulated application that acquires one lock after another, always under the same holder name.
type lockCaller struct {
	table  *coordinationTable
	holder string
	lock   string
	token  uint64
	hold   time.Duration
	// generation counts the holds and crashes of the caller. Answers to calls of an earlier generation are ignored.
	generation int
}

func (t *coordinationTable) startLockCallers() {
	for i := range lockCallerCount {
		c := &lockCaller{table: t, holder: fmt.Sprintf("a%d", i)}
		t.sim.after(t.duration(0, maxLockPause), c.acquireNext)
	}
}

// acquireNext acquires a random lock.
func (c *lockCaller) acquireNext() {
	t := c.table
	if t.stopping {
		return
	}
	c.lock = fmt.Sprintf("l%d", t.random.IntN(lockCount))
	c.hold = t.duration(minHold, maxHold)
	c.acquire()
}

// acquire requests the lock, with retries, until there is a definite answer.
func (c *lockCaller) acquire() {
	t := c.table
	c.generation++
	generation := c.generation
	var floor uint64
	request := c.request(coordination.BeginLock, 0)
	request.onSend = func() { floor = t.locks.highestOfOthers(c.lock, c.holder) }
	t.callUntilDefinite(request, retryDuration, func(sentAt time.Duration, answer coordinationAnswer, _ bool) {
		switch {
		case generation != c.generation:
		case answer.missing || answer.failed:
			t.sim.after(t.duration(0, maxLockPause), c.acquireNext)
		default:
			c.onGranted(sentAt, answer.result.Token, floor)
		}
	})
}

func (c *lockCaller) request(operation coordination.Operation, token uint64) coordinationRequest {
	return coordinationRequest{command: &coordination.Command{
		Operation: operation,
		Name:      c.lock,
		Holder:    c.holder,
		Token:     token,
		HoldMs:    c.hold.Milliseconds(),
	}}
}

// onGranted handles a granted lock. The caller then releases it, crashes, lets it expire, or renews it.
func (c *lockCaller) onGranted(sentAt time.Duration, token, floor uint64) {
	t, now := c.table, c.table.sim.now
	t.locks.recordGrant(c.lock, c.holder, token, floor)
	c.token = token
	until := sentAt + c.hold
	if now >= until {
		t.sim.after(t.duration(0, maxLockPause), c.acquireNext)
		return
	}
	t.locks.recordHold(now, c.lock, c.holder, until)
	switch t.random.IntN(8) {
	case 0, 1, 2:
		t.sim.after(t.duration(0, (until-now)/2+1), c.finish)
	case 3:
		c.crash()
	case 4:
		c.renewAfterExpiry(until)
	default:
		c.renewUntil(now + t.duration(0, maxLongHold))
	}
}

// renewUntil renews the hold until a time and then releases the lock.
func (c *lockCaller) renewUntil(end time.Duration) {
	t := c.table
	generation := c.generation
	t.sim.after(c.hold/renewalsPerHold, func() {
		switch {
		case generation != c.generation:
		case !t.locks.isHolding(t.sim.now, c.lock, c.holder):
			c.acquireNext()
		case t.sim.now >= end || t.stopping:
			c.finish()
		default:
			c.renew()
			c.renewUntil(end)
		}
	})
}

// renew requests an extension of the hold. An answer that arrives after the hold has expired does not extend it.
func (c *lockCaller) renew() {
	t := c.table
	generation, lock, hold := c.generation, c.lock, c.hold
	request := c.request(coordination.RenewLock, c.token)
	t.callUntilDefinite(request, hold, func(sentAt time.Duration, answer coordinationAnswer, _ bool) {
		isCurrent := generation == c.generation && t.locks.isHolding(t.sim.now, lock, c.holder)
		if isCurrent && !answer.missing && !answer.failed && sentAt+hold > t.sim.now {
			t.locks.renewals++
			t.locks.recordHold(t.sim.now, lock, c.holder, sentAt+hold)
		}
	})
}

// finish releases the lock. In half of the cases the caller does not wait for the answer, and it may then acquire the same
// lock again immediately.
func (c *lockCaller) finish() {
	t := c.table
	c.generation++
	generation := c.generation
	t.locks.recordRelease(c.lock, c.holder)
	request := c.request(coordination.FinishLock, c.token)
	if t.oneIn(2) {
		t.call(request, func(coordinationAnswer) {})
		if t.oneIn(2) && !t.stopping {
			c.acquire()
			return
		}
		t.sim.after(t.duration(0, maxLockPause), c.acquireNext)
		return
	}
	t.callUntilDefinite(request, retryDuration, func(time.Duration, coordinationAnswer, bool) {
		if generation == c.generation {
			t.sim.after(t.duration(0, maxLockPause), c.acquireNext)
		}
	})
}

// crash ends the caller while it holds the lock, in half of the cases with a renewal in flight. It restarts later under the
// same holder name, and in half of the cases requests the same lock.
func (c *lockCaller) crash() {
	t := c.table
	if t.oneIn(2) {
		t.call(c.request(coordination.RenewLock, c.token), func(coordinationAnswer) {})
	}
	c.generation++
	t.sim.after(t.duration(0, maxCrashDuration), func() {
		if t.oneIn(2) && !t.stopping {
			c.acquire()
			return
		}
		c.acquireNext()
	})
}

// renewAfterExpiry lets the hold expire and renews it only then. The caller ignores the answer. In half of the cases it then
// releases the lock that it may have lost.
func (c *lockCaller) renewAfterExpiry(until time.Duration) {
	t := c.table
	t.sim.at(until+t.duration(1, maxHold), func() {
		request := c.request(coordination.RenewLock, c.token)
		t.call(request, func(coordinationAnswer) {
			if t.oneIn(2) {
				c.finish()
				return
			}
			c.acquireNext()
		})
	})
}
