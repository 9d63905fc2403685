package history

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// The consistency rules that Check verifies.
const (
	One     = "ONE"     // a lock has one holder at a time, and its fencing tokens increase
	Order   = "ORDER"   // numbers and revisions increase, and watches deliver each put in order
	Stale   = "STALE"   // a read returns the latest put that was acknowledged before the read
	Mixed   = "MIXED"   // an answer contains only values that were put to its key, each under one revision
	Refused = "REFUSED" // a rejected put never takes effect
	Lost    = "LOST"    // acknowledged calls survive all faults, and watches can resume within the retention
	Config  = "CONFIG"  // each version of the configuration has one acknowledged successor, which reads return
)

// Violation is a violated rule with the calls that prove it.
type Violation struct {
	Rule   string
	Reason string
	Calls  []*Call
}

// String formats the violation and its calls, one a line.
func (v Violation) String() string {
	lines := []string{v.Rule + ": " + v.Reason}
	for _, call := range v.Calls {
		lines = append(lines, "  "+call.String())
	}
	return strings.Join(lines, "\n")
}

// Check returns all violations of a history. retention is the time for which a watch can resume from a revision that it received
// (history_s).
func Check(calls []Call, retention time.Duration) []Violation {
	sorted := lo.ToSlicePtr(slices.Clone(calls))
	slices.SortStableFunc(sorted, func(a, b *Call) int { return int(a.Sent - b.Sent) })
	c := &checker{calls: sorted, retention: retention}
	c.checkLocks()
	c.checkNumbers()
	c.checkKeys()
	c.checkConfigurations()
	return c.violations
}

// checker collects the violations of a history.
type checker struct {
	calls      []*Call // sorted by the time of sending
	retention  time.Duration
	violations []Violation
}

// addViolation adds a violation of a rule.
func (c *checker) addViolation(rule, reason string, calls ...*Call) {
	c.violations = append(c.violations, Violation{Rule: rule, Reason: reason, Calls: lo.Uniq(calls)})
}

// addAnswerViolation adds a violation that the answer to call shows. A final call whose answer lags behind violates LOST.
func (c *checker) addAnswerViolation(call *Call, rule, reason string, others ...*Call) {
	if call.Final {
		rule = Lost
	}
	c.addViolation(rule, reason, append(others, call)...)
}

// callsByName returns the calls with one of the operations, grouped by the name of their lock, number or key.
func (c *checker) callsByName(operations ...Operation) map[string][]*Call {
	chosen := lo.Filter(c.calls, func(call *Call, _ int) bool { return slices.Contains(operations, call.Operation) })
	return lo.GroupBy(chosen, func(call *Call) string { return call.Name })
}

// checkNumbers checks that the numbers of each name are unique and increase.
func (c *checker) checkNumbers() {
	for name, calls := range c.callsByName(Number) {
		answered := lo.Filter(calls, func(call *Call, _ int) bool { return call.succeeded() })
		for i, call := range answered {
			for j, other := range answered {
				switch {
				case j < i && other.Number == call.Number:
					c.addViolation(Order, fmt.Sprintf("number %d of %s is handed out twice", call.Number, name), other, call)
				case other.answeredBefore(call) && other.Number > call.Number:
					c.addAnswerViolation(call, Order, fmt.Sprintf("number %d of %s comes after %d", call.Number, name, other.Number), other)
				}
			}
		}
	}
}
