package coresim

import (
	"fmt"
	"slices"
	"time"
)

// formerHolderCount is the number of former lease holders that must not become the holder again within leaseDuration.
const formerHolderCount = 2

// checker checks the guarantees from the observations of clients. Of the members' internal state it uses only what a client,
// or a process that acts under the lease, could see.
type checker struct {
	// violation is the first violation of a guarantee, or nil.
	violation error

	// order is the list of committed operations, as the members have shown it.
	order []operation
	// position is the index of each operation in order.
	position map[uint64]int
	// shown is the last observation of each member, by address.
	shown map[string]observation

	// acked are the acknowledged operations, in the order of the acknowledgements.
	acked []uint64
	// ackedBefore maps each operation to the number of operations that were acknowledged when it was first sent.
	ackedBefore map[uint64]int
	// ackedBases maps each version to the acknowledged operation that builds on it.
	ackedBases map[uint64]uint64
	// rejected contains the operations that were rejected.
	rejected map[uint64]bool
	// longestRead is the length of the longest list that a completed read has returned.
	longestRead int

	// holder is the address of the member that last held the lease, token is its token, and lastHeldAt is the last time at which
	// it held the lease.
	holder     string
	token      uint64
	lastHeldAt time.Duration
	// formerHolders are the addresses of the holders before holder, the latest first.
	formerHolders []string

	// acks, rejections, reads and holders count the acknowledgements, rejections, reads and changes of the lease holder.
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

// fail records a violation, unless one is recorded already.
func (c *checker) fail(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, arguments...)
	}
}

// observe checks the state that a member would show to clients now.
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

// checkOrder checks that all members show the same operations in the same order. Of the operations that a member has already
// shown in the same view and incarnation, only the last one is compared again, as long runs would be slow otherwise.
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

// appendToOrder adds an operation that no member has shown before. The operation must build on the version before it, must come
// after all operations that were acknowledged before it was first sent, and must not have been rejected.
func (c *checker) appendToOrder(op operation) {
	if op.base != uint64(len(c.order)) {
		c.fail("operation %d builds on version %d but is applied to version %d", op.number, op.base, len(c.order))
	}
	if c.rejected[op.number] {
		c.fail("operation %d was rejected but is applied", op.number)
	}
	c.position[op.number] = len(c.order)
	c.order = append(c.order, op)
	for _, earlier := range c.acked[:c.ackedBefore[op.number]] {
		if _, ok := c.position[earlier]; !ok {
			c.fail("operation %d precedes operation %d, which was acknowledged before it was sent", op.number, earlier)
			return
		}
	}
}

// begin records that a client sends an operation for the first time.
func (c *checker) begin(op operation) { c.ackedBefore[op.number] = len(c.acked) }

// acknowledge records that an operation was acknowledged. At most one operation may be acknowledged for each base version.
func (c *checker) acknowledge(op operation) {
	if other, ok := c.ackedBases[op.base]; ok && other != op.number {
		c.fail("operations %d and %d, which both build on version %d, are both acknowledged", other, op.number, op.base)
	}
	c.ackedBases[op.base] = op.number
	c.acked = append(c.acked, op.number)
	c.acks++
}

// reject records that an operation was rejected because its base is not the latest version. The operation must not be applied,
// and another operation that builds on the same version must be committed.
func (c *checker) reject(op operation) {
	c.rejections++
	c.rejected[op.number] = true
	if _, applied := c.position[op.number]; applied {
		c.fail("operation %d is applied but was rejected", op.number)
	}
	if uint64(len(c.order)) <= op.base {
		c.fail("operation %d was rejected, but no version above %d is committed", op.number, op.base)
	}
}

// checkRead checks the result of a read. Acked is the number of acknowledged operations, and longest the length of the longest
// list that any read had returned, when this read began.
func (c *checker) checkRead(address string, value log, acked, longest int) {
	c.reads++
	if len(value.operations) < longest {
		c.fail("a read at %s shows %d operations, but a read that ended before it began showed %d", address,
			len(value.operations), longest)
		return
	}
	c.longestRead = max(c.longestRead, len(value.operations))
	for _, number := range c.acked[:acked] {
		if !value.has(number) {
			c.fail("a read at %s lacks operation %d, which was acknowledged before the read began", address, number)
			return
		}
	}
}

// checkHolder checks a member that can act as the lease holder now: no other member holds the lease at the same time, the token
// never decreases, and the lease does not return to a former holder within leaseDuration.
func (c *checker) checkHolder(now time.Duration, address string, token uint64) {
	switch {
	case address == c.holder:
		if token < c.token {
			c.fail("the token of %s decreases from %d to %d", address, c.token, token)
		}
	case token <= c.token:
		c.fail("%s holds the lease with token %d, but %s has held it with token %d", address, token, c.holder, c.token)
	case now-c.lastHeldAt < takeoverSlack:
		c.fail("%s holds the lease only %v after %s held it", address, now-c.lastHeldAt, c.holder)
	case now-c.lastHeldAt < leaseDuration && slices.Contains(c.formerHolders, address):
		c.fail("%s takes turns with %s: it holds the lease again only %v after it", address, c.holder, now-c.lastHeldAt)
	default:
		c.holders++
		c.formerHolders = append([]string{c.holder}, c.formerHolders...)
		c.formerHolders = c.formerHolders[:min(len(c.formerHolders), formerHolderCount)]
	}
	c.holder = address
	c.token = token
	c.lastHeldAt = now
}
