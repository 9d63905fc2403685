package coresim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/coordination"
)

// Times of the coordination service in the simulated processes. The history and expired holds are kept for a much shorter
// time than in a deployment, so that they are dropped within a run of some seconds.
const (
	// historyDuration is the history_s of the service.
	historyDuration    = 4 * time.Second
	holdMargin         = 50 * time.Millisecond
	compactionInterval = 300 * time.Millisecond
	expiredHoldGrace   = 2 * time.Second
)

// coordinationTable contains the emulated callers of the coordination service and the checkers of their observations.
type coordinationTable struct {
	sim *Simulation
	// random is a separate random stream, so that the coordination service does not change the core's schedules.
	random  *rand.Rand
	locks   *lockChecker
	cells   *cellChecker
	numbers *numberChecker
	// commands are all commands that a head has encoded. An entry of the chain contains an index of this slice.
	commands []coordination.Command
	// calls counts the finished calls by outcome.
	calls map[string]int
	// lastValue numbers the values of puts, lastProbe the holders that probe the locks at the end of a run.
	lastValue, lastProbe uint64
	watchers             []*watcher
	// stopping is set at the end of a run. Callers then begin no further call.
	stopping bool
	// trace receives a line for each event of a call; nil if the run is not traced.
	trace func(line string)
}

// tracef passes a line with the current time to the trace, if there is one.
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
		cells:   newCellChecker(historyDuration),
		numbers: newNumberChecker(),
		calls:   map[string]int{},
	}
	t.startLockCallers()
	t.startNumberCallers()
	t.startCellCallers()
	return t
}

// violation returns the first violation of any of the checkers, or nil.
func (t *coordinationTable) violation() error {
	for _, err := range []error{t.locks.violation, t.cells.violation, t.numbers.violation} {
		if err != nil {
			return err
		}
	}
	return nil
}

// duration returns a random duration of at least least and less than most.
func (t *coordinationTable) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(t.random.Int64N(int64(most-least)))
}

// oneIn returns true with the probability 1/n.
func (t *coordinationTable) oneIn(n int) bool { return t.random.IntN(n) == 0 }

// faultOccurs reports, with the probability 1/n, that a call has a fault. There are no faults at the end of a run.
func (t *coordinationTable) faultOccurs(n int) bool { return !t.stopping && t.oneIn(n) }

// commandMark is the first byte of an encoded command. The first byte of an encoded operation is 0.
const commandMark = 0xC0

// encodeCommand stores a command and returns its encoding as an entry of the chain: commandMark and its index.
func (t *coordinationTable) encodeCommand(command coordination.Command) ([]byte, error) {
	t.commands = append(t.commands, command)
	return binary.BigEndian.AppendUint64([]byte{commandMark}, uint64(len(t.commands)-1)), nil
}

// apply is chain.Config.Apply. It applies a command of the coordination service or an operator's operation.
func (sim *Simulation) apply(value any, encoded []byte) any {
	if encoded[0] != commandMark {
		return apply(value, encoded)
	}
	command := sim.coordination.commands[binary.BigEndian.Uint64(encoded[1:])]
	next := value.(log)
	next.coordination, _, _ = coordinationOf(value).Execute(command)
	return next
}

// coordinationOf returns the state of the coordination service in a replicated value.
func coordinationOf(value any) *coordination.State {
	if state := value.(log).coordination; state != nil {
		return state
	}
	return coordination.Empty()
}
