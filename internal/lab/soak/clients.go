package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"dykering/internal/lab/history"
)

const (
	leastHold = 400 * time.Millisecond
	mostHold  = 2500 * time.Millisecond
	// resendTime is how long a put or a change without a clear answer is sent again.
	resendTime  = 5 * time.Second
	resendPause = 100 * time.Millisecond
)

// contend takes locks, holds them in different ways, and gives them back or not.
func (c *caller) contend(locks []string) {
	for c.pause(5*time.Millisecond, 80*time.Millisecond) {
		lock := draw(c.random, locks)
		hold := drawDuration(c.random, leastHold, mostHold).Truncate(time.Millisecond)
		call := c.begin(lock, hold)
		if until := call.Sent + hold; call.Status == http.StatusOK && call.Received < until {
			c.hold(lock, call.Token, hold, until)
		}
	}
}

// hold holds a lock that the caller has got until a time.
func (c *caller) hold(lock string, token uint64, hold, until time.Duration) {
	switch c.random.IntN(6) {
	case 0, 1: // for a moment
		c.pause(0, 100*time.Millisecond)
		c.giveBack(lock, token)
	case 2: // for long
		if c.keep(lock, token, hold, until) {
			c.giveBack(lock, token)
		}
	case 3: // the caller dies, and comes back under its name
		c.pause(until-c.recorder.Now(), until-c.recorder.Now()+hold/4)
	case 4: // the caller sleeps past its time
		c.pause(until-c.recorder.Now(), until-c.recorder.Now()+hold/4)
		c.heartbeat(lock, token, hold)
		c.giveBack(lock, token)
	case 5: // the lock is given back, and taken again at once, whatever the answer
		c.finish(lock, token)
		c.begin(lock, hold)
	}
}

// keep renews a lock for some rounds. It reports false once the caller counts itself holder no longer.
func (c *caller) keep(lock string, token uint64, hold, until time.Duration) bool {
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

func (c *caller) giveBack(lock string, token uint64) {
	if c.finish(lock, token).Status != http.StatusOK {
		c.finish(lock, token)
	}
}

// count asks for numbers.
func (c *caller) count(names []string) {
	for c.pause(5*time.Millisecond, 60*time.Millisecond) {
		c.number(draw(c.random, names))
	}
}

// edit reads keys and puts values, with and without a condition.
func (c *caller) edit(keys []string) {
	known := map[string]uint64{}
	for number := 0; c.pause(5*time.Millisecond, 60*time.Millisecond); number++ {
		key := draw(c.random, keys)
		var call history.Call
		switch c.random.IntN(3) {
		case 0:
			call = c.read(key)
		case 1:
			call = c.putClearly(key, fmt.Sprintf("%s-%d", c.name, number), nil)
		case 2:
			revision := known[key]
			call = c.putClearly(key, fmt.Sprintf("%s-%d", c.name, number), &revision)
		}
		if call.Status == http.StatusOK || call.Status == http.StatusPreconditionFailed {
			known[key] = call.Revision
		}
	}
}

// putClearly puts a value, again while there is no clear answer.
func (c *caller) putClearly(key, value string, revision *uint64) history.Call {
	began := c.recorder.Now()
	for {
		call := c.put(key, value, revision)
		switch call.Status {
		case http.StatusOK, http.StatusPreconditionFailed, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return call
		}
		if c.recorder.Now()-began > resendTime || !pause(c.done, resendPause) {
			return call
		}
	}
}

// saved is a revision that a watcher may resume from.
type saved struct {
	revision uint64
	given    time.Duration
}

// follow watches a group. Sometimes it resumes from a revision that it was given earlier, within the time that it may.
func (c *caller) follow(group string, retention time.Duration) []saved {
	var all []saved
	after := uint64(0)
	for c.pause(0, 20*time.Millisecond) {
		call := c.watch(group, after, drawDuration(c.random, 200*time.Millisecond, 1500*time.Millisecond))
		switch call.Status {
		case http.StatusOK:
			after = call.Revision
			all = append(all, saved{revision: after, given: call.Received})
		case http.StatusGone:
			after = 0
		default:
			c.pause(20*time.Millisecond, 100*time.Millisecond)
		}
		all = slices.DeleteFunc(all, func(s saved) bool { return c.recorder.Now()-s.given > retention })
		if len(all) > 0 && c.random.IntN(10) == 0 {
			after = draw(c.random, all).revision
		}
	}
	return all
}

// operate changes the configuration on top of the version that it reads, as another operator may at the same time.
func (c *caller) operate() {
	for number := 0; c.pause(20*time.Millisecond, 300*time.Millisecond); number++ {
		read := c.readConfiguration()
		if read.Status != http.StatusOK {
			continue
		}
		c.changeClearly(read.Version, read.Version+1+c.random.IntN(3), fmt.Sprintf("%s-%d", c.name, number))
	}
}

// changeClearly sends a change, again while there is no clear answer.
func (c *caller) changeClearly(base, version int, content string) {
	began := c.recorder.Now()
	for {
		call := c.configure(base, version, content)
		rejected := call.Status >= http.StatusBadRequest && call.Status < http.StatusInternalServerError &&
			call.Status != http.StatusTooManyRequests
		if call.Status == http.StatusOK || rejected {
			return
		}
		if c.recorder.Now()-began > resendTime || !pause(c.done, resendPause) {
			return
		}
	}
}
