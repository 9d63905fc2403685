package rules

import (
	"fmt"
	"testing"
	"time"
)

// A keyed request may run again only within the scope and window in which servers drop duplicates. An unsafe
// request may not run again, even after a retry by the client. A safe request may always run again.
func TestExecutionStartedReportsForbiddenRepeats(t *testing.T) {
	here, zone, far := Location{1, 1}, Location{1, 2}, Location{2, 9}
	for name, testCase := range map[string]struct {
		effect, scope string
		second        Location
		after         time.Duration
		newRequest    bool // by a retry of the client
		broken        int
	}{
		"safe":                             {"safe", "all", far, time.Minute, false, 0},
		"unsafe":                           {"unsafe", "all", here, time.Millisecond, false, 1},
		"unsafe, client retry":             {"unsafe", "all", here, time.Millisecond, true, 1},
		"keyed, in scope all":              {"keyed", "all", far, time.Second, false, 0},
		"keyed, window over":               {"keyed", "all", here, 6 * time.Second, false, 1},
		"keyed, in its zone":               {"keyed", "zone", zone, time.Second, false, 0},
		"keyed, in another zone":           {"keyed", "zone", far, time.Second, false, 1},
		"keyed, in its cell":               {"keyed", "cell", here, time.Second, false, 0},
		"keyed, in another cell":           {"keyed", "cell", zone, time.Second, false, 1},
		"keyed, client retry out of scope": {"keyed", "cell", far, time.Minute, true, 0},
	} {
		c := New(Settings{})
		r := Request{ID: "a/1", Origin: "a", Deadline: time.Hour, Effect: testCase.effect, Scope: testCase.scope, Window: 5 * time.Second}
		c.RequestAccepted(0, r)
		c.ExecutionStarted(time.Second, r.ID, here)
		if testCase.newRequest {
			c.RequestAnswered(time.Second, r.ID, "refused")
			r.ID = "a/2"
			c.RequestAccepted(time.Second, r)
		}
		c.ExecutionStarted(time.Second+testCase.after, r.ID, testCase.second)
		if c.Counts()[Effect] != testCase.broken {
			t.Errorf("%s: violations %v", name, c.Counts())
		}
	}
}

// The checker removes completed requests and limits the stored violations and histories.
func TestCheckerForgetsCompletedRequestsAndBoundsHistory(t *testing.T) {
	c := New(Settings{Grace: time.Millisecond})
	for i := range 3 * maxViolations {
		id := string(rune('a' + i))
		c.RequestAccepted(0, Request{ID: id, Origin: id, Deadline: time.Second, Effect: "keyed", Scope: "all"})
		for range 2 * maxHistory {
			c.AttemptSent(0, id, 0, 0)
		}
		c.ExecutionStarted(0, id, Location{})
		c.AttemptEnded(time.Second, id, 0, "ok")
		c.RequestAnswered(2*time.Second, id, "served")
	}
	if len(c.open)+len(c.executions) > 0 || len(c.Violations()) != maxViolations || c.Counts()[Time] != 3*maxViolations {
		t.Errorf("%d open requests, %d executions, %d stored violations, counts %v", len(c.open), len(c.executions), len(c.Violations()), c.Counts())
	}
	for _, v := range c.Violations() {
		if len(v.History) > maxHistory {
			t.Errorf("a history has %d lines", len(v.History))
		}
	}
}

// A stall extends the time limits of answers and drains by its duration. It excuses no other violation.
func TestCheckerExcusesLatenessOnlyByStalledTime(t *testing.T) {
	for name, testCase := range map[string]struct {
		stall  time.Duration // of instance 1, from 0.5 s on
		broken string
		play   func(c *Checker, r Request)
	}{
		"late by less than the stall": {time.Second, "map[]", func(c *Checker, r Request) { c.RequestAnswered(1900*time.Millisecond, r.ID, "refused") }},
		"late by more than the stall": {time.Second, "map[time:1]", func(c *Checker, r Request) { c.RequestAnswered(2100*time.Millisecond, r.ID, "served") }},
		"late without stall":          {0, "map[time:1]", func(c *Checker, r Request) { c.RequestAnswered(1100*time.Millisecond, r.ID, "served") }},
		"overlapping stalls count once": {time.Second, "map[time:1]", func(c *Checker, r Request) {
			c.ProcessStalled(time.Second, 500*time.Millisecond, 1)
			c.RequestAnswered(2300*time.Millisecond, r.ID, "served")
		}},
		"stall of another instance": {0, "map[time:1]", func(c *Checker, r Request) {
			c.ProcessStalled(0, time.Minute, 2)
			c.RequestAnswered(2*time.Second, r.ID, "served")
		}},
		"no answer at all": {time.Second, "map[answer:1]", func(c *Checker, _ Request) { c.Finish(time.Minute) }},
		"attempt to draining server within stall": {time.Second, "map[]", func(c *Checker, r Request) {
			c.EndpointListed(400*time.Millisecond, 1, 1, false)
			c.AttemptSent(1500*time.Millisecond, r.ID, 0, 1)
		}},
		"attempt to draining server after stall": {time.Second, "map[drain:1]", func(c *Checker, r Request) {
			c.EndpointListed(400*time.Millisecond, 1, 1, false)
			c.AttemptSent(1800*time.Millisecond, r.ID, 0, 1)
		}},
		"unsafe request runs twice": {time.Second, "map[effect:1]", func(c *Checker, r Request) {
			c.ExecutionStarted(600*time.Millisecond, r.ID, Location{})
			c.ExecutionStarted(700*time.Millisecond, r.ID, Location{})
		}},
		"attempt after departure of client":      {time.Second, "map[gone:1]", func(c *Checker, r Request) { c.AttemptAfterDeparture(1200*time.Millisecond, time.Second, r.ID, 0) }},
		"attempt just after departure of client": {0, "map[]", func(c *Checker, r Request) { c.AttemptAfterDeparture(1050*time.Millisecond, time.Second, r.ID, 0) }},
	} {
		c := New(Settings{DrainGrace: 250 * time.Millisecond, CheckHeld: true})
		c.EndpointListed(0, 1, 1, true)
		r := Request{ID: "a/1", Origin: "a", Instance: 1, Deadline: time.Second, Effect: "unsafe"}
		c.RequestAccepted(100*time.Millisecond, r)
		if testCase.stall > 0 {
			c.ProcessStalled(500*time.Millisecond, testCase.stall, 1)
		}
		testCase.play(c, r)
		if got := fmt.Sprint(c.Counts()); got != testCase.broken {
			t.Errorf("%s: violations %s, want %s", name, got, testCase.broken)
		}
	}
}
