package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"dykering/internal/lab/history"
	"dykering/internal/lab/pause"
)

const (
	minHold = 400 * time.Millisecond
	maxHold = 2500 * time.Millisecond
	// resendTimeout bounds the retries of a put or a configuration change that got no definite answer.
	resendTimeout = 5 * time.Second
	resendPause   = 100 * time.Millisecond
)

// contendForLocks acquires random locks, holds them in different ways, and releases some of them.
func (c *caller) contendForLocks(locks []string) {
	for c.pause(5*time.Millisecond, 80*time.Millisecond) {
		lock := choose(c.random, locks)
		hold := drawDuration(c.random, minHold, maxHold).Truncate(time.Millisecond)
		call := c.begin(lock, hold)
		if until := call.Sent + hold; call.Status == http.StatusOK && call.Received < until {
			c.holdLock(lock, call.Token, hold, until)
		}
	}
}

// holdLock holds a granted lock, which expires at until, in a randomly chosen way.
func (c *caller) holdLock(lock string, token uint64, hold, until time.Duration) {
	switch c.random.IntN(6) {
	case 0, 1: // hold the lock briefly
		c.pause(0, 100*time.Millisecond)
		c.releaseLock(lock, token)
	case 2: // renew the lock several times
		if c.renewLock(lock, token, hold, until) {
			c.releaseLock(lock, token)
		}
	case 3: // crash: let the lock expire, then continue under the same name
		c.pause(until-c.recorder.Now(), until-c.recorder.Now()+hold/4)
	case 4: // sleep past the expiry, then still send a renewal and a release
		c.pause(until-c.recorder.Now(), until-c.recorder.Now()+hold/4)
		c.heartbeat(lock, token, hold)
		c.releaseLock(lock, token)
	case 5: // release the lock and acquire it again at once, whatever the answer
		c.finish(lock, token)
		c.begin(lock, hold)
	}
}

// renewLock renews a lock a few times. It returns false once the caller must assume that it no longer holds the lock.
func (c *caller) renewLock(lock string, token uint64, hold, until time.Duration) bool {
	for range 2 + c.random.IntN(6) {
		if !c.pause(hold/4, hold/3) {
			return true
		}
		if c.recorder.Now() >= until {
			return false
		}
		call := c.heartbeat(lock, token, hold)
		if call.Received >= until || call.Status == http.StatusConflict {
			return false
		}
		if call.Status == http.StatusOK {
			until = call.Sent + hold
		}
	}
	return true
}

func (c *caller) releaseLock(lock string, token uint64) {
	if c.finish(lock, token).Status != http.StatusOK {
		c.finish(lock, token)
	}
}

// drawNumbers requests the next number of random names.
func (c *caller) drawNumbers(names []string) {
	for c.pause(5*time.Millisecond, 60*time.Millisecond) {
		c.number(choose(c.random, names))
	}
}

// editKeys reads keys and puts values, both unconditionally and conditional on the last known revision.
func (c *caller) editKeys(keys []string) {
	known := map[string]uint64{}
	for number := 0; c.pause(5*time.Millisecond, 60*time.Millisecond); number++ {
		key := choose(c.random, keys)
		var call history.Call
		switch c.random.IntN(3) {
		case 0:
			call = c.read(key)
		case 1:
			call = c.putUntilAnswered(key, fmt.Sprintf("%s-%d", c.name, number), nil)
		case 2:
			revision := known[key]
			call = c.putUntilAnswered(key, fmt.Sprintf("%s-%d", c.name, number), &revision)
		}
		if call.Status == http.StatusOK || call.Status == http.StatusPreconditionFailed {
			known[key] = call.Revision
		}
	}
}

// putUntilAnswered puts a value, and retries until the answer says whether the put took effect.
func (c *caller) putUntilAnswered(key, value string, revision *uint64) history.Call {
	began := c.recorder.Now()
	for {
		call := c.put(key, value, revision)
		switch call.Status {
		case http.StatusOK, http.StatusPreconditionFailed, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return call
		}
		if c.recorder.Now()-began > resendTimeout || !pause.For(c.done, resendPause) {
			return call
		}
	}
}

// savedRevision is a revision that a watcher may resume from, and the time at which the watcher received it.
type savedRevision struct {
	revision   uint64
	receivedAt time.Duration
}

// watchGroup watches a group and returns the saved revisions. Sometimes it resumes from an earlier revision within the retention.
func (c *caller) watchGroup(group string, retention time.Duration) []savedRevision {
	var all []savedRevision
	after := uint64(0)
	for c.pause(0, 20*time.Millisecond) {
		call := c.watch(group, after, drawDuration(c.random, 200*time.Millisecond, 1500*time.Millisecond))
		switch call.Status {
		case http.StatusOK:
			after = call.Revision
			all = append(all, savedRevision{revision: after, receivedAt: call.Received})
		case http.StatusGone:
			after = 0
		default:
			c.pause(20*time.Millisecond, 100*time.Millisecond)
		}
		all = slices.DeleteFunc(all, func(s savedRevision) bool { return c.recorder.Now()-s.receivedAt > retention })
		if len(all) > 0 && c.random.IntN(10) == 0 {
			after = choose(c.random, all).revision
		}
	}
	return all
}

// changeConfigurations repeatedly reads the configuration and replaces it. Several operators do so concurrently and may conflict.
func (c *caller) changeConfigurations() {
	for number := 0; c.pause(20*time.Millisecond, 300*time.Millisecond); number++ {
		read := c.readConfiguration()
		if read.Status != http.StatusOK {
			continue
		}
		c.configureUntilAnswered(read.Version, read.Version+1+c.random.IntN(3), fmt.Sprintf("%s-%d", c.name, number))
	}
}

// configureUntilAnswered sends a change, and retries until the change is acknowledged or rejected.
func (c *caller) configureUntilAnswered(base, version int, content string) {
	began := c.recorder.Now()
	for {
		call := c.configure(base, version, content)
		rejected := call.Status >= http.StatusBadRequest && call.Status < http.StatusInternalServerError &&
			call.Status != http.StatusTooManyRequests
		if call.Status == http.StatusOK || rejected {
			return
		}
		if c.recorder.Now()-began > resendTimeout || !pause.For(c.done, resendPause) {
			return
		}
	}
}
