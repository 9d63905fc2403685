package coresim

import (
	"fmt"
	"slices"
	"time"
)

// watchedHolders is how many former holders may not take turns with the present one.
const formerHolderCount = 2

// checker knows only what callers saw.
type checker struct {
	violation                        error
	order                            []operation // in the order in which they were seen committed
	acked                            []uint64
	ackedBases                       map[uint64]uint64      // by the version that an acknowledged operation builds on, its number
	rejected                         map[uint64]bool        // operations that were refused
	shown                            map[string]observation // by a member's address, what was checked of it
	position                         map[uint64]int         // of an operation in the order
	ackedBefore                      map[uint64]int         // how many operations were acknowledged when one began
	longestRead                      int                    // how many operations the longest read that has ended showed
	holder                           string
	token                            uint64
	lastHeldAt                       time.Duration
	formerHolders                    []string // the holders before, the latest first
	acks, reads, rejections, holders int
}

// shown is what a member has shown last.
type observation struct {
	view        uint64
	incarnation int
	operations  int // number of operations
}

func newChecker() *checker {
	return &checker{lastHeldAt: -time.Hour, position: map[uint64]int{}, ackedBefore: map[uint64]int{}, ackedBases: map[uint64]uint64{},
		rejected: map[uint64]bool{}, shown: map[string]observation{}}
}

func (c *checker) fail(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, arguments...)
	}
}

// watch looks at what a member would show its callers now.
func (c *checker) observe(m *machine) {
	if !m.isRunning() || m.node.View().Number == 0 {
		return
	}
	if m.node.IsInChain() {
		c.checkOrder(m)
	}
	now := m.sim.now
	token, holds := m.node.HoldsLease(now)
	if m.sim.options.Flaw == LeaseUnconfirmed {
		view := m.node.View()
		holds, token = view.Holder == m.node.Self().ID, view.Token
	}
	if m.sim.options.Flaw == ConstantToken {
		token = 1
	}
	if holds {
		c.checkHolder(now, m.address, token)
	}
}

// committed checks that all members show the same operations in the same order. What a member has shown before in the
// same view and life is not compared again, but for the last of it.
func (c *checker) checkOrder(m *machine) {
	operations := m.node.CommittedState().Value.(log).operations
	now := observation{view: m.node.View().Number, incarnation: m.incarnation, operations: len(operations)}
	from := 0
	if before := c.shown[m.address]; before.view == now.view && before.incarnation == now.incarnation && before.operations <= now.operations {
		from = max(before.operations-1, 0)
	}
	c.shown[m.address] = now
	for i := from; i < len(operations); i++ {
		if i == len(c.order) {
			c.appendToOrder(operations[i])
		}
		if c.order[i] != operations[i] {
			c.fail("%s shows operation %d as number %d, another member showed %d", m.address, operations[i].number, i, c.order[i].number)
			return
		}
	}
}

// inOrder takes the next operation of the order. It must build on the version before it, come after all that were
// acknowledged before it began, and never have been refused.
func (c *checker) appendToOrder(op operation) {
	if op.base != uint64(len(c.order)) {
		c.fail("operation %d builds on version %d and is taken on top of version %d", op.number, op.base, len(c.order))
	}
	if c.rejected[op.number] {
		c.fail("operation %d was refused and is in force", op.number)
	}
	c.position[op.number] = len(c.order)
	c.order = append(c.order, op)
	for _, earlier := range c.acked[:c.ackedBefore[op.number]] {
		if _, ok := c.position[earlier]; !ok {
			c.fail("operation %d comes before %d, which was acknowledged before it began", op.number, earlier)
			return
		}
	}
}

// begin notes that a caller sends an operation.
func (c *checker) begin(op operation) { c.ackedBefore[op.number] = len(c.acked) }

// refused notes that a caller was told another version is in place: its operation was never taken, and one that builds on
// the same version was.
func (c *checker) reject(op operation) {
	c.rejections++
	c.rejected[op.number] = true
	if _, taken := c.position[op.number]; taken {
		c.fail("operation %d was taken and is refused", op.number)
	}
	if uint64(len(c.order)) <= op.base {
		c.fail("operation %d is refused, and no version above %d is committed", op.number, op.base)
	}
}

// act checks that one holder acts at a time, with tokens that rise.
func (c *checker) checkHolder(now time.Duration, address string, token uint64) {
	switch {
	case address == c.holder:
		if token < c.token {
			c.fail("the token of %s falls from %d to %d", address, c.token, token)
		}
	case token <= c.token:
		c.fail("%s acts with token %d, %s has acted with %d", address, token, c.holder, c.token)
	case now-c.lastHeldAt < takeoverSlack:
		c.fail("%s acts %v after %s", address, now-c.lastHeldAt, c.holder)
	case now-c.lastHeldAt < leaseDuration && slices.Contains(c.formerHolders, address):
		c.fail("%s takes turns with %s: it acts again %v after it", address, c.holder, now-c.lastHeldAt)
	default:
		c.holders++
		c.formerHolders = append([]string{c.holder}, c.formerHolders...)
		c.formerHolders = c.formerHolders[:min(len(c.formerHolders), formerHolderCount)]
	}
	c.holder, c.token, c.lastHeldAt = address, token, now
}

// ack notes that a caller was told its operation is taken. Only one is that builds on a version.
func (c *checker) acknowledge(op operation) {
	if other, ok := c.ackedBases[op.base]; ok && other != op.number {
		c.fail("operations %d and %d are both acknowledged on top of version %d", other, op.number, op.base)
	}
	c.ackedBases[op.base] = op.number
	c.acked = append(c.acked, op.number)
	c.acks++
}

// read checks a read that began when so many operations were acknowledged, and the longest read had shown so many.
func (c *checker) checkRead(address string, value log, acked, longest int) {
	c.reads++
	if len(value.operations) < longest {
		c.fail("a read at %s shows %d operations, one that ended before it began %d", address, len(value.operations), longest)
		return
	}
	c.longestRead = max(c.longestRead, len(value.operations))
	for _, number := range c.acked[:acked] {
		if !value.has(number) {
			c.fail("a read at %s lacks operation %d, which was acknowledged before", address, number)
			return
		}
	}
}
