package coordination

import (
	"time"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/errkind"
)

// HeadConfig configures a Head.
type HeadConfig struct {
	// HoldMargin is added to the time of each hold.
	HoldMargin time.Duration
	// HistoryKept is how long the puts of a group are kept for watches.
	HistoryKept time.Duration
	// CompactionInterval is the time between two compactions of the state.
	CompactionInterval time.Duration
	// ExpiredHoldGrace is how long an expired hold is kept before a compaction drops it.
	ExpiredHoldGrace time.Duration
	// StateOf returns the state of the coordination service in a value of the chain.
	StateOf func(value any) *State
	// Encode returns a command as an operation for the log of the chain.
	Encode func(Command) ([]byte, error)
}

// Head evaluates commands while a member is the head of the chain. It is volatile and belongs to one incarnation of one member.
// At other members it has no meaning.
type Head struct {
	config        HeadConfig
	holds         *HoldTimers
	retention     *Retention
	compactionDue time.Duration
}

// NewHead returns the Head of a member that starts now.
func NewHead(now time.Duration, config HeadConfig) *Head {
	return &Head{
		config:    config,
		holds:     NewHoldTimers(now, config.HoldMargin),
		retention: NewRetention(config.HistoryKept),
	}
}

// ViewInstalled drops all timers of holds. The caller must call it whenever a view is installed, as another head may have
// renewed holds before.
func (h *Head) ViewInstalled(now time.Duration) { h.holds.Reset(now) }

// Write returns the request to the chain that executes a command. The request calls respond once, with the result and nil, or
// with an *errkind.Error:
//
//   - the rejection of the command,
//   - errkind.OutcomeUnknown if the command may have been executed or may still be executed,
//   - errkind.NotReady if the command was not executed and never will be.
func (h *Head) Write(now time.Duration, command Command, respond func(Result, error)) chain.Write {
	var result Result
	var finished Lock // the hold that the command finishes; the zero value if there is none
	accepted := false
	return chain.Write{
		Decide: func(latest any) chain.Decision {
			state := h.config.StateOf(latest)
			var decision chain.Decision
			decision, result = h.decide(now, state, command)
			accepted = decision.Rejection == nil
			if command.Operation == FinishLock && decision.Operation != nil {
				finished, _ = state.Lock(command.Name)
			}
			return decision
		},
		Respond: func(err error) {
			if err == nil {
				h.holds.Forget(command.Name, finished)
			}
			respond(result, classify(err, accepted))
		},
	}
}

// decide evaluates a command in the head's latest state. It puts the token of an expired hold into the command, so that all
// members replace the same hold.
func (h *Head) decide(now time.Duration, latest *State, command Command) (chain.Decision, Result) {
	if command.Operation == BeginLock {
		command.ExpiredToken = h.expiredToken(now, latest, command.Name)
	}
	next, result, rejection := latest.Execute(command)
	if rejection != nil {
		return chain.Decision{Rejection: rejection}, result
	}
	h.extendHold(now, next, command)
	if next == latest {
		return chain.Decision{Unchanged: true}, result
	}
	operation, err := h.config.Encode(command)
	if err != nil {
		return chain.Decision{Rejection: err}, result
	}
	return chain.Decision{Operation: operation}, result
}

// expiredToken returns the token of a lock's hold if the hold has expired, and 0 otherwise.
func (h *Head) expiredToken(now time.Duration, latest *State, name string) uint64 {
	if lock, held := latest.Lock(name); held && h.holds.IsExpired(now, name, lock) {
		return lock.Token
	}
	return 0
}

// extendHold extends the timer of a lock after a command that acquires or renews the lock. The hold is counted from now, which
// is later than the time at which the caller sent the command.
func (h *Head) extendHold(now time.Duration, next *State, command Command) {
	if command.Operation != BeginLock && command.Operation != RenewLock {
		return
	}
	if lock, held := next.Lock(command.Name); held {
		h.holds.Extend(now, command.Name, lock, time.Duration(command.HoldMs)*time.Millisecond)
	}
}

// HoldEndsAt returns when the hold of a lock in the head's latest state ends, so that another caller can acquire the lock.
func (h *Head) HoldEndsAt(name string, lock Lock) time.Duration { return h.holds.endsAt(name, lock) }

// classify converts an error of the chain to the error for the caller of a command. If an accepted command was not confirmed,
// its outcome is unknown, even if it changed nothing: it may be the repetition of a command that was executed.
func classify(err error, accepted bool) error {
	var classified *errkind.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &classified):
		return classified
	case accepted && !errors.Is(err, chain.ErrNotWritable):
		return errkind.New(errkind.OutcomeUnknown, err.Error())
	}
	return errkind.New(errkind.NotReady, err.Error())
}

// Compaction returns the command that drops old history and expired holds, given the committed value of the chain. If there is
// nothing to drop, or HeadConfig.CompactionInterval has not passed, ok is false. The caller calls Compaction regularly while
// this member is the head of a confirmed view, and Pause otherwise.
func (h *Head) Compaction(now time.Duration, committed any) (command Command, ok bool) {
	if now < h.compactionDue {
		return Command{}, false
	}
	h.compactionDue = now + h.config.CompactionInterval
	state := h.config.StateOf(committed)
	command = Command{
		Operation:    Compact,
		Floors:       h.retention.Sample(now, state),
		ExpiredHolds: h.holds.Expired(now, state, h.config.ExpiredHoldGrace),
	}
	return command, len(command.Floors) > 0 || len(command.ExpiredHolds) > 0
}

// Pause drops the recorded ages of the history. The caller calls it while this member is not the head of a confirmed view.
func (h *Head) Pause() { h.retention.Reset() }
