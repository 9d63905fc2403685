package requestsoak

import (
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
)

const testGrace = 4 * time.Second

// try returns a try that was sent at 1 s and answered at 2 s.
func try(kind RouteKind, status int) *Try {
	return &Try{ID: "a", Operation: "o", Kind: kind, Proxy: "p", Sent: time.Second, Ended: 2 * time.Second, Deadline: time.Minute, Status: status}
}

// run returns a run of a request that gave the complete response "body".
func run(request, signature string) *Run {
	return &Run{Request: request, Signature: signature, Began: time.Second, Ended: 2 * time.Second, Status: 200, Complete: true, Body: "body"}
}

// served returns a try that got the response of the run "s".
func served() *Try {
	t := try(NonIdempotent, 200)
	t.Signature, t.Body = "s", "body"
	return t
}

// streamed returns a try that got a stream that looks complete.
func streamed(body string) *Try {
	t := truncatedTo(Resumable, body)
	t.End = NotEnded
	return t
}

// truncatedTo returns a try that got a part of a response of the run "s".
func truncatedTo(kind RouteKind, body string) *Try {
	t := served()
	t.Kind, t.Body, t.End = kind, body, Truncated
	return t
}

// cut returns a try whose connection was closed at 2 s without a response.
func cut() *Try {
	t := try(NonIdempotent, 0)
	t.End = Closed
	return t
}

// cutBefore returns a try whose connection was closed some time before its deadline.
func cutBefore(left time.Duration) *Try {
	t := cut()
	t.Deadline = t.Ended + left
	return t
}

