package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

// holding is a period in which a client may assume that it holds a lock.
type holding struct {
	holder      string
	from, until time.Duration
	calls       []*Call
}

// checkLocks checks the holders and the fencing tokens of each lock.
func (c *checker) checkLocks() {
	for name, calls := range c.callsByName(Begin, Heartbeat, Finish) {
		c.checkHoldings(name, calls)
		c.checkTokens(name, calls)
	}
}

// checkHoldings checks that no two clients hold a lock at the same time.
func (c *checker) checkHoldings(name string, calls []*Call) {
	var all []*holding
	for _, ofHolder := range lo.GroupBy(calls, func(call *Call) string { return call.Client }) {
		all = append(all, holdings(ofHolder)...)
	}
	slices.SortFunc(all, func(a, b *holding) int { return cmp.Compare(a.from, b.from) })
	for i, first := range all {
		for _, second := range all[i+1:] {
			if second.from >= first.until {
				break
			}
			if first.holder != second.holder {
				c.addViolation(One, fmt.Sprintf("%s has two holders from %v to %v", name, second.from, min(first.until, second.until)),
					append(slices.Clone(first.calls), second.calls...)...)
			}
		}
	}
}

// holdings returns the periods in which one client holds one lock. The calls of a client do not overlap. A holding begins with the
// answer and lasts for the hold time from the sending of the call.
func holdings(calls []*Call) []*holding {
	var all []*holding
	var current *holding
	for _, call := range calls {
		if current != nil && call.Sent >= current.until {
			current = nil // the holding had expired when the call was sent
		}
		if call.Operation == Finish {
			if current != nil {
				current.until = call.Sent
				current.calls = append(current.calls, call)
			}
			current = nil
			continue
		}
		if !call.succeeded() {
			continue
		}
		until := call.Sent + call.Hold
		if current != nil && call.Received < current.until {
			current.until = until
			current.calls = append(current.calls, call)
			continue
		}
		current = nil
		if call.Operation == Begin && call.Received < until {
			current = &holding{holder: call.Client, from: call.Received, until: until, calls: []*Call{call}}
			all = append(all, current)
		}
	}
	return all
}

// checkTokens checks that the fencing tokens of a lock increase from holder to holder.
func (c *checker) checkTokens(name string, calls []*Call) {
	granted := lo.Filter(calls, func(call *Call, _ int) bool { return call.Operation == Begin && call.succeeded() })
	for i, call := range granted {
		for j, other := range granted {
			switch {
			case j < i && other.Client != call.Client && other.Token == call.Token:
				c.addViolation(One, fmt.Sprintf("fencing token %d of %s is granted to two holders", call.Token, name), other, call)
			case other.answeredBefore(call) && other.Token > call.Token:
				c.addAnswerViolation(call, One, fmt.Sprintf("fencing token %d of %s is granted after token %d", call.Token, name, other.Token), other)
			}
		}
	}
}
