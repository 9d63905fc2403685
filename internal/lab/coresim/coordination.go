package coresim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/coordination"
)

// Times of the coordination service in the simulated processes. The history and the holds that are over are kept for much
// shorter than in a deployment, so that a run of some seconds sees them dropped.
const (
	historyS           = 4 * time.Second
	holdMargin         = 50 * time.Millisecond
	compactionInterval = 300 * time.Millisecond
	expiredHoldGrace   = 2 * time.Second
)

// coordinationTable is the emulated side of the coordination service: its callers, and what they have seen.
type coordinationTable struct {
	sim    *Simulation
	random *rand.Rand // of its own
	locks  *lockChecker
	cells  *cellChecker
	// numbers has the checker of the numbers.
	numbers *numberChecker
	// commands are all that a head has appended: the chain's log has their indexes.
	commands []coordination.Command
	// calls counts the calls that were answered, by outcome.
	calls map[string]int
	// lastValue and lastProbe number the values of puts and the holders at the end of a run.
	lastValue, lastProbe uint64
	watchers             []*watcher
	// stopping is set at the end of a run: callers begin nothing more.
	stopping bool
	// trace is told what happens; nil for nobody.
	trace func(line string)
}

// tell tells the trace.
func (t *coordinationTable) tracef(format string, arguments ...any) {
	if t.trace != nil {
		t.trace(fmt.Sprintf("%v ", t.sim.now) + fmt.Sprintf(format, arguments...))
	}
}

func newCoordinationTable(sim *Simulation) *coordinationTable {
	t := &coordinationTable{
		sim:     sim,
		random:  rand.New(rand.NewPCG(sim.options.Seed, 11)),
		locks:   newLockChecker(),
		cells:   newCellChecker(historyS),
		numbers: newNumberChecker(),
		calls:   map[string]int{},
	}
	t.startLockCallers()
	t.startNumberCallers()
	t.startCellCallers()
	return t
}

// violation returns the first violated guarantee; nil for none.
func (t *coordinationTable) violation() error {
	for _, err := range []error{t.locks.violation, t.cells.violation, t.numbers.violation} {
		if err != nil {
			return err
		}
	}
	return nil
}

// duration returns a random duration between two.
func (t *coordinationTable) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(t.random.Int64N(int64(most-least)))
}

// oneOf reports true in one of so many cases.
func (t *coordinationTable) oneIn(fraction int) bool { return t.random.IntN(fraction) == 0 }

// strikes reports whether a call has a fault that one of so many calls has. None has one at the end of a run.
func (t *coordinationTable) faultOccurs(fraction int) bool { return !t.stopping && t.oneIn(fraction) }

// commandMark begins the form of a command in the chain's log. The form of an operation of an operator begins with 0.
const commandMark = 0xC0

// encodeCommand returns the form of a command in the chain's log: its index.
func (t *coordinationTable) encodeCommand(command coordination.Command) ([]byte, error) {
	t.commands = append(t.commands, command)
	return binary.BigEndian.AppendUint64([]byte{commandMark}, uint64(len(t.commands)-1)), nil
}

// apply is chain.Config.Apply for a core that may have the coordination service.
func (sim *Simulation) apply(value any, encoded []byte) any {
	if encoded[0] != commandMark {
		return apply(value, encoded)
	}
	command := sim.coordination.commands[binary.BigEndian.Uint64(encoded[1:])]
	next := value.(log)
	next.coordination, _, _ = coordinationOf(value).Execute(command)
	return next
}

// coordinationOf returns the state of the coordination service in a value of the chain.
func coordinationOf(value any) *coordination.State {
	if state := value.(log).coordination; state != nil {
		return state
	}
	return coordination.Empty()
}
