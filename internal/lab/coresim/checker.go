package coresim

import (
	"fmt"
	"slices"
	"time"
)

// watchedHolders is how many former holders may not take turns with the present one.
const watchedHolders = 2

// checker knows only what callers saw.
type checker struct {
	broken                         error
	order                          []operation // in the order in which they were seen committed
	acked                          []uint64
	ackedBases                     map[uint64]uint64 // by the version that an acknowledged operation builds on, its number
	refusals                       map[uint64]bool   // operations that were refused
	shown                          map[string]shown  // by a member's address, what was checked of it
	place                          map[uint64]int    // of an operation in the order
	before                         map[uint64]int    // how many operations were acknowledged when one began
	longest                        int               // how many operations the longest read that has ended showed
	holder                         string
	token                          uint64
	actedAt                        time.Duration
	former                         []string // the holders before, the latest first
	Acks, Reads, Refusals, Holders int
}

// shown is what a member has shown last.
type shown struct {
	view uint64
	life int
	last int // number of operations
}

func newChecker() *checker {
	return &checker{actedAt: -time.Hour, place: map[uint64]int{}, before: map[uint64]int{}, ackedBases: map[uint64]uint64{},
		refusals: map[uint64]bool{}, shown: map[string]shown{}}
}

func (c *checker) fail(format string, arguments ...any) {
	if c.broken == nil {
		c.broken = fmt.Errorf(format, arguments...)
	}
}

// watch looks at what a member would show its callers now.
func (c *checker) watch(m *machine) {
	if !m.runs() || m.node.View().Number == 0 {
		return
	}
	if m.node.IsInChain() {
		c.committed(m)
	}
	now := m.world.now
	token, holds := m.node.HoldsLease(now)
	if m.world.options.Flaw == HoldUnconfirmed {
		view := m.node.View()
		holds, token = view.Holder == m.node.Self().ID, view.Token
	}
	if m.world.options.Flaw == TokenStays {
		token = 1
	}
	if holds {
		c.act(now, m.address, token)
	}
}

// committed checks that all members show the same operations in the same order. What a member has shown before in the
// same view and life is not compared again, but for the last of it.
func (c *checker) committed(m *machine) {
	operations := m.node.CommittedState().Value.(log).operations
	now := shown{view: m.node.View().Number, life: m.life, last: len(operations)}
	from := 0
	if before := c.shown[m.address]; before.view == now.view && before.life == now.life && before.last <= now.last {
		from = max(before.last-1, 0)
	}
	c.shown[m.address] = now
	for i := from; i < len(operations); i++ {
		if i == len(c.order) {
			c.inOrder(operations[i])
		}
		if c.order[i] != operations[i] {
			c.fail("%s shows operation %d as number %d, another member showed %d", m.address, operations[i].number, i, c.order[i].number)
			return
		}
	}
}

// inOrder takes the next operation of the order. It must build on the version before it, come after all that were
// acknowledged before it began, and never have been refused.
func (c *checker) inOrder(op operation) {
	if op.base != uint64(len(c.order)) {
		c.fail("operation %d builds on version %d and is taken on top of version %d", op.number, op.base, len(c.order))
	}
	if c.refusals[op.number] {
		c.fail("operation %d was refused and is in force", op.number)
	}
	c.place[op.number] = len(c.order)
	c.order = append(c.order, op)
	for _, earlier := range c.acked[:c.before[op.number]] {
		if _, ok := c.place[earlier]; !ok {
			c.fail("operation %d comes before %d, which was acknowledged before it began", op.number, earlier)
			return
		}
	}
}

// begin notes that a caller sends an operation.
func (c *checker) begin(op operation) { c.before[op.number] = len(c.acked) }

// refused notes that a caller was told another version is in place: its operation was never taken, and one that builds on
// the same version was.
func (c *checker) refused(op operation) {
	c.Refusals++
	c.refusals[op.number] = true
	if _, taken := c.place[op.number]; taken {
		c.fail("operation %d was taken and is refused", op.number)
	}
	if uint64(len(c.order)) <= op.base {
		c.fail("operation %d is refused, and no version above %d is committed", op.number, op.base)
	}
}

// act checks that one holder acts at a time, with tokens that rise.
func (c *checker) act(now time.Duration, address string, token uint64) {
	switch {
	case address == c.holder:
		if token < c.token {
			c.fail("the token of %s falls from %d to %d", address, c.token, token)
		}
	case token <= c.token:
		c.fail("%s acts with token %d, %s has acted with %d", address, token, c.holder, c.token)
	case now-c.actedAt < thawSlack:
		c.fail("%s acts %v after %s", address, now-c.actedAt, c.holder)
	case now-c.actedAt < leaseDuration && slices.Contains(c.former, address):
		c.fail("%s takes turns with %s: it acts again %v after it", address, c.holder, now-c.actedAt)
	default:
		c.Holders++
		c.former = append([]string{c.holder}, c.former...)
		c.former = c.former[:min(len(c.former), watchedHolders)]
	}
	c.holder, c.token, c.actedAt = address, token, now
}

// ack notes that a caller was told its operation is taken. Only one is that builds on a version.
func (c *checker) ack(op operation) {
	if other, ok := c.ackedBases[op.base]; ok && other != op.number {
		c.fail("operations %d and %d are both acknowledged on top of version %d", other, op.number, op.base)
	}
	c.ackedBases[op.base] = op.number
	c.acked = append(c.acked, op.number)
	c.Acks++
}

// read checks a read that began when so many operations were acknowledged, and the longest read had shown so many.
func (c *checker) read(address string, value log, acked, longest int) {
	c.Reads++
	if len(value.operations) < longest {
		c.fail("a read at %s shows %d operations, one that ended before it began %d", address, len(value.operations), longest)
		return
	}
	c.longest = max(c.longest, len(value.operations))
	for _, number := range c.acked[:acked] {
		if !value.has(number) {
			c.fail("a read at %s lacks operation %d, which was acknowledged before", address, number)
			return
		}
	}
}

// checkCopies checks that each acknowledged operation is on one disk more than may be lost, without that of a member that
// has just left. A disk that was lost and has not caught up yet is one that has been lost.
func (w *World) checkCopies(left *machine) {
	acked := 0
	for _, number := range w.checker.acked {
		acked = max(acked, w.checker.place[number]+1)
	}
	copies, lost := 0, 0
	for _, m := range w.machines {
		if m.removed || m == left {
			continue
		}
		switch {
		case m.storedOperations() >= acked:
			copies++
		case m.lost > 0 || m.newcomer:
			lost++
		}
	}
	if least := w.options.MostFailures + 1 - lost; copies < max(least, 1) {
		w.checker.fail("%d operations are acknowledged, and %d disks hold them all, with %d lost", acked, copies, lost)
	}
}

// caughtUp checks that every member that runs is in the chain of the newest view.
func (w *World) caughtUp() error {
	var newest uint64
	for _, m := range w.present() {
		newest = max(newest, m.node.View().Number)
	}
	for _, m := range w.present() {
		if view := m.node.View(); view.Number < newest || !m.node.IsInChain() {
			return fmt.Errorf("%s has not caught up: it has view %d of %d", m.address, view.Number, newest)
		}
	}
	return nil
}
