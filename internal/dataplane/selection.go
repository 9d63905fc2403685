package dataplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

const (
	// firstShare is the part of a route's target for which a request's first try may wait for an endpoint: refused by then,
	// it is still worth something when it comes back. loadShare is that for which it waits where a load ends within it.
	firstShare = 0.2
	loadShare  = 0.6
	// lastShare is the part of its time for which a try waits that comes after another, as there may be no further one.
	lastShare = 0.5
	// loadMargin is what a load of weights takes beside the load itself, until every sidecar knows.
	loadMargin = 250 * time.Millisecond
)

// pickResult is what the owner says of a pick.
type pickResult struct {
	endpoint *routing.Endpoint
	choice   routing.Candidate
	verdict  routing.SelectionResult
	changed  <-chan struct{}
}

// choose finds an endpoint, and waits for one where that is worth while.
func (c *carrying) choose() (*routing.Endpoint, *refusal) {
	p, q := c.process, c.request
	began := time.Now()
	for {
		got := ask(p, func() pickResult {
			now := p.now()
			e, verdict := p.pool.Select(now, c.query())
			var choice routing.Candidate
			if verdict == routing.Selected {
				choice = e.Candidate(now)
				p.pool.BeginCall(e)
			}
			if verdict == routing.ModelNotLoaded || verdict == routing.AdapterNotLoaded {
				p.demand.unplaced(q.key())
			}
			return pickResult{endpoint: e, choice: choice, verdict: verdict, changed: p.changed}
		})
		if got.verdict == routing.Selected {
			c.chosen = got.choice
			return got.endpoint, nil
		}
		wait, refused := c.patience(got.verdict, time.Since(began))
		if refused != nil {
			return nil, refused
		}
		waitingSince := time.Now()
		timer := time.NewTimer(wait)
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return nil, c.expired()
		case <-got.changed:
		case <-timer.C:
		}
		timer.Stop()
		c.account.spend(phaseOf(got.verdict), waitingSince)
	}
}

// patience is how long a request waits for an endpoint, or why it does not.
func (c *carrying) patience(verdict routing.SelectionResult, waited time.Duration) (time.Duration, *refusal) {
	const look = 20 * time.Millisecond
	q := c.request
	refused := &refusal{kind: errkind.NoEndpoint, retryAfter: c.comeBack()}
	most := portion(q.route.Target(), firstShare)
	switch verdict {
	case routing.NoneAvailable:
		refused.kind = errkind.Overloaded
	case routing.ModelNotLoaded:
		load := loadTime(q.engine, q.model) + loadMargin
		refused.retryAfter = load
		if load < portion(q.route.Target(), loadShare) {
			most = portion(q.route.Target(), loadShare)
		}
	}
	if q.again {
		most = max(most, portion(q.deadline.Sub(q.arrived), lastShare))
	}
	if waited >= min(most, q.left()*4/5) {
		return 0, refused
	}
	return min(look, max(most-waited, time.Millisecond)), nil
}

// portion is a part of a time.
func portion(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// loadTime is how long the weights of a model take to load.
func loadTime(engine *fleetconfig.Engine, model string) time.Duration {
	if engine == nil {
		return 0
	}
	for _, m := range engine.Models {
		if m.Name == model {
			return time.Duration(m.LoadTimeS * float64(time.Second))
		}
	}
	return 0
}