func TestCheckFindsEachViolation(t *testing.T) {
	foreign, shorter := served(), served()
	foreign.AnsweredID, shorter.Body = "b", "bo"
	retried := served()
	retried.ID = "b"
	brokenOff := run("a", "s")
	brokenOff.Complete, brokenOff.BrokenOff = false, true
	failure := served()
	failure.Status = 500
	twice := strings.Repeat((&Run{Request: "a"}).event(1, true), 2)
	for _, c := range []struct {
		name    string
		history History
		rules   []string
	}{
		{"a request that is served once", History{Tries: []*Try{served()}, Runs: []*Run{run("a", "s")}}, nil},
		{"a request that runs twice", History{Tries: []*Try{served()}, Runs: []*Run{run("a", "s"), run("a", "r")}}, []string{Twice}},
		{"an idempotent request that runs twice", History{Tries: []*Try{try(Idempotent, 502)}, Runs: []*Run{run("a", "s"), run("a", "r")}}, nil},
		{"an operation that runs again in a retry", History{Tries: []*Try{try(NonIdempotent, 502), retried}, Runs: []*Run{run("a", "r"), run("b", "s")}}, []string{Twice}},
		{"a refused request that runs", History{Tries: []*Try{try(NonIdempotent, 503)}, Runs: []*Run{run("a", "s")}}, []string{Refused}},
		{"a refused request that does not run", History{Tries: []*Try{try(NonIdempotent, 503)}}, nil},
		{"a failure without a promise", History{Tries: []*Try{try(Streaming, 502)}, Runs: []*Run{run("a", "s")}}, nil},
		{"a success without a run", History{Tries: []*Try{served()}}, []string{Mixed}},
		{"the response to another request", History{Tries: []*Try{foreign}, Runs: []*Run{run("a", "s")}}, []string{Mixed}},
		{"a part of a response that looks complete", History{Tries: []*Try{shorter}, Runs: []*Run{run("a", "s")}}, []string{Mixed}},
		{"a part of a response that is not its run's", History{Tries: []*Try{truncatedTo(NonIdempotent, "x")}, Runs: []*Run{run("a", "s")}}, []string{Mixed}},
		{"a part of a response", History{Tries: []*Try{truncatedTo(NonIdempotent, "bo")}, Runs: []*Run{run("a", "s")}}, nil},
		{"a whole stream of two runs", History{Tries: []*Try{streamed(completeStream("a"))}, Runs: []*Run{brokenOff, run("a", "r")}}, nil},
		{"a part of a stream that looks complete", History{Tries: []*Try{streamed(completeStream("a")[:9])}, Runs: []*Run{brokenOff, run("a", "r")}}, []string{Order}},
		{"an event that comes twice", History{Tries: []*Try{truncatedTo(Resumable, twice)}, Runs: []*Run{brokenOff, run("a", "r")}}, []string{Order}},
		{"a part of a stream", History{Tries: []*Try{truncatedTo(Resumable, twice[:len(twice)/2])}, Runs: []*Run{brokenOff}}, nil},
		{"a signed status that no run gave", History{Tries: []*Try{failure}, Runs: []*Run{run("a", "s")}}, []string{Mixed}},
		{"a request cut by a stop", History{Tries: []*Try{cut()}, Runs: []*Run{run("a", "s")}, Processes: signals(processTerminated)}, []string{Lost}},
		{"a request cut by a stop and a kill", History{Tries: []*Try{cut()}, Runs: []*Run{run("a", "s")}, Processes: signals(processTerminated, processKilled)}, nil},
		{"a request cut by a stop before its deadline", History{Tries: []*Try{cutBefore(2 * time.Millisecond)}, Runs: []*Run{run("a", "s")}, Processes: signals(processTerminated)}, []string{Lost}},
		{"a request cut at its deadline", History{Tries: []*Try{cutBefore(0)}, Runs: []*Run{run("a", "s")}, Processes: signals(processTerminated)}, nil},
		{"a request cut without a stop", History{Tries: []*Try{cut()}, Runs: []*Run{run("a", "s")}}, nil},
		{"a request cut before it was sent on", History{Tries: []*Try{cut()}, Processes: signals(processTerminated)}, nil},
		{"a request cut by its endpoint during a stop", History{Tries: []*Try{cut()}, Runs: []*Run{brokenOff}, Processes: signals(processTerminated)}, nil},
		{"a body with bytes of another request", History{Tries: []*Try{served()}, Runs: []*Run{run("a", "s")}, Events: foreignBody()}, []string{Unasked}},
		{"six denials", History{Tries: lo.Times(6, func(int) *Try { return try(Idempotent, 404) })}, []string{Denied}},
	} {
		found := lo.Map(Check(&c.history, testGrace), func(v Violation, _ int) string { return v.Rule })
		if lo.Some(found, c.rules) != (len(c.rules) > 0) || len(found) != len(c.rules) {
			t.Errorf("%s: found %v, want %v", c.name, found, c.rules)
		}
	}
}

// foreignBody returns the event of an endpoint that has received other bytes than the client's.
func foreignBody() []EndpointEvent {
	return []EndpointEvent{{Request: "a", What: foreignBytes + ": 3 of 9"}}
}

// signals returns the events of signals to the proxy p shortly before 2 s.
func signals(actions ...processAction) []ProcessEvent {
	return lo.Map(actions, func(action processAction, _ int) ProcessEvent {
		return ProcessEvent{At: 1900 * time.Millisecond, Process: "p", What: action}
	})
}

// A cut is allowed only late in the grace period, and only for a request that was sent soon after the signal.
func TestCheckAllowsCutsLateInTheGracePeriod(t *testing.T) {
	for _, c := range []struct {
		sent, ended time.Duration
		lost        bool
	}{
		{sent: 2 * time.Second, ended: 5 * time.Second, lost: true},
		{sent: 2 * time.Second, ended: 5400 * time.Millisecond, lost: false},
		{sent: 5 * time.Second, ended: 5400 * time.Millisecond, lost: true},
	} {
		cutOff := cut()
		cutOff.Sent, cutOff.Ended = c.sent, c.ended
		ran := run("a", "s")
		ran.Ended = c.ended
		found := Check(&History{Tries: []*Try{cutOff}, Runs: []*Run{ran}, Processes: signals(processTerminated)}, testGrace)
		if (len(found) > 0) != c.lost {
			t.Errorf("sent at %v, cut at %v: %v", c.sent, c.ended, found)
		}
	}
}
