package coresim

import (
	"fmt"
	"slices"
	"time"
)

// formerHolderCount is to how many former lease holders the role must not return within leaseDuration.
const formerHolderCount = 2

// checker checks what clients observe against the guarantees. It does not use the members' internal state beyond what a
// client, or a reader of the lease, would see. docs/SYSTEM-SEARCH.md lists the guarantees.
type checker struct {
	// violation is the first violated guarantee; nil for none.
	violation error

	// order is the list of operations as the members have shown it committed.
	order []operation
	// position is the index of each operation in order.
	position map[uint64]int
	// shown is what each member, by address, has shown last.
	shown map[string]observation

	// acked are the acknowledged operations, in the order of the acknowledgements.
	acked []uint64
	// ackedBefore is how many operations were acknowledged when an operation was first sent.
	ackedBefore map[uint64]int
	// ackedBases is the acknowledged operation that builds on a version.
	ackedBases map[uint64]uint64
	// rejected are the operations that were rejected.
	rejected map[uint64]bool
	// longestRead is the length of the longest list that a completed read has returned.
	longestRead int

	// holder is the address of the last lease holder that could act, token its token and lastHeldAt when it last could.
	holder     string
	token      uint64
	lastHeldAt time.Duration
	// formerHolders are the addresses of the holders before it, the latest first.
	formerHolders []string

	// Counts of acknowledgements, rejections, reads and changes of the lease holder.
	acks, rejections, reads, holders int
}

// observation is the committed state that a member has shown.
type observation struct {
	view        uint64
	incarnation int
	length      int
}

func newChecker() *checker {
	return &checker{
		position:    map[uint64]int{},
		shown:       map[string]observation{},
		ackedBefore: map[uint64]int{},
		ackedBases:  map[uint64]uint64{},
		rejected:    map[uint64]bool{},
		lastHeldAt:  -time.Hour,
	}
}

// fail records a violation, unless there was one before.
func (c *checker) fail(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, arguments...)
	}
}

// observe checks what a member would show clients now.
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

// checkOrder checks that all members show the same operations in the same order. Of what a member has shown before, in the
// same view and incarnation, only the last operation is compared again: that keeps long runs fast.
func (c *checker) checkOrder(m *machine) {
	operations := m.node.CommittedState().Value.(log).operations
	current := observation{view: m.node.View().Number, incarnation: m.incarnation, length: len(operations)}
	previous := c.shown[m.address]
	c.shown[m.address] = current
	start := 0
	if previous.view == current.view && previous.incarnation == current.incarnation && previous.length <= current.length {
		start = max(previous.length-1, 0)
	}
	for i := start; i < len(operations); i++ {
		if i == len(c.order) {
			c.appendToOrder(operations[i])
		}
		if c.order[i] != operations[i] {
			c.fail("%s shows operation %d as number %d, another member showed %d", m.address, operations[i].number, i, c.order[i].number)
			return
		}
	}
}

// appendToOrder adds an operation that a member has shown first. It must build on the version before it, come after all that
// were acknowledged before it was sent, and not have been rejected.
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

// begin records that a client sends an operation for the first time.
func (c *checker) begin(op operation) { c.ackedBefore[op.number] = len(c.acked) }

// acknowledge records that an operation was acknowledged. At most one operation that builds on a version may be.
func (c *checker) acknowledge(op operation) {
	if other, ok := c.ackedBases[op.base]; ok && other != op.number {
		c.fail("operations %d and %d are both acknowledged on top of version %d", other, op.number, op.base)
	}
	c.ackedBases[op.base] = op.number
	c.acked = append(c.acked, op.number)
	c.acks++
}

// reject records that an operation was rejected because of another version: it must not be applied, and one that builds on
// the same version must be.
func (c *checker) reject(op operation) {
	c.rejections++
	c.rejected[op.number] = true
	if _, applied := c.position[op.number]; applied {
		c.fail("operation %d was taken and is refused", op.number)
	}
	if uint64(len(c.order)) <= op.base {
		c.fail("operation %d is refused, and no version above %d is committed", op.number, op.base)
	}
}

// checkRead checks the result of a read. Acked and longest are the number of acknowledged operations and the length of the
// longest completed read when it began.
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

// checkHolder checks a member that can act as the lease holder now: it does so alone, with a token that never falls, and the
// role does not return to a former holder too soon.
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
	c.holder = address
	c.token = token
	c.lastHeldAt = now
}
