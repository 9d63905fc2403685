package coordination

import (
	"slices"

	"dykering/internal/errkind"
)

// model is a simple reference implementation of State for the property tests. It has no bounds and keeps every put.
type model struct {
	lastToken uint64
	locks     map[string]modelLock
	numbers   map[string]uint64
	puts      map[string][]Event // by group, from revision 1 on
	floors    map[string]uint64  // by group
}

type modelLock struct {
	holder        string
	tokens        []uint64 // all tokens that the holder was given since it acquired the lock
	longestHoldMs int64
}

func newModel() *model {
	return &model{
		locks: map[string]modelLock{}, numbers: map[string]uint64{}, puts: map[string][]Event{}, floors: map[string]uint64{},
	}
}

// execute returns the result of a command and the kind of its rejection.
func (m *model) execute(command Command) (result Result, kind errkind.Kind, rejected bool) {
	switch command.Operation {
	case BeginLock:
		return m.begin(command)
	case RenewLock:
		lock, held := m.locks[command.Name]
		if !held || lock.holder != command.Holder || !slices.Contains(lock.tokensBetween(), command.Token) {
			return Result{}, errkind.LockLost, true
		}
		lock.longestHoldMs = max(lock.longestHoldMs, command.HoldMs)
		m.locks[command.Name] = lock
	case FinishLock:
		lock, held := m.locks[command.Name]
		if held && lock.holder == command.Holder && lock.latestToken() == command.Token {
			delete(m.locks, command.Name)
		}
	case NextNumber:
		m.numbers[command.Name]++
		return Result{Number: m.numbers[command.Name]}, 0, false
	case PutCell:
		return m.put(command)
	case Compact:
		m.compact(command)
	}
	return Result{}, 0, false
}

func (l modelLock) latestToken() uint64 { return l.tokens[len(l.tokens)-1] }

// tokensBetween returns all tokens from the first to the latest one. Tokens in between were issued for other locks or to this
// holder.
func (l modelLock) tokensBetween() (tokens []uint64) {
	for token := l.tokens[0]; token <= l.latestToken(); token++ {
		tokens = append(tokens, token)
	}
	return tokens
}

func (m *model) begin(command Command) (Result, errkind.Kind, bool) {
	lock, held := m.locks[command.Name]
	isExpired := held && lock.latestToken() == command.ExpiredToken
	if held && !isExpired && lock.holder != command.Holder {
		return Result{}, errkind.LockHeld, true
	}
	if !held || isExpired {
		lock = modelLock{holder: command.Holder}
	}
	m.lastToken++
	lock.tokens = append(slices.Clone(lock.tokens), m.lastToken)
	lock.longestHoldMs = max(lock.longestHoldMs, command.HoldMs)
	m.locks[command.Name] = lock
	return Result{Token: m.lastToken}, 0, false
}

// cell returns the latest put of a cell. If there is none, the result has revision 0.
func (m *model) cell(name string) (latest Event) {
	for _, event := range m.puts[GroupOf(name)] {
		if event.Name == name {
			latest = event
		}
	}
	return latest
}

func (m *model) put(command Command) (Result, errkind.Kind, bool) {
	group := GroupOf(command.Name)
	current := m.cell(command.Name)
	for _, event := range slices.Backward(m.puts[group]) {
		isKnown := event.Revision > m.floors[group] || event == current
		if isKnown && event.Name == command.Name && event.Value == command.Value {
			return Result{Revision: event.Revision}, 0, false
		}
	}
	if command.Conditional && command.IfRevision != current.Revision {
		return Result{Revision: current.Revision}, errkind.RevisionConflict, true
	}
	revision := uint64(len(m.puts[group])) + 1
	m.puts[group] = append(m.puts[group], Event{Name: command.Name, Value: command.Value, Revision: revision})
	return Result{Revision: revision}, 0, false
}

func (m *model) compact(command Command) {
	for group, floor := range command.Floors {
		m.floors[group] = max(m.floors[group], min(floor, uint64(len(m.puts[group]))))
	}
	for name, token := range command.ExpiredHolds {
		if lock, held := m.locks[name]; held && lock.latestToken() == token {
			delete(m.locks, name)
		}
	}
}
