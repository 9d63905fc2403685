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

// inFlightReportInterval is the interval at which a draining predecessor reports its calls in flight to its
// successor.
const inFlightReportInterval = 50 * time.Millisecond

// brokers implements model.Brokers in virtual time.
type brokers struct {
	world     *model.World
	policy    PolicyFactory
	instances []*instance
	// budgets is nil without fleet-wide budgets.
	budgets *fleetBudgets
	// propagations contains the facts that do not count as propagated yet, by their keys.
	propagations map[string]*propagation
	// err is an error that ends the run.
	err error
}

// instance is one instance of the broker. It has a serving process, and during a handover also a predecessor
// that is draining.
type instance struct {
	brokers  *brokers
	model    *model.Instance
	requests map[decision.RequestID]*requestState
	// current is the process that accepts requests; nil while there is none.
	current *process
	// incarnation counts the started processes.
	incarnation uint64
}

// process is one process of an instance. It is the decision.Host of its policy.
type process struct {
	*instance
	policy Policy
	dead   bool
	// replicated is nil without replicated state.
	replicated *replicatedState
	// unreachable contains the servers that did not respond. The next attempt to them needs a new connection.
	unreachable map[decision.EndpointID]bool
}

// requestState is the state of a request in an instance.
type requestState struct {
	*model.Request
	process *process
	// attemptDeadline is the time at which an attempt must end for the answer to be in time.
	attemptDeadline time.Duration
	answered        bool
	attempts        int
	// inFlight is the attempt in flight, or nil.
	inFlight *model.Attempt
}

// start adds an instance and starts its first process.
func (b *brokers) start(in *model.Instance) error {
	i := &instance{brokers: b, model: in, requests: map[decision.RequestID]*requestState{}}
	b.instances = append(b.instances, i)
	return i.startProcess()
}

// startProcess starts a process with the present endpoint list.
func (i *instance) startProcess() error {
	p := &process{instance: i, unreachable: map[decision.EndpointID]bool{}}
	w := i.brokers.world
	policy, err := i.brokers.policy(w.Settings(i.model), w.Seed(i.model)+i.incarnation, p, w)
	if err != nil {
		return err
	}
	i.incarnation++
	p.policy = policy
	l := w.List(i.model)
	l.Kind = decision.CachedList
	for _, e := range l.Entries {
		w.Checker.EndpointListed(w.Now(), i.model.Index, w.Servers[e.Endpoint-1].Index, e.State == decision.Ready)
	}
	i.current = p
	policy.Targets(w.Now(), l)
	p.startReplication()
	p.startQuotaSharing()
	return nil
}

// UpdateList delivers an update of the endpoint list to the current process.
func (b *brokers) UpdateList(in *model.Instance, list decision.List) {
	if p := b.instances[in.Index].current; p != nil {
		p.policy.Targets(b.world.Now(), list)
	}
}

// Accept passes a request to the current process. If there is none, the request completes as unreachable.
func (b *brokers) Accept(request *model.Request) {
	w, i := b.world, b.instances[request.Instance.Index]
	now := w.Now()
	if request.Deadline <= now {
		return // the requester no longer waits
	}
	if i.current == nil {
		w.After(w.Latency(), func() { request.Requester.Complete(request, model.Unreachable, 0) })
		return
	}
	state := &requestState{Request: request, process: i.current, attemptDeadline: request.Deadline - model.Grace}
	i.requests[request.ID] = state
	c := w.Scenario.Classes[request.Class]
	w.Checker.RequestAccepted(now, rules.Request{
		ID: string(request.ID), Origin: request.Origin, Instance: i.model.Index, Deadline: request.Deadline,
		Effect: c.Effect, Scope: c.Scope, Window: time.Duration(c.Window),
	})
	i.current.policy.Request(now, decision.Request{
		ID: request.ID, Class: request.Class, Tenant: request.Team, Remaining: state.attemptDeadline - now,
		IsRetry: request.IsRetry, IdleConns: 1 << 10,
	})
}

