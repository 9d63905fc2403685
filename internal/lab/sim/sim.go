package sim

import (
	"context"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/model"
	"dykering/internal/lab/scenario"
)

// Policy makes the decisions of an instance. Its methods are the events of package decision, whose Balancer is
// a Policy.
type Policy interface {
	Targets(now time.Duration, l decision.List)
	Request(now time.Duration, q decision.Request)
	Outcome(now time.Duration, o decision.Outcome)
	Timer(now time.Duration, token uint64)
	Abandoned(now time.Duration, id decision.RequestID)
}

// Oracle provides knowledge that only the laboratory has, for policies that serve as an upper bound.
type Oracle interface {
	// Load returns the true load of a server, in attempts per core.
	Load(server decision.EndpointID) float64
}

// PolicyFactory creates the policy of an instance.
type PolicyFactory func(set decision.Settings, seed uint64, host decision.Host, truth Oracle) (Policy, error)

// Balancer is the PolicyFactory of the program's decision module.
func Balancer(set decision.Settings, seed uint64, host decision.Host, _ Oracle) (Policy, error) {
	return decision.New(set, seed, host)
}

// clock implements model.Clock in virtual time.
type clock struct {
	now    time.Duration
	events model.EventQueue
}

func (c *clock) Now() time.Duration                   { return c.now }
func (c *clock) After(d time.Duration, action func()) { c.events.Add(c.now+max(d, 0), action) }

// cancellationCheckInterval is the number of events after which the context is checked again.
const cancellationCheckInterval = 1 << 14

// Run runs a scenario with a seed until its end, or until the context is cancelled.
func Run(ctx context.Context, s *scenario.Scenario, seed uint64, policy PolicyFactory) (*model.Result, error) {
	c := &clock{now: model.Origin}
	b := &brokers{policy: policy, propagations: map[string]*propagation{}}
	b.world = model.New(s, seed, c, b, nil, 0)
	for _, in := range b.world.Instances {
		if err := b.start(in); err != nil {
			return nil, err
		}
	}
	end := b.world.Start()
	for n := 1; ; n++ {
		at, ok := c.events.Next()
		if !ok || at > end {
			break
		}
		var action func()
		c.now, action = c.events.Pop()
		action()
		if b.err != nil {
			return nil, b.err
		}
		if n%cancellationCheckInterval == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	c.now = end
	return b.world.Finish(), nil
}
