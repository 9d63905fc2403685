// Package rules watches what a broker does and says which rule it breaks. It is written from the rules, not from the
// broker's code, and knows nothing of how decisions are made:
//
//   - answer: everything that is taken gets one final answer;
//   - time: in time;
//   - effect: what must not run twice does not, and what carries a key not outside of the key's scope and window;
//   - single: one attempt of a request is out at a time, and none after its answer;
//   - drain: a server that drains gets nothing new once the grace after word of it is over;
//   - cold: a server that has just started is not pushed over;
//   - unknown: a request goes only to servers that the instance has been told of;
//   - held: what is given up is answered at once, not kept until its client gives up by itself;
//   - bound: no request has more attempts than the platform allows;
//   - gone: nothing is sent for a client that has gone.
//
// A process that stands still is late by as much with what it owes, and no more; nothing else is excused by that.
package rules

import (
	"fmt"
	"slices"
	"time"
)

// The rules.
const (
	Answer  = "answer"
	Time    = "time"
	Effect  = "effect"
	Single  = "single"
	Drain   = "drain"
	Cold    = "cold"
	Unknown = "unknown"
	Held    = "held"
	Bound   = "bound"
	Gone    = "gone"
)

const (
	mostTold    = 100 // violations whose history is kept
	mostHistory = 64  // lines of one
)

// Violation is a rule that was broken.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Request string        `json:"request,omitempty"`
	Text    string        `json:"text"`
	History []string      `json:"history,omitempty"` // of the request
}

// Settings are what the rules say in numbers.
type Settings struct {
	Grace      time.Duration // after a deadline, in which an answer still counts as in time
	DrainGrace time.Duration // after word of a drain
	Attempts   int           // of a request; 0 for no bound
	// Held has the rule on what is kept judged: where time is seen to some milliseconds, which a busy machine's is not.
	Held bool
}

const (
	// heldFor is how shortly before its deadline a refusal comes that was kept for it, and endedFor how shortly after its
	// request, or an attempt, it follows from that.
	heldFor  = 15 * time.Millisecond
	endedFor = 100 * time.Millisecond
	// goneFor is how long after its client has gone an attempt may begin.
	goneFor = 100 * time.Millisecond
	// mostStalls bounds the times for which one instance stands still that are remembered: the last ones.
	mostStalls = 64
)

// Request is what a checker is told of a request that an instance has taken.
type Request struct {
	ID       string
	Origin   string // what it repeats, or itself: what a client asked for once. Its effect may come once for all of them
	Instance int
	Deadline time.Duration
	Effect   string        // safe, keyed or unsafe
	Scope    string        // of a key: all, zone or cell
	Window   time.Duration // of a key
}

// Place is where a server stands.
type Place struct{ Zone, Cell int }

// run is that something was worked on.
type run struct {
	at    time.Duration
	place Place
}

// span is a time.
type span struct{ from, to time.Duration }

type open struct {
	Request
	answered bool
	out      int           // the attempt that is out; -1 for none
	at       time.Duration // when it was taken
	sent     int           // attempts
	ended    time.Duration // when the last one ended
	history  []string
}

// Checker watches one run. It is not safe for concurrent use.
type Checker struct {
	set    Settings
	open   map[string]*open
	runs   map[string][]run // of what may not run twice, by origin
	told   map[[2]int]bool  // instance and server: it was told of it
	drains map[[2]int]time.Duration
	stalls map[int][]span // of each instance
	kept   []Violation
	counts map[string]int
}

// New makes a checker.
func New(s Settings) *Checker {
	return &Checker{
		set: s, open: map[string]*open{}, runs: map[string][]run{}, told: map[[2]int]bool{},
		drains: map[[2]int]time.Duration{}, stalls: map[int][]span{}, counts: map[string]int{},
	}
}

// Violations are the first of those that were found.
func (c *Checker) Violations() []Violation { return c.kept }

// Counts are how often each rule was broken.
func (c *Checker) Counts() map[string]int { return c.counts }

