package coordination

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

func TestCoordination(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coordination")
}

// stateMachine executes commands and has the resulting state.
type stateMachine struct{ *State }

func newStateMachine() *stateMachine { return &stateMachine{Empty()} }

// try executes a command and returns its result, or the error if the command is rejected.
func (m *stateMachine) try(command Command) (Result, error) {
	next, result, err := m.Execute(command)
	m.State = next
	return result, err
}

// do executes a command and expects that it is not rejected.
func (m *stateMachine) do(command Command) Result {
	GinkgoHelper()
	result, err := m.try(command)
	Expect(err).NotTo(HaveOccurred())
	return result
}

// reject executes a command and expects that it is rejected with an error of a kind and leaves the state unchanged.
func (m *stateMachine) reject(command Command, kind errkind.Kind) Result {
	GinkgoHelper()
	before := m.State
	result, err := m.try(command)
	Expect(err).To(HaveOccurred())
	Expect(errkind.KindOf(err)).To(Equal(kind))
	Expect(m.State).To(BeIdenticalTo(before))
	return result
}

func (m *stateMachine) lock(name string) Lock {
	GinkgoHelper()
	lock, held := m.State.Lock(name)
	Expect(held).To(BeTrue())
	return lock
}

const holdMs = 3000

func begin(lock, holder string) Command {
	return Command{Operation: BeginLock, Name: lock, Holder: holder, HoldMs: holdMs}
}

// takeOver begins a lock in place of the expired hold with the given token.
func takeOver(lock, holder string, expired uint64) Command {
	command := begin(lock, holder)
	command.ExpiredToken = expired
	return command
}

func renew(lock, holder string, token uint64) Command {
	return Command{Operation: RenewLock, Name: lock, Holder: holder, Token: token, HoldMs: holdMs}
}

func finish(lock, holder string, token uint64) Command {
	return Command{Operation: FinishLock, Name: lock, Holder: holder, Token: token}
}

func next(number string) Command { return Command{Operation: NextNumber, Name: number} }

func put(cell, value string) Command { return Command{Operation: PutCell, Name: cell, Value: value} }

func putIf(cell, value string, revision uint64) Command {
	return Command{Operation: PutCell, Name: cell, Value: value, Conditional: true, IfRevision: revision}
}

func dropHistory(group string, floor uint64) Command {
	return Command{Operation: Compact, Floors: map[string]uint64{group: floor}}
}
