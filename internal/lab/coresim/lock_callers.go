package coresim

import (
	"fmt"
	"time"

	"dykering/internal/coordination"
)

// The load on locks.
const (
	lockCount       = 3
	lockCallerCount = 5
	maxLockPause    = 300 * time.Millisecond
	minHold         = 300 * time.Millisecond
	maxHold         = 4 * time.Second
	// maxLongHold is how long a caller renews a hold at most.
	maxLongHold = 8 * time.Second
	// renewalsPerHold is how often a hold is renewed within its time.
	renewalsPerHold = 3
	// maxCrashDuration is how long a caller that died stays away.
	maxCrashDuration = 5 * time.Second
)

// lockCaller takes one lock after another, always under the same name.
type lockCaller struct {
	table  *coordinationTable
	holder string
	lock   string
	token  uint64
	hold   time.Duration
	// generation counts the holds and deaths of the caller: answers to calls of earlier ones are ignored.
	generation int
}

func (t *coordinationTable) startLockCallers() {
	for i := range lockCallerCount {
		c := &lockCaller{table: t, holder: fmt.Sprintf("a%d", i)}
		t.sim.after(t.duration(0, maxLockPause), c.acquireNext)
	}
}

// next takes a lock after a pause.
func (c *lockCaller) acquireNext() {
	t := c.table
	if t.stopping {
		return
	}
	c.lock = fmt.Sprintf("l%d", t.random.IntN(lockCount))
	c.hold = t.duration(minHold, maxHold)
	c.acquire()
}

// begin asks for the lock until there is a clear answer.
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

// granted continues with a lock that was taken.
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

// renewUntil renews the hold until a time, and then gives it back.
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

// renew asks for more time. An answer that comes after the time has run out counts for nothing.
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

// finish gives the lock back. In one of two cases the caller does not wait for the answer, and may take the same lock again at
// once.
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

// die ends the caller while it holds the lock, perhaps with a renewal on its way. It comes back under the same name, and often
// asks for the same lock.
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

// renewAfterExpiry lets the time of the hold pass, and asks for more then: the answer counts for nothing. In one of two cases the
// caller gives the lock back that it may have lost.
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