func (c *Checker) broken(rule string, at time.Duration, o *open, text string, args ...any) {
	c.counts[rule]++
	if len(c.kept) >= mostTold {
		return
	}
	v := Violation{Rule: rule, At: at, Text: fmt.Sprintf(text, args...)}
	if o != nil {
		v.Request, v.History = o.ID, slices.Clone(o.history)
	}
	c.kept = append(c.kept, v)
}

func (o *open) note(at time.Duration, text string, args ...any) {
	if len(o.history) < mostHistory {
		o.history = append(o.history, fmt.Sprintf("%.3f s ", at.Seconds())+fmt.Sprintf(text, args...))
	}
}

// Listed tells that an instance was told of a server: that it is ready, or that it drains or is gone.
func (c *Checker) Listed(at time.Duration, instance, server int, ready bool) {
	key := [2]int{instance, server}
	c.told[key] = true
	if ready {
		delete(c.drains, key)
	} else if _, ok := c.drains[key]; !ok {
		c.drains[key] = at
	}
}

// Stalled tells that an instance's process stands still for a while from now on.
func (c *Checker) Stalled(at, lasts time.Duration, instance int) {
	all := append(c.stalls[instance], span{at, at + lasts})
	c.stalls[instance] = all[max(len(all)-mostStalls, 0):]
}

// stood is for how much of a time an instance stood still.
func (c *Checker) stood(instance int, from, to time.Duration) (sum time.Duration) {
	for _, s := range c.stalls[instance] {
		sum += max(min(to, s.to)-max(from, s.from), 0)
		from = max(from, s.to) // what two of them share counts once
	}
	return sum
}

// Taken tells that an instance has taken a request.
func (c *Checker) Taken(at time.Duration, r Request) {
	o := &open{Request: r, out: -1, at: at}
	o.note(at, "taken by instance %d, to be answered by %.3f s", r.Instance, r.Deadline.Seconds())
	c.open[r.ID] = o
}

// Sent tells that an attempt goes to a server.
func (c *Checker) Sent(at time.Duration, id string, attempt, server int) {
	o := c.open[id]
	if o == nil {
		c.broken(Single, at, nil, "attempt %d of %s, that is over, is sent to server %d", attempt, id, server)
		return
	}
	o.note(at, "attempt %d to server %d", attempt, server)
	if o.answered || o.out >= 0 {
		c.broken(Single, at, o, "attempt %d is sent while attempt %d is out, or after the answer", attempt, o.out)
	}
	o.out = attempt
	if o.sent++; c.set.Attempts > 0 && o.sent > c.set.Attempts {
		c.broken(Bound, at, o, "%d attempts", o.sent)
	}
	key := [2]int{o.Instance, server}
	if !c.told[key] {
		c.broken(Unknown, at, o, "sent to server %d, that instance %d was not told of", server, o.Instance)
	}
	if since, ok := c.drains[key]; ok && at-since > c.set.DrainGrace+c.stood(o.Instance, since, at) {
		c.broken(Drain, at, o, "sent to server %d %.3f s after word that it drains", server, (at - since).Seconds())
	}
}

// Ended tells that an attempt is over.
func (c *Checker) Ended(at time.Duration, id string, attempt int, how string) {
	o := c.open[id]
	if o == nil {
		return
	}
	o.note(at, "attempt %d ends: %s", attempt, how)
	if o.out == attempt {
		o.out, o.ended = -1, at
	}
	c.close(o)
}

