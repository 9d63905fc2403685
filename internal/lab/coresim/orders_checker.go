package coresim

import (
	"fmt"
	"time"

	"dykering/internal/orders"
	"dykering/internal/placement"
)

// ordersChecker checks the orders that arrive at the endpoints.
type ordersChecker struct {
	violation error
	// highestToken is the highest fencing token that any endpoint has received, and sender is the member that sent it.
	highestToken uint64
	sender       string
	// lastOrderAt maps each sender to the arrival of its last order.
	lastOrderAt map[string]time.Duration
	// loads are the times at which loads of weights began.
	loads []time.Duration
	// orders counts the orders that arrived.
	orders int
}

func newOrdersChecker() *ordersChecker {
	return &ordersChecker{lastOrderAt: map[string]time.Duration{}}
}

func (c *ordersChecker) fail(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, arguments...)
	}
}

// checkOrder checks an order that arrives. Tokens must never decrease, each token must have one sender, and senders must not
// alternate.
func (c *ordersChecker) checkOrder(now time.Duration, sender string, call orders.OrderCall) {
	c.orders++
	switch {
	case call.Token < c.highestToken:
		c.fail("an order of %s has token %d, but %s has sent an order with token %d", sender, call.Token, c.sender, c.highestToken)
	case call.Token == c.highestToken && sender != c.sender:
		c.fail("%s and %s have both sent orders with token %d", c.sender, sender, call.Token)
	case sender != c.sender:
		c.checkNotAlternating(now, sender)
	}
	c.highestToken, c.sender = call.Token, sender
	c.lastOrderAt[sender] = now
}

// checkNotAlternating checks that a sender that follows another one has not sent an order itself within leaseDuration.
func (c *ordersChecker) checkNotAlternating(now time.Duration, sender string) {
	last, ok := c.lastOrderAt[sender]
	if ok && now-last < leaseDuration {
		c.fail("%s and %s take turns as senders of orders: the former sends again only %v after its last order", sender, c.sender,
			now-last)
	}
}

// checkLoad checks a load that begins. The endpoint must have enough memory for the model, and the number of loads within
// ceilingWindow must not exceed the limit of the origin.
func (c *ordersChecker) checkLoad(now time.Duration, e *endpoint, order placement.Order) {
	if _, loaded := e.models[order.Model]; loaded {
		return
	}
	if (len(e.models)+1)*modelSizeMB > endpointSizeMB {
		c.fail("endpoint %s receives an order to load %s, for which it has not enough memory", e.id, order.Model)
	}
	c.loads = append(c.loads, now)
	inWindow := 0
	for _, at := range c.loads {
		if now-at < ceilingWindow {
			inWindow++
		}
	}
	ceiling := loadsPerSecond*ceilingWindow.Seconds()*ceilingOvershoot + ceilingSlack
	if float64(inWindow) > ceiling {
		c.fail("%d loads begin within %v, but only %.1f are allowed", inWindow, ceilingWindow, ceiling)
	}
}

// checkPlacement checks, after the last fault, that the lease holder sends orders and that it knows which models the idle
// endpoints have loaded.
func (sim *Simulation) checkPlacement() error {
	p := sim.placement
	if p == nil {
		return nil
	}
	if p.checker.orders == 0 {
		return fmt.Errorf("no order was sent during the whole run")
	}
	before := p.checker.orders
	if err := sim.Run(sim.now + placementSettleTime); err != nil {
		return err
	}
	if p.checker.orders == before {
		return fmt.Errorf("no order is sent within %v without faults", placementSettleTime)
	}
	for _, m := range sim.runningMachines() {
		if !m.placer.holder.Lease().Held {
			continue
		}
		for _, e := range p.endpoints {
			if err := m.placer.checkKnowledge(e); err != nil {
				return err
			}
		}
	}
	return p.checker.violation
}

// placementSettleTime is the time after the last fault within which the lease holder must send an order.
const placementSettleTime = 12 * time.Second

// checkKnowledge checks that the lease holder knows exactly which models an endpoint has loaded, if no order to it is in flight.
func (p *placer) checkKnowledge(e *endpoint) error {
	known := placement.Endpoint{ID: e.id, Models: e.models}
	p.holder.Orders().CompleteEndpoint(&known)
	if known.OrderInFlight || e.busy {
		return nil
	}
	for model := range known.Models {
		if _, loaded := e.models[model]; !loaded {
			return fmt.Errorf("lease holder %s assumes that endpoint %s has loaded %s, which it has not", p.m.address, e.id, model)
		}
	}
	for model := range e.models {
		if _, loaded := known.Models[model]; !loaded {
			return fmt.Errorf("lease holder %s does not know that endpoint %s has loaded %s", p.m.address, e.id, model)
		}
	}
	return nil
}
