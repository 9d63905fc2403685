package rules

import (
	"fmt"
	"slices"
	"time"
)

// The names of the rules, as in result files. The package comment describes each rule.
const (
	Answer            = "answer"
	Time              = "time"
	Effect            = "effect"
	Single            = "single"
	Drain             = "drain"
	ColdOverload      = "cold"
	Unknown           = "unknown"
	HeldUntilDeadline = "held"
	AttemptLimit      = "bound"
	DepartedClient    = "gone"
)

const (
	// maxViolations is the number of violations that are kept with their histories; further ones are counted.
	maxViolations = 100
	// maxHistory is the maximum number of lines in the history of a request.
	maxHistory = 64
)

// Violation is one violation of a rule. The JSON keys are part of the format of result files and must not change.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Request string        `json:"request,omitempty"`
	Text    string        `json:"text"`
	// History contains the events of the request, the oldest first.
	History []string `json:"history,omitempty"`
}

// Settings are the limits of the rules.
type Settings struct {
	// Grace is the time after the deadline within which an answer still counts as in time.
	Grace time.Duration
	// DrainGrace is the time after the announcement of a drain within which attempts may still be sent.
	DrainGrace time.Duration
	// MaxAttempts is the maximum number of attempts per request; 0 for no limit.
	MaxAttempts int
	// CheckHeld enables the rule HeldUntilDeadline. The rule requires that events are observed to within some
	// milliseconds, which an engine on a busy machine cannot guarantee.
	CheckHeld bool
}

const (
	// A refusal within heldMargin before the deadline counts as held until the deadline, unless the request
	// was accepted, or its last attempt ended, within followUpMargin before the refusal.
	heldMargin     = 15 * time.Millisecond
	followUpMargin = 100 * time.Millisecond
	// departedMargin is the time after the departure of its client within which an attempt may still begin.
	departedMargin = 100 * time.Millisecond
	// maxStalls is the number of latest stalls that are kept for each instance.
	maxStalls = 64
)

// Request is a request that an instance has accepted.
type Request struct {
	ID string
	// Origin identifies the client's operation. The effect of an unsafe operation may happen only once over all
	// of its requests.
	Origin   string
	Instance int
	Deadline time.Duration
	// Effect is safe, keyed or unsafe.
	Effect string
	// Scope is the scope of a key: all, zone or cell.
	Scope string
	// Window is the time for which servers drop repeats of a key.
	Window time.Duration
}

// Location is the zone and cell of a server. Cell numbers are unique across zones.
type Location struct{ Zone, Cell int }

// execution records that a server has begun to work on a request.
type execution struct {
	at       time.Duration
	location Location
}

// interval is the time of a stall.
type interval struct{ from, to time.Duration }

// requestState is an open request: it is not answered, or it has an attempt in flight.
type requestState struct {
	Request
	answered bool
	// inFlight is the number of the attempt in flight; -1 if there is none.
	inFlight   int
	acceptedAt time.Duration
	// attempts counts the attempts that were sent.
	attempts int
	// lastAttemptEnd is the time at which the last attempt ended.
	lastAttemptEnd time.Duration
	history        []string
}

// Checker checks the events of one run. It is not safe for concurrent use.
type Checker struct {
	settings Settings
	open     map[string]*requestState
	// executions contains the executions of unsafe requests by origin, and of keyed requests by request.
	executions map[string][]execution
	// announced contains the servers that were announced to an instance, by instance and server.
	announced map[[2]int]bool
	// drainingSince is the time at which an instance learnt that a server drains or has departed, by instance
	// and server.
	drainingSince map[[2]int]time.Duration
	// stalls contains the latest stalls of each instance, the oldest first.
	stalls     map[int][]interval
	violations []Violation
	// counts is the number of violations of each rule.
	counts map[string]int
}

// New creates a checker.
func New(s Settings) *Checker {
	return &Checker{
		settings: s, open: map[string]*requestState{}, executions: map[string][]execution{}, announced: map[[2]int]bool{},
		drainingSince: map[[2]int]time.Duration{}, stalls: map[int][]interval{}, counts: map[string]int{},
	}
}

// Violations returns the first violations with their histories.
func (c *Checker) Violations() []Violation { return c.violations }

// Counts returns the number of violations of each rule.
func (c *Checker) Counts() map[string]int { return c.counts }

