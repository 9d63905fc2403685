package requestsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// The rules that Check verifies.
const (
	Twice   = "TWICE"   // a request, or an operation with its retries, that may run once ran more often
	Refused = "REFUSED" // a request ran that was answered with the promise that it has not run
	Order   = "ORDER"   // a stream is not the events of its request in order, or ends as complete before the last one
	Mixed   = "MIXED"   // a response is not the complete response of an endpoint to the request
	Lost    = "LOST"    // a planned stop closed a connection without the response to a request that an endpoint had
	Unasked = "UNASKED" // an endpoint received other bytes than the client's in the body of a request
	Denied  = "DENIED"  // too many proper requests were answered with a 4xx
)

const (
	// deniedAllowance and deniedFraction bound the proper requests that may be answered with a 4xx.
	deniedAllowance = 5
	deniedFraction  = 1.0 / 500
	// abortFraction is the fraction of the grace period after which a stopping process may cut a request off.
	abortFraction = 5.0 / 6
	// abortableWindow is the time after SIGTERM within which a request must be sent so that it may be cut off.
	abortableWindow = 3 * time.Second
	// maxTracedBody is the number of bytes of a body in a trace.
	maxTracedBody = 100
	// deadlineUnit is the unit in which a request states its deadline, rounded down.
	deadlineUnit = time.Millisecond
	// disturbanceWindow is the time after an unplanned fault of a process in which LOST does not bind it.
	disturbanceWindow = 3 * time.Second
)

// Violation is a broken rule with the events that show it, one a line.
type Violation struct {
	Rule, Reason string
	Trace        []string
}

// String formats the violation and its trace.
func (v Violation) String() string {
	return strings.Join(append([]string{v.Rule + ": " + v.Reason}, v.Trace...), "\n  ")
}

// checker holds the indices of a history that the rules use.
type checker struct {
	*History
	grace      time.Duration
	runsOf     map[string][]*Run
	violations []Violation
}

// Check returns all violations of a history. The grace period is that of the proxies.
func Check(h *History, grace time.Duration) []Violation {
	c := &checker{
		History: h, grace: grace,
		runsOf: lo.GroupBy(h.Runs, func(run *Run) string { return run.Request }),
	}
	c.checkSingleRuns()
	c.checkOperations()
	for _, try := range h.Tries {
		c.checkPromise(try)
		c.checkResponse(try)
		c.checkLoss(try)
	}
	c.checkBodies()
	c.checkDenials()
	return c.violations
}

func (c *checker) add(rule string, try *Try, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Reason: fmt.Sprintf(format, arguments...), Trace: c.trace(try)})
}

// trace lists what happened to a request, to the connections that it ran on and to its proxy, in order.
func (c *checker) trace(try *Try) []string {
	lines := []traceLine{{try.Sent, try.String()}}
	for _, run := range c.runsOf[try.ID] {
		lines = append(lines, traceLine{run.Began, fmt.Sprintf("%.3f s to %.3f s: %s, connection of %s, runs %s: status %d, whole %t, broken off %t, signature %s",
			run.Began.Seconds(), run.Ended.Seconds(), run.Endpoint, run.Connection, try.ID, run.Status, run.Complete, run.BrokenOff, run.Signature)})
	}
	for _, e := range c.Events {
		if e.Request == try.ID || c.concernsRun(e, try) {
			lines = append(lines, traceLine{e.At, fmt.Sprintf("%.3f s: %s, connection of %s, request %s: %s",
				e.At.Seconds(), e.Endpoint, e.Connection, e.Request, e.What)})
		}
	}
	for _, e := range c.Processes {
		if e.Process == try.Proxy && e.At > try.Sent-disturbanceWindow && e.At < try.Ended+time.Second {
			lines = append(lines, traceLine{e.At, fmt.Sprintf("%.3f s: %s of %s", e.At.Seconds(), e.What, e.Process)})
		}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return int(a.at - b.at) })
	return lo.Map(lines, func(l traceLine, _ int) string { return l.text })
}

// traceLine is a line of a trace.
type traceLine struct {
	at   time.Duration
	text string
}

// concernsRun reports whether an event of another request occurred on a connection while a run of a try used it, or shortly before.
func (c *checker) concernsRun(e EndpointEvent, try *Try) bool {
	return slices.ContainsFunc(c.runsOf[try.ID], func(run *Run) bool {
		return e.Connection == run.Connection && e.At > run.Began-time.Second && e.At < run.Ended+time.Millisecond
	})
}

// checkSingleRuns checks that no request that may run once runs twice, whoever sent it twice.
func (c *checker) checkSingleRuns() {
	for _, try := range c.Tries {
		if runs := len(c.runsOf[try.ID]); try.Kind.runsOnce() && runs > 1 {
			c.add(Twice, try, "request %s ran %d times", try.ID, runs)
		}
	}
}

