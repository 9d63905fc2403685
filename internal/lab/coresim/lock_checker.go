package coresim

import (
	"fmt"
	"time"
)

// lockChecker checks the guarantee ONE of locks from the callers' observations: at most one caller holds a lock at a time,
// and fencing tokens rise from holder to holder.
type lockChecker struct {
	violation error
	locks     map[string]*lockHistory
	// grants counts the locks that were granted, renewals the renewals that were answered before the hold ended.
	grants, renewals int
}

// lockHistory contains the observations of one lock.
type lockHistory struct {
	// heldUntil maps each caller to the time until which it considers itself the holder.
	heldUntil map[string]time.Duration
	// tokenOwners maps each token to the caller that received it.
	tokenOwners map[uint64]string
	// highestTokens maps each caller to the highest token that it received.
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

// highestOfOthers returns the highest token of a lock that a caller other than holder has received so far. A call that is
// sent now must return a higher one.
func (c *lockChecker) highestOfOthers(lock, holder string) uint64 {
	var highest uint64
	for other, token := range c.history(lock).highestTokens {
		if other != holder {
			highest = max(highest, token)
		}
	}
	return highest
}

// recordGrant records and checks a token that a caller received. Floor is the result of highestOfOthers when the call was
// sent.
func (c *lockChecker) recordGrant(lock, holder string, token, floor uint64) {
	c.grants++
	h := c.history(lock)
	if token <= floor {
		c.fail("%s gets token %d of %s, but another holder had token %d before the call was sent", holder, token, lock, floor)
	}
	if owner, known := h.tokenOwners[token]; known && owner != holder {
		c.fail("%s and %s both get token %d of %s", owner, holder, token, lock)
	}
	h.tokenOwners[token] = holder
	h.highestTokens[holder] = max(h.highestTokens[holder], token)
}

// recordHold records that a caller considers itself the holder from now until a time, and checks that no other caller does.
// It never shortens an earlier hold.
func (c *lockChecker) recordHold(now time.Duration, lock, holder string, until time.Duration) {
	h := c.history(lock)
	for other, otherUntil := range h.heldUntil {
		if other != holder && otherUntil > now {
			c.fail("%s holds %s until %v, and %s holds it from %v on", other, lock, otherUntil, holder, now)
		}
	}
	h.heldUntil[holder] = max(h.heldUntil[holder], until)
}

// isHolding reports whether a caller considers itself the holder now.
func (c *lockChecker) isHolding(now time.Duration, lock, holder string) bool {
	return c.history(lock).heldUntil[holder] > now
}

// recordRelease records that a caller no longer considers itself the holder, since it has sent the release of the lock.
func (c *lockChecker) recordRelease(lock, holder string) { delete(c.history(lock).heldUntil, holder) }

// numberChecker checks the guarantee ORDER of numbers: no value is handed out twice, and each is higher than all that were
// handed out before its call was sent.
type numberChecker struct {
	violation error
	highest   map[string]uint64
	seen      map[string]map[uint64]bool
	handedOut int
}

func newNumberChecker() *numberChecker {
	return &numberChecker{highest: map[string]uint64{}, seen: map[string]map[uint64]bool{}}
}

// recordNumber records and checks a value of a number. Floor is the highest value that had been handed out when the call
// was sent.
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
		c.violation = fmt.Errorf("ORDER: %d is handed out under %s, but %d was handed out before the call was sent", value, name, floor)
	}
	c.seen[name][value] = true
	c.highest[name] = max(c.highest[name], value)
}
