package coresim

import (
	"fmt"
	"time"
)

// lockChecker checks the guarantee ONE of locks by what the callers see.
type lockChecker struct {
	violation error
	locks     map[string]*lockHistory
	// grants counts the holds that were begun, renewals those that were given more time in time.
	grants, renewals int
}

// lockHistory is what was seen of one lock.
type lockHistory struct {
	// heldUntil is until when each caller counts itself the holder.
	heldUntil map[string]time.Duration
	// tokenOwners are the holders to which tokens were given.
	tokenOwners map[uint64]string
	// highestTokens are the highest tokens that the holders got.
	highestTokens map[string]uint64
}

func newLockChecker() *lockChecker { return &lockChecker{locks: map[string]*lockHistory{}} }

func (c *lockChecker) history(lock string) *lockHistory {
	if c.locks[lock] == nil {
		c.locks[lock] = &lockHistory{
			heldUntil:     map[string]time.Duration{},
			tokenOwners:   map[uint64]string{},
			highestTokens: map[string]uint64{},
		}
	}
	return c.locks[lock]
}

func (c *lockChecker) fail(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf("ONE: "+format, arguments...)
	}
}

// highestOfOthers returns the highest token of a lock that another holder has got. It is asked for when a call is sent.
func (c *lockChecker) highestOfOthers(lock, holder string) uint64 {
	var highest uint64
	for other, token := range c.history(lock).highestTokens {
		if other != holder {
			highest = max(highest, token)
		}
	}
	return highest
}

// granted records that a holder got a token. Floor is what highestOfOthers was when the call was sent.
func (c *lockChecker) recordGrant(lock, holder string, token, floor uint64) {
	c.grants++
	h := c.history(lock)
	if token <= floor {
		c.fail("%s gets token %d of %s, and another holder had got %d before the call was sent", holder, token, lock, floor)
	}
	if owner, known := h.tokenOwners[token]; known && owner != holder {
		c.fail("%s and %s both get token %d of %s", owner, holder, token, lock)
	}
	h.tokenOwners[token] = holder
	h.highestTokens[holder] = max(h.highestTokens[holder], token)
}

// holds records that a caller counts itself holder from now until a time. It never shortens an earlier hold.
func (c *lockChecker) recordHold(now time.Duration, lock, holder string, until time.Duration) {
	h := c.history(lock)
	for other, otherUntil := range h.heldUntil {
		if other != holder && otherUntil > now {
			c.fail("%s holds %s until %v, and %s holds it from %v on", other, lock, otherUntil, holder, now)
		}
	}
	h.heldUntil[holder] = max(h.heldUntil[holder], until)
}

// isHolding reports whether a caller counts itself holder now.
func (c *lockChecker) isHolding(now time.Duration, lock, holder string) bool {
	return c.history(lock).heldUntil[holder] > now
}

// finished records that a caller sends that it gives a lock back.
func (c *lockChecker) recordRelease(lock, holder string) { delete(c.history(lock).heldUntil, holder) }

// numberChecker checks the guarantee ORDER of numbers.
type numberChecker struct {
	violation error
	highest   map[string]uint64
	seen      map[string]map[uint64]bool
	handedOut int
}

func newNumberChecker() *numberChecker {
	return &numberChecker{highest: map[string]uint64{}, seen: map[string]map[uint64]bool{}}
}

// recordNumber records a value of a number. Floor is the highest one that had been handed out when the call was sent.
func (c *numberChecker) recordNumber(name string, value, floor uint64) {
	c.handedOut++
	if c.seen[name] == nil {
		c.seen[name] = map[uint64]bool{}
	}
	switch {
	case c.violation != nil:
	case c.seen[name][value]:
		c.violation = fmt.Errorf("ORDER: %d is handed out twice under %s", value, name)
	case value <= floor:
		c.violation = fmt.Errorf("ORDER: %d is handed out under %s, and %d was before the call was sent", value, name, floor)
	}
	c.seen[name][value] = true
	c.highest[name] = max(c.highest[name], value)
}
