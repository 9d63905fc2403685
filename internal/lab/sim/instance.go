package sim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/model"
	"dykering/internal/lab/rules"
)

// tellEvery is how often a process that ends tells its successor what it has in flight.
const tellEvery = 50 * time.Millisecond

// tiers are the brokers of a world in virtual time.
type tiers struct {
	w         *model.World
	policy    NewPolicy
	instances []*instance
	granted   *granted           // nil without fleet-wide budgets
	spreads   map[string]*spread // of facts that not all brokers of a tier hold yet
	err       error
}

// instance is one instance of the broker: the process that serves, and perhaps one before it that ends.
type instance struct {
	t     *tiers
	in    *model.Instance
	tries map[decision.RequestID]*try
	seat  *seat // that takes what comes; nil while there is none
	lives uint64
}

// seat is a process: a policy, and its Host.
type seat struct {
	*instance
	policy Policy
	dead   bool
	mind   *mind                        // nil without replicated state
	mute   map[decision.EndpointID]bool // servers from which nothing came: a new connection is needed
}

// try is one request in an instance.
type try struct {
	*model.Try
	seat     *seat
	ends     time.Duration // when its attempts end, so that its answer is there in time
	answered bool
	attempts int
	to       *model.Attempt // that is out
}

func (t *tiers) begin(in *model.Instance) error {
	i := &instance{t: t, in: in, tries: map[decision.RequestID]*try{}}
	t.instances = append(t.instances, i)
	return i.serve()
}

// serve has a process begin, with the list as it is.
func (i *instance) serve() error {
	s := &seat{instance: i, mute: map[decision.EndpointID]bool{}}
	w := i.t.w
	p, err := i.t.policy(w.Settings(i.in), w.Seed(i.in)+i.lives, s, w)
	if err != nil {
		return err
	}
	i.lives++
	s.policy = p
	l := w.List(i.in)
	l.Kind = decision.CachedList
	for _, e := range l.Entries {
		w.Checker.Listed(w.Now(), i.in.N, w.Servers[e.Endpoint-1].N, e.State == decision.Ready)
	}
	i.seat = s
	p.Targets(w.Now(), l)
	s.replicate()
	s.divide()
	return nil
}

// Hear is for the instance that has news.
func (t *tiers) Hear(in *model.Instance, l decision.List) {
	if s := t.instances[in.N].seat; s != nil {
		s.policy.Targets(t.w.Now(), l)
	}
}

// Take takes a request.
func (t *tiers) Take(m *model.Try) {
	w, i := t.w, t.instances[m.Instance.N]
	now := w.Now()
	if m.Until <= now {
		return // nobody waits for it
	}
	if i.seat == nil {
		w.After(w.Latency(), func() { m.Asker.Hear(m, model.Unheard, 0) })
		return
	}
	r := &try{Try: m, seat: i.seat, ends: m.Until - model.Grace}
	i.tries[m.ID] = r
	c := w.S.Classes[m.Class]
	w.Checker.Taken(now, rules.Request{
		ID: string(m.ID), Origin: m.Origin, Instance: i.in.N, Deadline: m.Until,
		Effect: c.Effect, Scope: c.Scope, Window: time.Duration(c.Window),
	})
	i.seat.policy.Request(now, decision.Request{
		ID: m.ID, Class: m.Class, Tenant: m.Team, Remaining: r.ends - now,
		IsRetry: m.Repeat, IdleConns: 1 << 10,
	})
}

// Lapse tells that whoever asked has given a try up.
func (t *tiers) Lapse(m *model.Try) {
	i := t.instances[m.Instance.N]
	r := i.tries[m.ID]
	if r == nil || r.Try != m || r.answered {
		return
	}
	r.answered = true
	t.w.Checker.Lapsed(t.w.Now(), string(m.ID))
	r.seat.policy.Abandoned(t.w.Now(), m.ID)
	i.forget(r)
}

// Kill ends a process with all that it has. Its askers see their connections break.
func (t *tiers) Kill(in *model.Instance, lasts time.Duration) {
	i, w := t.instances[in.N], t.w
	if i.seat == nil {
		return
	}
	i.seat.dead = true
	i.seat = nil
	for _, r := range slices.SortedFunc(maps.Values(i.tries), func(a, b *try) int { return cmp.Compare(a.ID, b.ID) }) {
		r.seat.dead = true
		if r.to != nil {
			t.gone(r.to)
		}
		w.Checker.Excused(w.Now(), string(r.ID))
		if !r.answered {
			r.answered = true
			w.After(w.Latency(), func() { r.Asker.Hear(r.Try, model.Failed, 0) })
		}
	}
	clear(i.tries)
	w.After(lasts, func() {
		if err := i.serve(); err != nil {
			t.err = err
		}
	})
}

// Befall plays a stop as a kill. What else it is told of does not happen here: there is no network code.
func (t *tiers) Befall(in *model.Instance, what string, lasts time.Duration) {
	if what == "stop" {
		t.Kill(in, lasts)
	}
}