// Ran tells that a server has begun to work on a request.
func (c *Checker) Ran(at time.Duration, id string, where Place) {
	o := c.open[id]
	if o == nil || o.Effect == "safe" {
		return
	}
	o.note(at, "runs in zone %d, cell %d", where.Zone, where.Cell)
	// A client that repeats what carries a key does so by itself; what must not run twice it repeats when told that it
	// has not run.
	what := o.Origin
	if o.Effect == "keyed" {
		what = o.ID
	}
	before := c.runs[what]
	c.runs[what] = append(before, run{at, where})
	for _, r := range before {
		same := o.Scope == "all" || o.Scope == "zone" && r.place.Zone == where.Zone || o.Scope == "cell" && r.place.Cell == where.Cell // numbers of cells are unique
		if o.Effect == "keyed" && same && at-r.at <= o.Window {
			continue // it is dropped there
		}
		c.broken(Effect, at, o, "runs again, after %.3f s in zone %d, cell %d", r.at.Seconds(), r.place.Zone, r.place.Cell)
		return
	}
}

// Answered tells that a request has got its final answer, and how.
func (c *Checker) Answered(at time.Duration, id, how string) {
	o := c.open[id]
	if o == nil {
		c.broken(Answer, at, nil, "%s, that is over or was never taken, is answered: %s", id, how)
		return
	}
	o.note(at, "answered: %s", how)
	if o.answered {
		c.broken(Answer, at, o, "a second answer: %s", how)
		return
	}
	o.answered = true
	stood := c.stood(o.Instance, o.at, at)
	if late := at - o.Deadline; late > c.set.Grace+stood {
		c.broken(Time, at, o, "answered %.3f s late", late.Seconds())
	}
	if c.set.Held && stood == 0 && how != "served" && o.out < 0 && at >= o.Deadline-heldFor && at-max(o.at, o.ended) > endedFor {
		c.broken(Held, at, o, "%s %.3f s before its deadline, with no attempt out", how, (o.Deadline - at).Seconds())
	}
	c.close(o)
}

// Lapsed tells that a client has gone: nothing is owed. At the deadline it goes because it was owed something.
func (c *Checker) Lapsed(at time.Duration, id string) {
	if o := c.open[id]; o != nil && !o.answered {
		o.note(at, "the client has gone")
		if at >= o.Deadline && c.stood(o.Instance, o.at, at) == 0 {
			c.broken(Time, at, o, "no answer by the deadline")
		}
		o.answered = true
		c.close(o)
	}
}

// Abandoned tells that an attempt has begun of a request whose client had gone before, at a time.
func (c *Checker) Abandoned(at, left time.Duration, id string, attempt int) {
	if late := at - left; late > goneFor {
		c.broken(Gone, at, nil, "attempt %d of %s begins %.3f s after its client has gone", attempt, id, late.Seconds())
	}
}

// Lost tells that whoever owed a request its answer ended the connection without one.
func (c *Checker) Lost(at time.Duration, id string, how error) {
	if o := c.open[id]; o != nil && !o.answered {
		c.broken(Answer, at, o, "no answer: %v", how)
		o.answered = true
		c.close(o)
	}
}

// Excused tells that whoever owed a request its answer was killed: nothing is owed.
func (c *Checker) Excused(at time.Duration, id string) {
	if o := c.open[id]; o != nil {
		o.note(at, "the process was killed")
		o.answered, o.out = true, -1
		c.close(o)
	}
}

// close forgets what nothing is owed to, and nothing is out for.
func (c *Checker) close(o *open) {
	if o.answered && o.out < 0 {
		delete(c.open, o.ID)
		if o.Effect == "keyed" {
			delete(c.runs, o.ID)
		}
	}
}

// Forget forgets what was asked for once, that no client asks for any more.
func (c *Checker) Forget(origin string) { delete(c.runs, origin) }

// Fell tells that a server that was still cold was pushed over.
func (c *Checker) Fell(at time.Duration, server int, load float64) {
	c.broken(Cold, at, nil, "server %d was pushed over: %.1f times what it could do, still cold", server, load)
}

// End tells that the run is over: what is open now never gets its answer.
func (c *Checker) End(at time.Duration) {
	var ids []string
	for id, o := range c.open {
		if !o.answered && at-o.Deadline > c.set.Grace+c.stood(o.Instance, o.at, at) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.broken(Answer, at, c.open[id], "no answer")
	}
}
