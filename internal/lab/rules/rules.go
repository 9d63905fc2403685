package rules

import (
	"fmt"
	"slices"
	"time"
)

// The rules.
const (
	// The rules by the names that stand in results; the package comment says what each requires.
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
	// Violations kept with their history.
	maxViolations = 100
	// Lines of the history of one request.
	maxHistory = 64
)

// Violation is one breach of a rule. Its JSON keys are part of the format of result files.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Request string        `json:"request,omitempty"`
	Text    string        `json:"text"`
	// The history of the request, oldest first.
	History []string `json:"history,omitempty"`
}

// Settings are the limits that the rules are checked with.
type Settings struct {
	// How late an answer may be and still count as in time.
	Grace time.Duration
	// How long after the announcement of a drain attempts may still be sent.
	DrainGrace time.Duration
	// Attempts per request; 0 for no limit.
	MaxAttempts int
	// Whether HeldUntilDeadline is checked. That needs time to be observed to within some
	// milliseconds, which a busy machine does not give.
	CheckHeld bool
}

const (
	// A refusal within heldMargin of the deadline counts as held until it, unless the request arrived,
	// or its last attempt ended, within followUpMargin before.
	heldMargin     = 15 * time.Millisecond
	followUpMargin = 100 * time.Millisecond
	// departedMargin is how long after its client has departed an attempt may begin.
	departedMargin = 100 * time.Millisecond
	// maxStalls limits the stalls remembered for each instance to the latest ones.
	maxStalls = 64
)

// Request is a request that an instance has accepted.
type Request struct {
	ID string
	// The client's operation. Its effect may happen once over all of its requests.
	Origin   string
	Instance int
	Deadline time.Duration
	// safe, keyed or unsafe.
	Effect string
	// The scope of a key: all, zone or cell.
	Scope string
	// How long repeats of a key are dropped.
	Window time.Duration
}

// Location is where a server runs. Cell numbers are unique across zones.
type Location struct{ Zone, Cell int }

// execution is one start of work on a request.
type execution struct {
	at       time.Duration
	location Location
}

// interval is a span of time.
type interval struct{ from, to time.Duration }

// requestState is a request that is not answered, or that has an attempt in flight.
type requestState struct {
	Request
	answered bool
	// The attempt in flight; -1 for none.
	inFlight   int
	acceptedAt time.Duration // when it was taken
	attempts   int           // attempts
	// When the last attempt ended.
	lastAttemptEnd time.Duration
	history        []string
}

// Checker checks one run. It is not safe for concurrent use.
type Checker struct {
	settings Settings
	open     map[string]*requestState
	// Executions of requests that must not be repeated, by origin or key.
	executions map[string][]execution
	// Servers announced to each instance, by instance and server.
	announced map[[2]int]bool
	// When a server stopped being ready for an instance, by instance and server.
	drainingSince map[[2]int]time.Duration
	// Stalls of each instance.
	stalls     map[int][]interval
	violations []Violation
	counts     map[string]int
}

// New creates a checker.
func New(s Settings) *Checker {
	return &Checker{
		settings: s, open: map[string]*requestState{}, executions: map[string][]execution{}, announced: map[[2]int]bool{},
		drainingSince: map[[2]int]time.Duration{}, stalls: map[int][]interval{}, counts: map[string]int{},
	}
}

// Violations returns the first violations, with their history.
func (c *Checker) Violations() []Violation { return c.violations }

// Counts returns the number of violations by rule.
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

// EndpointListed records that discovery has told an instance of a server: that it is ready, or that
// it drains or has departed.
func (c *Checker) EndpointListed(at time.Duration, instance, server int, ready bool) {
	key := [2]int{instance, server}
	c.announced[key] = true
	if ready {
		delete(c.drainingSince, key)
	} else if _, ok := c.drainingSince[key]; !ok {
		c.drainingSince[key] = at
	}
}

// ProcessStalled records that the process of an instance stalls for a duration from now on.
func (c *Checker) ProcessStalled(at, lasts time.Duration, instance int) {
	all := append(c.stalls[instance], interval{at, at + lasts})
	c.stalls[instance] = all[max(len(all)-maxStalls, 0):]
}

// stalledTime is how long an instance was stalled between two times.
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
	request.record(at, "taken by instance %d, to be answered by %.3f s", r.Instance, r.Deadline.Seconds())
	c.open[r.ID] = request
}

