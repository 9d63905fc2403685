package configsoak

import (
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"
)

// outcome is what became of a request: the service that ran it, or one of the other constants.
type outcome string

const (
	// noRoute is the outcome of a request that was answered with 404.
	noRoute outcome = "no route"
	// undecided is the outcome of a request that no configuration decided: it was refused for now, or got no answer.
	undecided outcome = "undecided"
)

// Observation is a request of a client and its outcome.
type Observation struct {
	Proxy   string
	Path    string
	BegunAt time.Duration // when its first byte was sent
	SentAt  time.Duration // when its last byte was sent
	EndedAt time.Duration
	Outcome outcome
	Status  int // 0 without an answer
}

// verdict is what an operator knows about a change.
type verdict int

const (
	// unclear is the verdict on a change without a clear answer: it may or may not be in force.
	unclear verdict = iota
	acknowledged
	rejected
)

// change is a change of the configuration and what came of it. The recorder's lock protects the fields after invalid.
type change struct {
	id      int
	base    int
	version int
	table   routeTable // the routes after the change
	invalid string     // why the change is invalid; empty for a valid one

	verdict     verdict
	firstSentAt time.Duration
	knownAt     time.Duration // when the verdict was known
}

func (c *change) String() string {
	return fmt.Sprintf("version %d (change %d on %d)", c.version, c.id, c.base)
}

// configurationRead is an answered read of the configuration.
type configurationRead struct {
	process  string
	sentAt   time.Duration
	endedAt  time.Duration
	document document
}

// processAction is what happened to a process.
type processAction string

const (
	processStarted    processAction = "start"
	processExited     processAction = "exit"
	processTerminated processAction = "SIGTERM"
	processKilled     processAction = "SIGKILL"
	processFrozen     processAction = "SIGSTOP"
	processThawed     processAction = "SIGCONT"
	processHungUp     processAction = "SIGHUP"
	settingsChanged   processAction = "new settings"
	diskLost          processAction = "disk lost"
	endedByItself     processAction = "ended by itself"
	machineRemoved    processAction = "removed"
	machineVanished   processAction = "removed without a word" // its address neither answers nor resets connections
)

// processEvent is something that happened to a process.
type processEvent struct {
	at      time.Duration
	process string
	role    string
	action  processAction
}

// recorder collects the history of a run. It is safe for concurrent use.
type recorder struct {
	began time.Time

	mu           sync.Mutex
	observations []Observation
	changes      []*change
	reads        []configurationRead
	events       []processEvent
	violations   []Violation
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

// now returns the time since the beginning of the run.
func (r *recorder) now() time.Duration { return time.Since(r.began) }

func (r *recorder) addObservation(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, o)
}

// observationsSince returns the requests that were sent since a time.
func (r *recorder) observationsSince(from time.Duration) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.Filter(r.observations, func(o Observation, _ int) bool { return o.SentAt >= from })
}

func (r *recorder) addRead(read configurationRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, read)
}

func (r *recorder) addEvent(process, role string, action processAction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, processEvent{at: r.now(), process: process, role: role, action: action})
}

// addChange records a change that is about to be sent.
func (r *recorder) addChange(c *change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.firstSentAt = r.now()
	r.changes = append(r.changes, c)
}

// settle records the verdict on a change. The first clear verdict counts.
func (r *recorder) settle(c *change, v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.verdict == unclear && v != unclear {
		c.verdict, c.knownAt = v, r.now()
	}
}

// verdictOf returns the verdict on a change.
func (r *recorder) verdictOf(c *change) verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.verdict
}

// addViolation records a violation that an operator has seen.
func (r *recorder) addViolation(rule, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Rule: rule, At: r.now(), Detail: fmt.Sprintf(format, arguments...)})
}

// changeByMark returns the change that a document was made by, or nil.
func (r *recorder) changeByMark(mark int) *change {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.changes {
		if c.id == mark {
			return c
		}
	}
	return nil
}
