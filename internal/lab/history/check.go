package history

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// The rules.
const (
	One     = "ONE"
	Order   = "ORDER"
	Stale   = "STALE"
	Mixed   = "MIXED"
	Refused = "REFUSED"
	Lost    = "LOST"
	Config  = "CONFIG"
)

// Violation is a rule that was broken, with the calls that show it.
type Violation struct {
	Rule   string
	Reason string
	Calls  []*Call
}

// String describes the violation and lists its calls.
func (v Violation) String() string {
	lines := []string{v.Rule + ": " + v.Reason}
	for _, call := range v.Calls {
		lines = append(lines, "  "+call.String())
	}
	return strings.Join(lines, "\n")
}

// Check returns all violations of a history. retention is how long a revision that was given to a watch can be resumed from
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
	calls      []*Call // by the time they were sent
	retention  time.Duration
	violations []Violation
}

// addViolation adds a violation. What is seen in the end of the history is a loss.
func (c *checker) addViolation(rule, reason string, calls ...*Call) {
	c.violations = append(c.violations, Violation{Rule: rule, Reason: reason, Calls: lo.Uniq(calls)})
}

// addAnswerViolation is violate for the answer to a call; at the end of the history an answer that lags behind breaks LOST.
func (c *checker) addAnswerViolation(call *Call, rule, reason string, others ...*Call) {
	if call.Final {
		rule = Lost
	}
	c.addViolation(rule, reason, append(others, call)...)
}

// callsByName returns the calls callsByName some operations by their names.
func (c *checker) callsByName(operations ...Operation) map[string][]*Call {
	chosen := lo.Filter(c.calls, func(call *Call, _ int) bool { return slices.Contains(operations, call.Operation) })
	return lo.GroupBy(chosen, func(call *Call) string { return call.Name })
}

// checkNumbers checks that numbers of one name rise.
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