// Handover has a successor take what comes, that inherits what its predecessor has learnt; the predecessor ends what
// it has.
func (t *tiers) Handover(in *model.Instance) {
	i, w := t.instances[in.N], t.w
	old := i.seat
	if old == nil {
		return
	}
	if t.err = i.serve(); t.err != nil {
		return
	}
	from, ok := old.policy.(*decision.Balancer)
	to, both := i.seat.policy.(*decision.Balancer)
	if !ok || !both {
		return
	}
	if t.err = to.Restore(w.Now(), from.Snapshot(w.Now())); t.err != nil {
		return
	}
	var tell func()
	tell = func() {
		calls := from.InFlight()
		to.SetPredecessorCalls(w.Now(), calls, w.Now()+2*tellEvery)
		if len(calls) > 0 {
			w.After(tellEvery, tell)
		}
	}
	tell()
}

// gone tells a server that whoever sent an attempt waits no more.
func (t *tiers) gone(a *model.Attempt) {
	a.Over = true
	a.Server.Release(a, false)
	t.w.After(t.w.Latency(), func() { a.Server.Cancel(a) })
}

// answer gives a final answer.
func (i *instance) answer(r *try, how string, retryAfter time.Duration) {
	w := i.t.w
	w.Checker.Answered(w.Now(), string(r.ID), how)
	if r.answered {
		return
	}
	r.answered = true
	w.After(w.Latency(), func() { r.Asker.Hear(r.Try, how, retryAfter) })
	i.forget(r)
}

func (i *instance) forget(r *try) {
	if r.answered && r.to == nil {
		delete(i.tries, r.ID)
	}
}

// Reply is a server's answer to an attempt.
func (s *seat) Reply(a *model.Attempt, how decision.Status, l *decision.Load) {
	w := s.t.w
	w.After(w.Latency(), func() {
		if !w.Cut(a.Try.Instance, a.Server) {
			s.outcome(a, how, l)
		}
	})
}

// outcome tells the policy how an attempt ended.
func (s *seat) outcome(a *model.Attempt, status decision.Status, l *decision.Load) {
	r := s.tries[a.Try.ID]
	if a.Over || r == nil || r.to != a {
		return
	}
	w := s.t.w
	r.to = nil
	switch status {
	case decision.Timeout, decision.Cancelled, decision.ConnectFailed:
		s.t.gone(a)
		if w.Cut(s.in, a.Server) || a.Server.Silent() {
			s.mute[a.Server.ID()] = true
		}
	default:
		a.Over = true
		a.Server.Release(a, status == decision.OK || status == decision.Error || status == decision.Rejected)
	}
	w.Checker.Ended(w.Now(), string(r.ID), a.Number, status.String())
	final := r.answered
	if status == decision.OK && !r.answered {
		final = true
		s.answer(r, model.Served, 0)
	}
	s.policy.Outcome(w.Now(), decision.Outcome{
		ID: r.ID, Endpoint: a.Server.ID(), Attempt: a.Number, Final: final,
		Elapsed: w.Now() - a.Sent, Status: status, Load: l,
	})
	s.forget(r)
}

// Send is the Host's, as are the methods below. What is sent here is out at once, so within any time.
func (s *seat) Send(id decision.RequestID, to decision.EndpointID, timeout, _ time.Duration) {
	w := s.t.w
	r := s.tries[id]
	attempts := 0
	if r != nil {
		attempts = r.attempts
	}
	w.Checker.Sent(w.Now(), string(id), attempts, int(to)-1)
	if r == nil || int(to) < 1 || int(to) > len(w.Servers) {
		return
	}
	a := &model.Attempt{Try: r.Try, Number: r.attempts, Server: w.Servers[to-1], Sent: w.Now(), To: s}
	r.attempts++
	r.to = a
	w.Result.Attempts++
	end := r.ends - w.Now()
	if timeout > 0 {
		end = min(end, timeout)
	}
	w.After(end, func() { s.outcome(a, decision.Timeout, nil) })
	silent := w.Cut(s.in, a.Server) || a.Server.Silent()
	if !silent {
		delete(s.mute, to)
	} else if s.mute[to] || a.Server.Silent() {
		w.After(time.Duration(w.S.Broker.Connect), func() { s.outcome(a, decision.ConnectFailed, nil) })
		return
	}
	took, ok := a.Server.Connect(a)
	if !ok {
		w.After(w.Latency(), func() { s.outcome(a, decision.ConnectFailed, nil) })
		return
	}
	w.After(took+w.Latency(), func() {
		if !w.Cut(s.in, a.Server) {
			a.Server.Arrive(a)
		}
	})
}

func (s *seat) Refuse(id decision.RequestID, retryAfter time.Duration) {
	s.end(id, model.Refused, retryAfter)
}
func (s *seat) Fail(id decision.RequestID) { s.end(id, model.Failed, 0) }

func (s *seat) end(id decision.RequestID, how string, retryAfter time.Duration) {
	if r := s.tries[id]; r != nil {
		s.answer(r, how, retryAfter)
		return
	}
	s.t.w.Checker.Answered(s.t.w.Now(), string(id), how)
}

func (s *seat) Cancel(id decision.RequestID, number int) {
	r := s.tries[id]
	if r == nil || r.to == nil || r.to.Number != number {
		return
	}
	a := r.to
	s.t.w.After(0, func() { s.outcome(a, decision.Cancelled, nil) })
}

func (s *seat) SetTimer(token uint64, after time.Duration) {
	s.t.w.After(after, func() {
		if !s.dead {
			s.policy.Timer(s.t.w.Now(), token)
		}
	})
}

func (s *seat) Watch(bool) {}
func (s *seat) Fetch()     {}
func (s *seat) Log(string) {}