// Abandon reports to the policy that the requester no longer waits for a request.
func (b *brokers) Abandon(request *model.Request) {
	i := b.instances[request.Instance.Index]
	state := i.requests[request.ID]
	if state == nil || state.Request != request || state.answered {
		return
	}
	state.answered = true
	b.world.Checker.ClientDeparted(b.world.Now(), string(request.ID))
	state.process.policy.Abandoned(b.world.Now(), request.ID)
	i.removeIfDone(state)
}

// Kill ends all processes of an instance and starts a new one after a duration. The open requests fail.
func (b *brokers) Kill(in *model.Instance, duration time.Duration) {
	i, w := b.instances[in.Index], b.world
	if i.current == nil {
		return
	}
	i.current.dead = true
	i.current = nil
	for _, r := range slices.SortedFunc(maps.Values(i.requests), func(x, y *requestState) int { return cmp.Compare(x.ID, y.ID) }) {
		r.process.dead = true
		if r.inFlight != nil {
			b.cancelAttempt(r.inFlight)
		}
		w.Checker.ProcessKilled(w.Now(), string(r.ID))
		if !r.answered {
			r.answered = true
			w.After(w.Latency(), func() { r.Requester.Complete(r.Request, model.Failed, 0) })
		}
	}
	clear(i.requests)
	w.After(duration, func() {
		if err := i.startProcess(); err != nil {
			b.err = err
		}
	})
}

// InjectFault treats a stop as a kill. The other kinds of fault have no effect without network code.
func (b *brokers) InjectFault(in *model.Instance, kind string, duration time.Duration) {
	if kind == "stop" {
		b.Kill(in, duration)
	}
}

// Handover starts a successor process, which restores the predecessor's snapshot and accepts requests from now
// on. The predecessor completes its open requests.
func (b *brokers) Handover(in *model.Instance) {
	i, w := b.instances[in.Index], b.world
	old := i.current
	if old == nil {
		return
	}
	if b.err = i.startProcess(); b.err != nil {
		return
	}
	from, ok := old.policy.(*decision.Balancer)
	to, isBalancer := i.current.policy.(*decision.Balancer)
	if !ok || !isBalancer {
		return
	}
	if b.err = to.Restore(w.Now(), from.Snapshot(w.Now())); b.err != nil {
		return
	}
	var report func()
	report = func() {
		calls := from.InFlight()
		to.SetPredecessorCalls(w.Now(), calls, w.Now()+2*inFlightReportInterval)
		if len(calls) > 0 {
			w.After(inFlightReportInterval, report)
		}
	}
	report()
}

// cancelAttempt notifies a server that the sender no longer waits for an attempt.
func (b *brokers) cancelAttempt(a *model.Attempt) {
	a.Finished = true
	a.Server.Release(a, false)
	b.world.After(b.world.Latency(), func() { a.Server.Cancel(a) })
}

