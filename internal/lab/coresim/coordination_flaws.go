package coresim

import (
	"fmt"
	"slices"
	"strings"

	"dykering/internal/coordination"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

// flawedCoordination applies the planted flaws of the coordination service in one process.
type flawedCoordination struct {
	m *machine
	// tokens and numbers count the values that this process has handed out.
	tokens  uint64
	numbers map[string]uint64
	puts    int
}

func newFlawedCoordination(m *machine) flawedCoordination {
	return flawedCoordination{m: m, numbers: map[string]uint64{}}
}

// putMark separates the value of a put from a suffix that makes a repeated put look like a new one.
const putMark = "#"

// command returns the command that a head with the flaw executes in place of a received one.
func (f *flawedCoordination) command(command coordination.Command) coordination.Command {
	switch f.m.sim.options.Flaw {
	case FinishAnyToken:
		lock, held := coordinationOf(f.m.node.LatestState().Value).Lock(command.Name)
		if command.Operation == coordination.FinishLock && held && lock.Holder == command.Holder {
			command.Token = lock.Token
		}
	case RepeatedPutIsNew:
		if command.Operation == coordination.PutCell {
			f.puts++
			command.Value = fmt.Sprintf("%s%s%s/%d/%d", command.Value, putMark, f.m.address, f.m.incarnation, f.puts)
		}
	}
	return command
}

// earlyReply returns the reply that a head with the flaw sends before a majority has confirmed it. Ok is false if there is
// none.
func (f *flawedCoordination) earlyReply(command coordination.Command) (reply protocol.Reply, ok bool) {
	isRenewal := command.Operation == coordination.RenewLock
	if f.m.sim.options.Flaw != RenewUnconfirmed || !isRenewal || !f.m.node.IsHead() {
		return protocol.Reply{}, false
	}
	_, result, err := coordinationOf(f.m.node.LatestState().Value).Execute(command)
	return coordinationReply(result, err), err == nil
}

// reply returns the reply that a head with the flaw sends for a result and an error.
func (f *flawedCoordination) reply(command coordination.Command, result coordination.Result, err error) protocol.Reply {
	flaw := f.m.sim.options.Flaw
	switch {
	case flaw == TokensPerIncarnation && err == nil && command.Operation == coordination.BeginLock:
		f.tokens++
		result.Token = f.tokens
	case flaw == NumbersPerIncarnation && err == nil && command.Operation == coordination.NextNumber:
		f.numbers[command.Name]++
		result.Number = f.numbers[command.Name]
	case flaw == UnknownAsNotExecuted && errkind.KindOf(err) == errkind.OutcomeUnknown:
		err = errkind.New(errkind.NotReady, "")
	}
	return coordinationReply(result, err)
}

// events returns the events that a process with the flaw sends to a watch, without putMark and its suffix.
func (f *flawedCoordination) events(events []coordination.Event) []coordination.Event {
	if f.m.sim.options.Flaw == WatchSkipsEvent && len(events) > 1 {
		events = events[1:]
	}
	events = slices.Clone(events)
	for i := range events {
		events[i].Value = withoutPutMark(events[i].Value)
	}
	return events
}

// withoutPutMark returns a value without putMark and its suffix.
func withoutPutMark(value string) string {
	original, _, _ := strings.Cut(value, putMark)
	return original
}
