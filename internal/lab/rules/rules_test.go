package rules

import (
	"fmt"
	"testing"
	"time"
)

// What carries a key may run again only where and while repeats of it are dropped; what must not run twice never, also
// when a client asks anew; what is safe always.
func TestEffect(t *testing.T) {
	here, zone, far := Place{1, 1}, Place{1, 2}, Place{2, 9}
	for name, tc := range map[string]struct {
		effect, scope string
		again         Place
		after         time.Duration
		anew          bool // by another try of the client
		broken        int
	}{
		"safe":                      {"safe", "all", far, time.Minute, false, 0},
		"unsafe":                    {"unsafe", "all", here, time.Millisecond, false, 1},
		"unsafe, asked anew":        {"unsafe", "all", here, time.Millisecond, true, 1},
		"keyed everywhere":          {"keyed", "all", far, time.Second, false, 0},
		"keyed, window over":        {"keyed", "all", here, 6 * time.Second, false, 1},
		"keyed, in its zone":        {"keyed", "zone", zone, time.Second, false, 0},
		"keyed, in another zone":    {"keyed", "zone", far, time.Second, false, 1},
		"keyed, in its cell":        {"keyed", "cell", here, time.Second, false, 0},
		"keyed, in another cell":    {"keyed", "cell", zone, time.Second, false, 1},
		"keyed, asked anew far off": {"keyed", "cell", far, time.Minute, true, 0},
	} {
		c := New(Settings{})
		r := Request{ID: "a/1", Origin: "a", Deadline: time.Hour, Effect: tc.effect, Scope: tc.scope, Window: 5 * time.Second}
		c.Taken(0, r)
		c.Ran(time.Second, r.ID, here)
		if tc.anew {
			c.Answered(time.Second, r.ID, "refused")
			r.ID = "a/2"
			c.Taken(time.Second, r)
		}
		c.Ran(time.Second+tc.after, r.ID, tc.again)
		if c.Counts()[Effect] != tc.broken {
			t.Errorf("%s: broken %v", name, c.Counts())
		}
	}
}

// What is over is forgotten, and what is kept of violations has a bound.
func TestCheckerIsBounded(t *testing.T) {
	c := New(Settings{Grace: time.Millisecond})
	for i := range 3 * mostTold {
		id := string(rune('a' + i))
		c.Taken(0, Request{ID: id, Origin: id, Deadline: time.Second, Effect: "keyed", Scope: "all"})
		for range 2 * mostHistory {
			c.Sent(0, id, 0, 0)
		}
		c.Ran(0, id, Place{})
		c.Ended(time.Second, id, 0, "ok")
		c.Answered(2*time.Second, id, "served")
	}
	if len(c.open)+len(c.runs) > 0 || len(c.Violations()) != mostTold || c.Counts()[Time] != 3*mostTold {
		t.Errorf("%d open, %d runs, %d kept, %v", len(c.open), len(c.runs), len(c.Violations()), c.Counts())
	}
	for _, v := range c.Violations() {
		if len(v.History) > mostHistory {
			t.Errorf("a history of %d lines", len(v.History))
		}
	}
}

// Who stands still is late by as much with its answers and with heeding a drain, and by no more; nothing else is excused.
func TestStalled(t *testing.T) {
	for name, tc := range map[string]struct {
		stall  time.Duration // of instance 1, from 0.5 s on
		broken string
		play   func(c *Checker, r Request)
	}{
		"late by less":   {time.Second, "map[]", func(c *Checker, r Request) { c.Answered(1900*time.Millisecond, r.ID, "refused") }},
		"late by more":   {time.Second, "map[time:1]", func(c *Checker, r Request) { c.Answered(2100*time.Millisecond, r.ID, "served") }},
		"late, and well": {0, "map[time:1]", func(c *Checker, r Request) { c.Answered(1100*time.Millisecond, r.ID, "served") }},
		"of two, no sum": {time.Second, "map[time:1]", func(c *Checker, r Request) {
			c.Stalled(time.Second, 500*time.Millisecond, 1)
			c.Answered(2300*time.Millisecond, r.ID, "served")
		}},
		"another's": {0, "map[time:1]", func(c *Checker, r Request) { c.Stalled(0, time.Minute, 2); c.Answered(2*time.Second, r.ID, "served") }},
		"never":     {time.Second, "map[answer:1]", func(c *Checker, _ Request) { c.End(time.Minute) }},
		"drain, meant to": {time.Second, "map[]", func(c *Checker, r Request) {
			c.Listed(400*time.Millisecond, 1, 1, false)
			c.Sent(1500*time.Millisecond, r.ID, 0, 1)
		}},
		"drain, too late": {time.Second, "map[drain:1]", func(c *Checker, r Request) {
			c.Listed(400*time.Millisecond, 1, 1, false)
			c.Sent(1800*time.Millisecond, r.ID, 0, 1)
		}},
		"twice": {time.Second, "map[effect:1]", func(c *Checker, r Request) {
			c.Ran(600*time.Millisecond, r.ID, Place{})
			c.Ran(700*time.Millisecond, r.ID, Place{})
		}},
		"client gone": {time.Second, "map[gone:1]", func(c *Checker, r Request) { c.Abandoned(1200*time.Millisecond, time.Second, r.ID, 0) }},
		"just gone":   {0, "map[]", func(c *Checker, r Request) { c.Abandoned(1050*time.Millisecond, time.Second, r.ID, 0) }},
	} {
		c := New(Settings{DrainGrace: 250 * time.Millisecond, Held: true})
		c.Listed(0, 1, 1, true)
		r := Request{ID: "a/1", Origin: "a", Instance: 1, Deadline: time.Second, Effect: "unsafe"}
		c.Taken(100*time.Millisecond, r)
		if tc.stall > 0 {
			c.Stalled(500*time.Millisecond, tc.stall, 1)
		}
		tc.play(c, r)
		if got := fmt.Sprint(c.Counts()); got != tc.broken {
			t.Errorf("%s: broken %s, want %s", name, got, tc.broken)
		}
	}
}