// answer completes a request with its final outcome.
func (i *instance) answer(r *requestState, outcome string, retryAfter time.Duration) {
	w := i.brokers.world
	w.Checker.RequestAnswered(w.Now(), string(r.ID), outcome)
	if r.answered {
		return
	}
	r.answered = true
	w.After(w.Latency(), func() { r.Requester.Complete(r.Request, outcome, retryAfter) })
	i.removeIfDone(r)
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (i *instance) removeIfDone(r *requestState) {
	if r.answered && r.inFlight == nil {
		delete(i.requests, r.ID)
	}
}

// Reply implements model.Replier. The reply arrives after the network's latency, unless it is lost.
func (p *process) Reply(a *model.Attempt, status decision.Status, load *decision.Load) {
	w := p.brokers.world
	w.After(w.Latency(), func() {
		if !w.IsUnreachable(a.Request.Instance, a.Server) {
			p.outcome(a, status, load)
		}
	})
}

// outcome handles the end of an attempt and reports it to the policy.
func (p *process) outcome(a *model.Attempt, status decision.Status, load *decision.Load) {
	r := p.requests[a.Request.ID]
	if a.Finished || r == nil || r.inFlight != a {
		return
	}
	w := p.brokers.world
	r.inFlight = nil
	switch status {
	case decision.Timeout, decision.Cancelled, decision.ConnectFailed:
		p.brokers.cancelAttempt(a)
		if w.IsUnreachable(p.model, a.Server) || a.Server.IsSilent() {
			p.unreachable[a.Server.ID()] = true
		}
	default:
		a.Finished = true
		a.Server.Release(a, status == decision.OK || status == decision.Error || status == decision.Rejected)
	}
	w.Checker.AttemptEnded(w.Now(), string(r.ID), a.Number, status.String())
	final := r.answered
	if status == decision.OK && !r.answered {
		final = true
		p.answer(r, model.Served, 0)
	}
	p.policy.Outcome(w.Now(), decision.Outcome{
		ID: r.ID, Endpoint: a.Server.ID(), Attempt: a.Number, Final: final,
		Elapsed: w.Now() - a.SentAt, Status: status, Load: load,
	})
	p.removeIfDone(r)
}

// Send implements decision.Host, as do the methods below. It sends an attempt immediately, so it ignores the
// time limit for the start of the attempt.
func (p *process) Send(id decision.RequestID, to decision.EndpointID, timeout, _ time.Duration) {
	w := p.brokers.world
	r := p.requests[id]
	attempts := 0
	if r != nil {
		attempts = r.attempts
	}
	w.Checker.AttemptSent(w.Now(), string(id), attempts, int(to)-1)
	if r == nil || int(to) < 1 || int(to) > len(w.Servers) {
		return
	}
	a := &model.Attempt{Request: r.Request, Number: r.attempts, Server: w.Servers[to-1], SentAt: w.Now(), ReplyTo: p}
	r.attempts++
	r.inFlight = a
	w.Result.Attempts++
	end := r.attemptDeadline - w.Now()
	if timeout > 0 {
		end = min(end, timeout)
	}
	w.After(end, func() { p.outcome(a, decision.Timeout, nil) })
	silent := w.IsUnreachable(p.model, a.Server) || a.Server.IsSilent()
	if !silent {
		delete(p.unreachable, to)
	} else if p.unreachable[to] || a.Server.IsSilent() {
		w.After(time.Duration(w.Scenario.Broker.ConnectTimeout), func() { p.outcome(a, decision.ConnectFailed, nil) })
		return
	}
	connectTime, ok := a.Server.Connect(a)
	if !ok {
		w.After(w.Latency(), func() { p.outcome(a, decision.ConnectFailed, nil) })
		return
	}
	w.After(connectTime+w.Latency(), func() {
		if !w.IsUnreachable(p.model, a.Server) {
			a.Server.Receive(a)
		}
	})
}

func (p *process) Refuse(id decision.RequestID, retryAfter time.Duration) {
	p.finish(id, model.Refused, retryAfter)
}
func (p *process) Fail(id decision.RequestID) { p.finish(id, model.Failed, 0) }

// finish completes a request, or reports an answer to a request that is not open to the checker.
func (p *process) finish(id decision.RequestID, outcome string, retryAfter time.Duration) {
	if r := p.requests[id]; r != nil {
		p.answer(r, outcome, retryAfter)
		return
	}
	p.brokers.world.Checker.RequestAnswered(p.brokers.world.Now(), string(id), outcome)
}

func (p *process) Cancel(id decision.RequestID, number int) {
	r := p.requests[id]
	if r == nil || r.inFlight == nil || r.inFlight.Number != number {
		return
	}
	a := r.inFlight
	p.brokers.world.After(0, func() { p.outcome(a, decision.Cancelled, nil) })
}

func (p *process) SetTimer(token uint64, after time.Duration) {
	p.brokers.world.After(after, func() {
		if !p.dead {
			p.policy.Timer(p.brokers.world.Now(), token)
		}
	})
}

func (p *process) Watch(bool) {}
func (p *process) Fetch()     {}
func (p *process) Log(string) {}