// AttemptSent records that an instance sends an attempt to a server.
func (c *Checker) AttemptSent(at time.Duration, id string, attempt, server int) {
	request := c.open[id]
	if request == nil {
		c.report(Single, at, nil, "attempt %d of %s, that is over, is sent to server %d", attempt, id, server)
		return
	}
	request.record(at, "attempt %d to server %d", attempt, server)
	if request.answered || request.inFlight >= 0 {
		c.report(Single, at, request, "attempt %d is sent while attempt %d is out, or after the answer", attempt, request.inFlight)
	}
	request.inFlight = attempt
	if request.attempts++; c.settings.MaxAttempts > 0 && request.attempts > c.settings.MaxAttempts {
		c.report(AttemptLimit, at, request, "%d attempts", request.attempts)
	}
	key := [2]int{request.Instance, server}
	if !c.announced[key] {
		c.report(Unknown, at, request, "sent to server %d, that instance %d was not told of", server, request.Instance)
	}
	if since, ok := c.drainingSince[key]; ok && at-since > c.settings.DrainGrace+c.stalledTime(request.Instance, since, at) {
		c.report(Drain, at, request, "sent to server %d %.3f s after word that it drains", server, (at - since).Seconds())
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

// ExecutionStarted records that a server has begun to work on a request.
func (c *Checker) ExecutionStarted(at time.Duration, id string, location Location) {
	request := c.open[id]
	if request == nil || request.Effect == "safe" {
		return
	}
	request.record(at, "runs in zone %d, cell %d", location.Zone, location.Cell)
	// A client retries a keyed request on its own. An unsafe one it retries only after an answer by which it
	// has not run, so all requests of the operation count as one.
	identity := request.Origin
	if request.Effect == "keyed" {
		identity = request.ID
	}
	earlier := c.executions[identity]
	c.executions[identity] = append(earlier, execution{at, location})
	for _, previous := range earlier {
		isDeduplicated := request.Scope == "all" || request.Scope == "zone" && previous.location.Zone == location.Zone || request.Scope == "cell" && previous.location.Cell == location.Cell // numbers of cells are unique
		if request.Effect == "keyed" && isDeduplicated && at-previous.at <= request.Window {
			continue // the server drops it as a duplicate
		}
		c.report(Effect, at, request, "runs again, after %.3f s in zone %d, cell %d", previous.at.Seconds(), previous.location.Zone, previous.location.Cell)
		return
	}
}

// RequestAnswered records the final answer to a request and its outcome.
func (c *Checker) RequestAnswered(at time.Duration, id, outcome string) {
	request := c.open[id]
	if request == nil {
		c.report(Answer, at, nil, "%s, that is over or was never taken, is answered: %s", id, outcome)
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
		c.report(Time, at, request, "answered %.3f s late", late.Seconds())
	}
	if c.settings.CheckHeld && stalled == 0 && outcome != "served" && request.inFlight < 0 && at >= request.Deadline-heldMargin && at-max(request.acceptedAt, request.lastAttemptEnd) > followUpMargin {
		c.report(HeldUntilDeadline, at, request, "%s %.3f s before its deadline, with no attempt out", outcome, (request.Deadline - at).Seconds())
	}
	c.removeIfComplete(request)
}

// ClientDeparted records that the client of a request has departed, so that no answer is owed. A
// client that departs at its deadline was owed one.
func (c *Checker) ClientDeparted(at time.Duration, id string) {
	if request := c.open[id]; request != nil && !request.answered {
		request.record(at, "the client has gone")
		if at >= request.Deadline && c.stalledTime(request.Instance, request.acceptedAt, at) == 0 {
			c.report(Time, at, request, "no answer by the deadline")
		}
		request.answered = true
		c.removeIfComplete(request)
	}
}

// AttemptAfterDeparture records an attempt that began after the client had departed.
func (c *Checker) AttemptAfterDeparture(at, departedAt time.Duration, id string, attempt int) {
	if late := at - departedAt; late > departedMargin {
		c.report(DepartedClient, at, nil, "attempt %d of %s begins %.3f s after its client has gone", attempt, id, late.Seconds())
	}
}

// ConnectionLost records that a connection ended without the answer that was owed on it.
func (c *Checker) ConnectionLost(at time.Duration, id string, cause error) {
	if request := c.open[id]; request != nil && !request.answered {
		c.report(Answer, at, request, "no answer: %v", cause)
		request.answered = true
		c.removeIfComplete(request)
	}
}

// ProcessKilled records that the process that owed an answer was killed, so that it is not owed any
// more.
func (c *Checker) ProcessKilled(at time.Duration, id string) {
	if request := c.open[id]; request != nil {
		request.record(at, "the process was killed")
		request.answered, request.inFlight = true, -1
		c.removeIfComplete(request)
	}
}

// removeIfComplete forgets a request that is answered and has no attempt in flight.
func (c *Checker) removeIfComplete(request *requestState) {
	if request.answered && request.inFlight < 0 {
		delete(c.open, request.ID)
		if request.Effect == "keyed" {
			delete(c.executions, request.ID)
		}
	}
}

// ForgetOrigin forgets an operation that no client will retry.
func (c *Checker) ForgetOrigin(origin string) { delete(c.executions, origin) }

// ColdServerOverloaded records that a server crashed by overload while it was warming up.
func (c *Checker) ColdServerOverloaded(at time.Duration, server int, load float64) {
	c.report(ColdOverload, at, nil, "server %d was pushed over: %.1f times what it could do, still cold", server, load)
}

// Finish ends the run: requests still open past their deadline never get their answer.
func (c *Checker) Finish(at time.Duration) {
	var ids []string
	for id, request := range c.open {
		if !request.answered && at-request.Deadline > c.settings.Grace+c.stalledTime(request.Instance, request.acceptedAt, at) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.report(Answer, at, c.open[id], "no answer")
	}
}