// report records a violation.
func (c *Checker) report(rule string, at time.Duration, request *requestState, text string, args ...any) {
	c.counts[rule]++
	if len(c.violations) >= maxViolations {
		return
	}
	v := Violation{Rule: rule, At: at, Text: fmt.Sprintf(text, args...)}
	if request != nil {
		v.Request, v.History = request.ID, slices.Clone(request.history)
	}
	c.violations = append(c.violations, v)
}

// record adds a line to the history of a request.
func (r *requestState) record(at time.Duration, text string, args ...any) {
	if len(r.history) < maxHistory {
		r.history = append(r.history, fmt.Sprintf("%.3f s ", at.Seconds())+fmt.Sprintf(text, args...))
	}
}

// EndpointListed records that discovery has announced a server to an instance: as ready, or as draining or
// departed.
func (c *Checker) EndpointListed(at time.Duration, instance, server int, ready bool) {
	key := [2]int{instance, server}
	c.announced[key] = true
	if ready {
		delete(c.drainingSince, key)
	} else if _, ok := c.drainingSince[key]; !ok {
		c.drainingSince[key] = at
	}
}

// ProcessStalled records that the process of an instance stalls for a duration.
func (c *Checker) ProcessStalled(at, duration time.Duration, instance int) {
	all := append(c.stalls[instance], interval{at, at + duration})
	c.stalls[instance] = all[max(len(all)-maxStalls, 0):]
}

// stalledTime returns the time for which an instance was stalled between two times.
func (c *Checker) stalledTime(instance int, from, to time.Duration) (sum time.Duration) {
	for _, stall := range c.stalls[instance] {
		sum += max(min(to, stall.to)-max(from, stall.from), 0)
		from = max(from, stall.to) // overlapping stalls count once
	}
	return sum
}

// RequestAccepted records that an instance has accepted a request.
func (c *Checker) RequestAccepted(at time.Duration, r Request) {
	request := &requestState{Request: r, inFlight: -1, acceptedAt: at}
	request.record(at, "accepted by instance %d, deadline at %.3f s", r.Instance, r.Deadline.Seconds())
	c.open[r.ID] = request
}

// AttemptSent records that an instance sends an attempt to a server, and checks the rules on attempts.
func (c *Checker) AttemptSent(at time.Duration, id string, attempt, server int) {
	request := c.open[id]
	if request == nil {
		c.report(Single, at, nil, "attempt %d of request %s, which is complete, is sent to server %d", attempt, id, server)
		return
	}
	request.record(at, "attempt %d to server %d", attempt, server)
	if request.answered || request.inFlight >= 0 {
		c.report(Single, at, request, "attempt %d is sent after the answer, or while attempt %d is in flight (-1 for none)", attempt,
			request.inFlight)
	}
	request.inFlight = attempt
	if request.attempts++; c.settings.MaxAttempts > 0 && request.attempts > c.settings.MaxAttempts {
		c.report(AttemptLimit, at, request, "%d attempts, at most %d are allowed", request.attempts, c.settings.MaxAttempts)
	}
	key := [2]int{request.Instance, server}
	if !c.announced[key] {
		c.report(Unknown, at, request, "sent to server %d, which was not announced to instance %d", server, request.Instance)
	}
	if since, ok := c.drainingSince[key]; ok && at-since > c.settings.DrainGrace+c.stalledTime(request.Instance, since, at) {
		c.report(Drain, at, request, "sent to server %d %.3f s after the announcement that it drains or has departed", server,
			(at - since).Seconds())
	}
}

// AttemptEnded records the end of an attempt and its outcome.
func (c *Checker) AttemptEnded(at time.Duration, id string, attempt int, outcome string) {
	request := c.open[id]
	if request == nil {
		return
	}
	request.record(at, "attempt %d ends: %s", attempt, outcome)
	if request.inFlight == attempt {
		request.inFlight, request.lastAttemptEnd = -1, at
	}
	c.removeIfComplete(request)
}

// ExecutionStarted records that a server has begun to work on a request, and checks that it may.
func (c *Checker) ExecutionStarted(at time.Duration, id string, location Location) {
	request := c.open[id]
	if request == nil || request.Effect == "safe" {
		return
	}
	request.record(at, "execution starts in zone %d, cell %d", location.Zone, location.Cell)
	// A retry of a keyed request by the client has a key of its own. A client retries an unsafe request only
	// after an answer by which it has not run, so all requests of an unsafe operation count together.
	identity := request.Origin
	if request.Effect == "keyed" {
		identity = request.ID
	}
	earlier := c.executions[identity]
	c.executions[identity] = append(earlier, execution{at, location})
	for _, previous := range earlier {
		isDeduplicated := request.Scope == "all" || request.Scope == "zone" && previous.location.Zone == location.Zone ||
			request.Scope == "cell" && previous.location.Cell == location.Cell
		if request.Effect == "keyed" && isDeduplicated && at-previous.at <= request.Window {
			continue // the server drops it as a duplicate
		}
		c.report(Effect, at, request, "executed again after an execution at %.3f s in zone %d, cell %d", previous.at.Seconds(),
			previous.location.Zone, previous.location.Cell)
		return
	}
}