// checkOperations checks that no operation runs twice because its client was led to retry it.
func (c *checker) checkOperations() {
	for operation, tries := range lo.GroupBy(c.Tries, func(t *Try) string { return t.Operation }) {
		ran := lo.Filter(tries, func(t *Try, _ int) bool { return len(c.runsOf[t.ID]) > 0 })
		if len(ran) > 1 && ran[0].Kind.runsOnce() {
			c.add(Twice, ran[0], "operation %s ran as request %s and again as request %s", operation, ran[0].ID, ran[1].ID)
		}
	}
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *checker) checkPromise(try *Try) {
	if runs := c.runsOf[try.ID]; try.Kind.runsOnce() && promisesNotRun(try.Status) && len(runs) > 0 {
		c.add(Refused, try, "request %s was answered %d, and %s ran it", try.ID, try.Status, runs[0].Endpoint)
	}
}

// checkResponse checks that a response belongs to its request, and that a complete success is the complete body of a run.
func (c *checker) checkResponse(try *Try) {
	if try.Status == 0 {
		return
	}
	run, signed := lo.Find(c.runsOf[try.ID], func(run *Run) bool { return run.Signature == try.Signature })
	isSuccess := try.Status >= 200 && try.Status < 300
	switch {
	case try.AnsweredID != "" && try.AnsweredID != try.ID:
		c.add(Mixed, try, "request %s got the response to %s", try.ID, try.AnsweredID)
	case isSuccess && !signed:
		c.add(Mixed, try, "request %s got a success that no run of it gave", try.ID)
	case try.Signature != "" && (!signed || run.Status != try.Status):
		c.add(Mixed, try, "request %s got a signed status %d that its run did not give", try.ID, try.Status)
	case isSuccess:
		c.checkBody(try, run)
	}
}

// checkBody checks that the body of a success is that of its run, and that a part of it does not look complete. A stream that can be
// resumed may have events of several runs.
func (c *checker) checkBody(try *Try, run *Run) {
	rule, whole, isComplete := Mixed, run.Body, run.Complete
	if try.Kind.isStream() {
		rule = Order
	}
	if try.Kind == Resumable {
		whole, isComplete = completeStream(try.ID), true
	}
	switch {
	case try.End == NotEnded && (!isComplete || whole != try.Body):
		c.add(rule, try, "request %s got a complete response that differs from its run's: %q", try.ID, lastBytes(try.Body))
	case !strings.HasPrefix(whole, try.Body):
		c.add(rule, try, "request %s got a part of a response that its run did not give: %q", try.ID, lastBytes(try.Body))
	}
}

// lastBytes returns the end of a body, for a trace.
func lastBytes(body string) string { return body[max(0, len(body)-maxTracedBody):] }

// checkLoss checks a request whose connection a stopping proxy closed, although an endpoint was able to complete it.
func (c *checker) checkLoss(try *Try) {
	if try.End != Closed && try.End != Reset && try.End != Truncated {
		return
	}
	runs := c.runsOf[try.ID]
	if len(runs) == 0 || runs[len(runs)-1].BrokenOff || try.Ended >= try.Deadline-deadlineUnit {
		return // no endpoint had it, the endpoint broke off, or the deadline was reached
	}
	stoppedAt, isPlanned := c.plannedStop(try)
	if !isPlanned || try.Sent <= stoppedAt+abortableWindow && try.Ended >= stoppedAt+time.Duration(abortFraction*float64(c.grace)) {
		return
	}
	c.add(Lost, try, "request %s was cut off by a planned stop", try.ID)
}

// plannedStop returns when the proxy of a try received the SIGTERM that was in force when the try ended. It returns false if there
// is none, or if the process was frozen or killed shortly before or meanwhile.
func (c *checker) plannedStop(try *Try) (at time.Duration, isPlanned bool) {
	for _, e := range c.Processes {
		if e.Process != try.Proxy || e.At > try.Ended {
			continue
		}
		switch e.What {
		case processTerminated:
			if !isPlanned {
				at, isPlanned = e.At, true
			}
		case processStarted:
			isPlanned = false
		case processKilled, processFrozen, processThawed:
			if e.At > try.Sent-disturbanceWindow {
				return 0, false
			}
		case processHungUp, processExited:
		}
	}
	return at, isPlanned
}

// checkBodies checks that endpoints received in the body of a request only what its client sent.
func (c *checker) checkBodies() {
	triesByID := lo.KeyBy(c.Tries, func(t *Try) string { return t.ID })
	for _, e := range c.Events {
		if try := triesByID[e.Request]; try != nil && strings.HasPrefix(e.What, foreignBytes) {
			c.add(Unasked, try, "%s, request %s: %s", e.Endpoint, e.Request, e.What)
		}
	}
}

// Denials returns the tries that proxies answered with a 3xx or 4xx of their own. All requests of the clients are proper.
func (h *History) Denials() []*Try {
	return lo.Filter(h.Tries, func(t *Try, _ int) bool {
		return t.Signature == "" && t.Status >= 300 && t.Status < 500 && !promisesNotRun(t.Status)
	})
}

func (c *checker) checkDenials() {
	denied := c.Denials()
	if float64(len(denied)) > deniedAllowance+deniedFraction*float64(len(c.Tries)) {
		c.add(Denied, denied[0], "%d of %d proper requests were denied, the first with %d", len(denied), len(c.Tries), denied[0].Status)
	}
}
