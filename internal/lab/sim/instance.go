package sim

import (
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/rules"
)

// What can become of a try, or of what a client wants.
const (
	served  = "served"
	refused = "refused"
	failed  = "failed"
)

// try is one request as an instance sees it.
type try struct {
	ask      *ask
	id       decision.RequestID
	until    time.Duration // when the client gives it up
	ends     time.Duration // when its attempts end, so that its answer is there in time
	heard    bool          // the client knows what became of it, or has given it up
	answered bool
	attempts int
	out      int // the attempt that is out; -1 for none
	to       *attempt
}

// attempt is one sending.
type attempt struct {
	try    *try
	number int
	from   *instance
	server *server
	sent   time.Duration
	over   bool // the instance has its outcome
}

// instance is one instance of the policy, and its Host.
type instance struct {
	w      *world
	n      int
	policy Policy
	tries  map[decision.RequestID]*try
	rev    uint64
}

func (w *world) makeInstance(i int, policy NewPolicy) error {
	in := &instance{w: w, n: i, tries: map[decision.RequestID]*try{}}
	w.instances = append(w.instances, in)
	p, err := policy(w.settings(i), stream(w.seed, "instance", i).Uint64(), in, w)
	if err != nil {
		return err
	}
	in.policy = p
	l := decision.List{Kind: decision.Cached, Version: 1}
	for _, s := range w.servers {
		l.Entries = append(l.Entries, s.entry(decision.Ready))
		w.checker.Listed(w.now, i, s.n, true)
	}
	in.rev = 1
	p.Targets(w.now, l)
	return nil
}

// Load is Truth.
func (w *world) Load(id decision.EndpointID) float64 {
	s := w.servers[id-1]
	return float64(len(s.works)+len(s.queue)) / float64(s.kind.Cores)
}

// hears tells the instance of a change.
func (in *instance) hears(e decision.Entry) {
	in.rev++
	in.w.checker.Listed(in.w.now, in.n, int(e.Endpoint)-1, e.State == decision.Ready)
	in.policy.Targets(in.w.now, decision.List{Kind: decision.Delta, Version: in.rev, Entries: []decision.Entry{e}})
}

// take takes a request.
func (in *instance) take(t *try) {
	w := in.w
	t.ends = t.until - grace
	left := t.ends - w.now
	if t.until <= w.now {
		return // nobody waits for it
	}
	in.tries[t.id] = t
	c := w.s.Classes[t.ask.class]
	w.checker.Taken(w.now, rules.Request{ID: string(t.id), Origin: originOf(t.ask), Instance: in.n, Deadline: t.until,
		Effect: c.Effect, Scope: c.Scope, Window: time.Duration(c.Window)})
	in.policy.Request(w.now, decision.Request{ID: t.id, Class: t.ask.class, Tenant: t.ask.team, Left: left,
		Repeat: w.s.Callers.Marks && t.ask.tries > 1, Write: c.Effect != string(decision.Safe), Idle: 1 << 10})
}

// lapse tells that a client has given a try up.
func (in *instance) lapse(t *try) {
	if in.tries[t.id] != t || t.answered {
		return
	}
	t.answered = true
	in.w.checker.Lapsed(in.w.now, string(t.id))
	in.policy.Lapsed(in.w.now, t.id)
	in.forget(t)
}

// answer gives a final answer.
func (in *instance) answer(t *try, how string, retryAfter time.Duration) {
	w := in.w
	w.checker.Answered(w.now, string(t.id), how)
	if t.answered {
		return
	}
	t.answered = true
	w.after(w.latency(), func() { w.hear(t, how, retryAfter) })
	in.forget(t)
}

func (in *instance) forget(t *try) {
	if t.answered && t.to == nil {
		delete(in.tries, t.id)
	}
}

// outcome tells the policy how an attempt ended.
func (in *instance) outcome(a *attempt, status decision.Status) {
	if a.over {
		return
	}
	a.over = true
	w, t := in.w, a.try
	t.to = nil
	w.checker.Ended(w.now, string(t.id), a.number, status.String())
	final := t.answered
	if status == decision.OK && !t.answered {
		final = true
		in.answer(t, served, 0)
	}
	in.policy.Outcome(w.now, decision.Outcome{ID: t.id, Endpoint: a.server.id(), Attempt: a.number, Final: final,
		Elapsed: w.now - a.sent, Status: status})
	in.forget(t)
}

// Send is the Host's, as are the methods below.
func (in *instance) Send(id decision.RequestID, to decision.EndpointID, timeout time.Duration) {
	w := in.w
	t := in.tries[id]
	w.checker.Sent(w.now, string(id), attemptsOf(t), int(to)-1)
	if t == nil || int(to) < 1 || int(to) > len(w.servers) {
		return
	}
	a := &attempt{try: t, number: t.attempts, from: in, server: w.servers[to-1], sent: w.now}
	t.attempts++
	t.to = a
	w.r.Attempts++
	w.after(w.latency(), func() { a.server.arrive(a) })
	end := t.ends - w.now
	if timeout > 0 {
		end = min(end, timeout)
	}
	w.after(end, func() { in.outcome(a, decision.Timeout) })
}

func attemptsOf(t *try) int {
	if t == nil {
		return 0
	}
	return t.attempts
}

func (in *instance) Refuse(id decision.RequestID, retryAfter time.Duration) {
	in.end(id, refused, retryAfter)
}
func (in *instance) Fail(id decision.RequestID) { in.end(id, failed, 0) }

func (in *instance) end(id decision.RequestID, how string, retryAfter time.Duration) {
	if t := in.tries[id]; t != nil {
		in.answer(t, how, retryAfter)
		return
	}
	in.w.checker.Answered(in.w.now, string(id), how)
}

func (in *instance) Cancel(id decision.RequestID, number int) {
	t := in.tries[id]
	if t == nil || t.to == nil || t.to.number != number {
		return
	}
	a := t.to
	in.w.after(0, func() { in.outcome(a, decision.Cancelled) })
}

func (in *instance) SetTimer(token uint64, after time.Duration) {
	in.w.after(after, func() { in.policy.Timer(in.w.now, token) })
}

func (in *instance) Probe(decision.EndpointID)     {}
func (in *instance) Tell(int, []byte)              {}
func (in *instance) Watch(bool)                    {}
func (in *instance) Fetch()                        {}
func (in *instance) CloseIdle(decision.EndpointID) {}
func (in *instance) Log(string)                    {}