// RequestAnswered records the final answer to a request, and checks the rules on answers.
func (c *Checker) RequestAnswered(at time.Duration, id, outcome string) {
	request := c.open[id]
	if request == nil {
		c.report(Answer, at, nil, "request %s, which is complete or was never accepted, is answered: %s", id, outcome)
		return
	}
	request.record(at, "answered: %s", outcome)
	if request.answered {
		c.report(Answer, at, request, "a second answer: %s", outcome)
		return
	}
	request.answered = true
	stalled := c.stalledTime(request.Instance, request.acceptedAt, at)
	if late := at - request.Deadline; late > c.settings.Grace+stalled {
		c.report(Time, at, request, "answered %.3f s after the deadline", late.Seconds())
	}
	if c.settings.CheckHeld && stalled == 0 && outcome != "served" && request.inFlight < 0 &&
		at >= request.Deadline-heldMargin && at-max(request.acceptedAt, request.lastAttemptEnd) > followUpMargin {
		c.report(HeldUntilDeadline, at, request, "%s %.3f s before its deadline, with no attempt in flight", outcome,
			(request.Deadline - at).Seconds())
	}
	c.removeIfComplete(request)
}

// ClientDeparted records that the client of a request has departed, so that no answer is required. A departure
// at the deadline is a violation, since the answer had to arrive before.
func (c *Checker) ClientDeparted(at time.Duration, id string) {
	if request := c.open[id]; request != nil && !request.answered {
		request.record(at, "the client has departed")
		if at >= request.Deadline && c.stalledTime(request.Instance, request.acceptedAt, at) == 0 {
			c.report(Time, at, request, "no answer before the deadline")
		}
		request.answered = true
		c.removeIfComplete(request)
	}
}

// AttemptAfterDeparture reports an attempt that began more than departedMargin after the departure of its client.
func (c *Checker) AttemptAfterDeparture(at, departedAt time.Duration, id string, attempt int) {
	if late := at - departedAt; late > departedMargin {
		c.report(DepartedClient, at, nil, "attempt %d of request %s begins %.3f s after its client has departed", attempt, id,
			late.Seconds())
	}
}

// ConnectionLost records that the connection of a request ended without an answer.
func (c *Checker) ConnectionLost(at time.Duration, id string, cause error) {
	if request := c.open[id]; request != nil && !request.answered {
		c.report(Answer, at, request, "the connection ended without an answer: %v", cause)
		request.answered = true
		c.removeIfComplete(request)
	}
}

// ProcessKilled records that the process with a request was killed, so that no answer is required.
func (c *Checker) ProcessKilled(at time.Duration, id string) {
	if request := c.open[id]; request != nil {
		request.record(at, "the process was killed")
		request.answered, request.inFlight = true, -1
		c.removeIfComplete(request)
	}
}

// removeIfComplete removes a request that is answered and has no attempt in flight.
func (c *Checker) removeIfComplete(request *requestState) {
	if request.answered && request.inFlight < 0 {
		delete(c.open, request.ID)
		if request.Effect == "keyed" {
			delete(c.executions, request.ID)
		}
	}
}

// ForgetOrigin removes the executions of an operation that no client will retry.
func (c *Checker) ForgetOrigin(origin string) { delete(c.executions, origin) }

// ColdServerOverloaded reports that a server crashed by overload while it was warming up. Load is the load as a
// multiple of the server's capacity at that time.
func (c *Checker) ColdServerOverloaded(at time.Duration, server int, load float64) {
	c.report(ColdOverload, at, nil, "server %d crashed while warming up: the load was %.1f times its present capacity", server, load)
}

// Finish ends the run. It reports the requests that are open after their deadlines.
func (c *Checker) Finish(at time.Duration) {
	var ids []string
	for id, request := range c.open {
		if !request.answered && at-request.Deadline > c.settings.Grace+c.stalledTime(request.Instance, request.acceptedAt, at) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.report(Answer, at, c.open[id], "no answer until the end of the run")
	}
}
