package coresim

import (
	"fmt"
	"slices"
	"time"

	"dykering/internal/chain"
)

// log is the replicated value: the numbers of the operations, in order. It is never changed in place.
type log struct{ operations []uint64 }

func apply(value any, operation []byte) any {
	old := value.(log).operations
	var number uint64
	for i, b := range operation {
		number |= uint64(b) << (8 * i)
	}
	return log{operations: append(old[:len(old):len(old)], number)}
}

func encode(number uint64) []byte {
	var b [8]byte
	for i := range b {
		b[i] = byte(number >> (8 * i))
	}
	return b[:]
}

func (l log) has(number uint64) bool {
	for i := len(l.operations) - 1; i >= 0; i-- {
		if l.operations[i] == number {
			return true
		}
	}
	return false
}

// watchedHolders is how many former holders may not take turns with the present one.
const watchedHolders = 2

// checker knows only what callers saw.
type checker struct {
	broken                      error
	order                       []uint64 // operations in the order in which they were seen committed
	acked                       []uint64
	place                       map[uint64]int // of an operation in the order
	before                      map[uint64]int // how many operations were acknowledged when one began
	longest                     int            // how many operations the longest read that has ended showed
	holder                      string
	token                       uint64
	actedAt                     time.Duration
	former                      []string // the holders before, the latest first
	Acks, Reads, Views, Holders int
}

func newChecker() *checker {
	return &checker{actedAt: -time.Hour, place: map[uint64]int{}, before: map[uint64]int{}}
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
	if m.node.InChain() {
		c.committed(m.address, m.node.CommittedState())
	}
	now := m.world.now
	token, holds := m.node.Holds(now)
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

// committed checks that all members show the same operations in the same order.
func (c *checker) committed(address string, state chain.State) {
	operations := state.Value.(log).operations
	for i, number := range operations {
		if i < len(c.order) {
			if c.order[i] != number {
				c.fail("%s shows operation %d as number %d, another member showed %d", address, number, i, c.order[i])
				return
			}
			continue
		}
		c.inOrder(number)
	}
}

// inOrder takes the next operation of the order. It must come after all that were acknowledged before it began.
func (c *checker) inOrder(number uint64) {
	c.place[number] = len(c.order)
	c.order = append(c.order, number)
	for _, earlier := range c.acked[:c.before[number]] {
		if _, ok := c.place[earlier]; !ok {
			c.fail("operation %d comes before %d, which was acknowledged before it began", number, earlier)
			return
		}
	}
}

// begin notes that a caller sends an operation.
func (c *checker) begin(number uint64) { c.before[number] = len(c.acked) }

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

// ack notes that a caller was told its operation is taken.
func (c *checker) ack(number uint64) {
	c.acked = append(c.acked, number)
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
