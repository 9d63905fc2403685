package coresim

import (
	"fmt"
	"time"

	"dykering/internal/orders"
	"dykering/internal/placement"
)

// ordersChecker checks what the endpoints see of the orders.
type ordersChecker struct {
	violation error
	// highestToken is the highest fencing token that any endpoint has seen, sender who sent it.
	highestToken uint64
	sender       string
	// lastOrderAt is when each sender's last order arrived.
	lastOrderAt map[string]time.Duration
	// loads are when loads of weights began.
	loads []time.Duration
	// orders counts the orders.
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

// checkOrder checks an order that arrives: tokens never fall, a token has one sender, and no two senders take turns.
func (c *ordersChecker) checkOrder(now time.Duration, sender string, call orders.OrderCall) {
	c.orders++
	switch {
	case call.Token < c.highestToken:
		c.fail("an order of %s has token %d, %s has sent one with %d", sender, call.Token, c.sender, c.highestToken)
	case call.Token == c.highestToken && sender != c.sender:
		c.fail("%s and %s have both sent orders with token %d", c.sender, sender, call.Token)
	case sender != c.sender:
		c.checkNotAlternating(now, sender)
	}
	c.highestToken, c.sender = call.Token, sender
	c.lastOrderAt[sender] = now
}

// checkNotAlternating checks that a sender that comes after another one has not sent orders shortly before it.
func (c *ordersChecker) checkNotAlternating(now time.Duration, sender string) {
	last, ok := c.lastOrderAt[sender]
	if ok && now-last < leaseDuration {
		c.fail("%s and %s take turns: %v after its last order", sender, c.sender, now-last)
	}
}

// checkLoad checks a load that begins: the endpoint has room for it, and the origin's rate is kept in each window.
func (c *ordersChecker) checkLoad(now time.Duration, e *endpoint, order placement.Order) {
	if _, loaded := e.models[order.Model]; loaded {
		return
	}
	if (len(e.models)+1)*modelSizeMB > endpointSizeMB {
		c.fail("%s is to load %s beyond its memory", e.id, order.Model)
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
		c.fail("%d loads begin within %v, %.1f are allowed", inWindow, ceilingWindow, ceiling)
	}
}

// checkPlacement checks, some time after the last fault, that the lease holder orders, and that what it knows of idle endpoints
// is so.
func (sim *Simulation) checkPlacement() error {
	p := sim.placement
	if p == nil {
		return nil
	}
	if p.checker.orders == 0 {
		return fmt.Errorf("no order was sent")
	}
	before := p.checker.orders
	if err := sim.Run(sim.now + placementSettleTime); err != nil {
		return err
	}
	if p.checker.orders == before {
		return fmt.Errorf("no order is sent in %v of calm", placementSettleTime)
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

// placementSettleTime is how long after the last fault the lease holder must have sent an order.
const placementSettleTime = 12 * time.Second

// checkKnowledge checks that an endpoint without an order has what the lease holder believes.
func (p *placer) checkKnowledge(e *endpoint) error {
	known := placement.Endpoint{ID: e.id, Models: e.models}
	p.holder.Orders().Describe(&known)
	if known.OrderInFlight || e.busy {
		return nil
	}
	for model := range known.Models {
		if _, loaded := e.models[model]; !loaded {
			return fmt.Errorf("%s believes that %s has %s", p.m.address, e.id, model)
		}
	}
	for model := range e.models {
		if _, loaded := known.Models[model]; !loaded {
			return fmt.Errorf("%s does not know that %s has %s", p.m.address, e.id, model)
		}
	}
	return nil
}
