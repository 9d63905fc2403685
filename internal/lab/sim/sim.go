// Package sim plays a scenario in virtual time: instances of a policy, by default the broker's decision module, in the
// laboratory's model of a world. One run is one goroutine, and the same to the byte for a seed.
package sim

import (
	"context"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/model"
	"dykering/internal/lab/scenario"
)

// Policy is what decides in an instance. decision.Balancer is one.
type Policy interface {
	Targets(now time.Duration, l decision.List)
	Request(now time.Duration, q decision.Request)
	Outcome(now time.Duration, o decision.Outcome)
	Timer(now time.Duration, token uint64)
	Abandoned(now time.Duration, id decision.RequestID)
}

// Truth is what only the laboratory can know, for policies that are a ceiling.
type Truth interface {
	// Load is what a server has to do, for each of its cores.
	Load(server decision.EndpointID) float64
}

// NewPolicy makes the policy of an instance.
type NewPolicy func(set decision.Settings, seed uint64, host decision.Host, truth Truth) (Policy, error)

// Broker is the decision module.
func Broker(set decision.Settings, seed uint64, host decision.Host, _ Truth) (Policy, error) {
	return decision.New(set, seed, host)
}

// clock is virtual time.
type clock struct {
	now  time.Duration
	heap model.Heap
}

func (c *clock) Now() time.Duration               { return c.now }
func (c *clock) After(d time.Duration, do func()) { c.heap.Add(c.now+max(d, 0), do) }

// lookEvery is how many events pass between two looks at whether the run is called off.
const lookEvery = 1 << 14

// Run plays a scenario with a seed, to its end or that of the context.
func Run(ctx context.Context, s *scenario.Scenario, seed uint64, policy NewPolicy) (*model.Result, error) {
	c := &clock{now: model.Origin}
	t := &tiers{policy: policy, spreads: map[string]*spread{}}
	t.w = model.New(s, seed, c, t, nil, 0)
	for _, in := range t.w.Instances {
		if err := t.begin(in); err != nil {
			return nil, err
		}
	}
	end := t.w.Start()
	for n := 1; ; n++ {
		at, ok := c.heap.Next()
		if !ok || at > end {
			break
		}
		var do func()
		c.now, do = c.heap.Take()
		do()
		if t.err != nil {
			return nil, t.err
		}
		if n%lookEvery == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	c.now = end
	return t.w.End(), nil
}
