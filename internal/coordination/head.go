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
	// CompactionInterval is the time between two looks at what is old enough to be dropped.
	CompactionInterval time.Duration
	// ExpiredHoldGrace is how long a hold that is over is kept before it is dropped.
	ExpiredHoldGrace time.Duration
	// StateOf returns the state of the coordination service in a value of the chain.
	StateOf func(value any) *State
	// Encode returns the form of a command in the log of the chain.
	Encode func(Command) ([]byte, error)
}

// Head is what a member needs to decide on commands while it is the head of the chain. It is volatile, and belongs to one
// incarnation of one member. At other members it means nothing.
type Head struct {
	config        HeadConfig
	holds         *HoldTimers
	retention     *Retention
	compactionDue time.Duration
}

// NewHead returns the head's part of a member that starts now.
func NewHead(now time.Duration, config HeadConfig) *Head {
	return &Head{
		config:    config,
		holds:     NewHoldTimers(now, config.HoldMargin),
		retention: NewRetention(config.HistoryKept),
	}
}

// ViewInstalled forgets when holds end. It must be called whenever a view is installed, as another head may have renewed
// holds before.
func (h *Head) ViewInstalled(now time.Duration) { h.holds.Reset(now) }

// Write returns the request to the chain that executes a command. Respond is called once, with the result and nil or an
// *errkind.Error:
//
//   - that of the rejection,
//   - errkind.OutcomeUnknown if the command may have been executed, or may still be,
//   - errkind.NotReady if it has not been executed and never will be.
func (h *Head) Write(now time.Duration, command Command, respond func(Result, error)) chain.Write {
	var result Result
	var finished Lock // by the command; without a token if it finishes none
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

// decide returns what the head does with a command in its latest state. A hold that is over is named in the operation, so that
// all members replace the same one.
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

// expiredToken returns the token of the hold of a lock if it is over, and 0 otherwise.
func (h *Head) expiredToken(now time.Duration, latest *State, name string) uint64 {
	if lock, held := latest.Lock(name); held && h.holds.IsOver(now, name, lock) {
		return lock.Token
	}
	return 0
}

// extendHold notes how long the holder of a lock may count on it after a command that takes or renews it. The caller has sent
// the command before now.
func (h *Head) extendHold(now time.Duration, next *State, command Command) {
	if command.Operation != BeginLock && command.Operation != RenewLock {
		return
	}
	if lock, held := next.Lock(command.Name); held {
		h.holds.Extend(now, command.Name, lock, time.Duration(command.HoldMs)*time.Millisecond)
	}
}

// HoldEndsAt returns when another holder can have a lock that is held in the head's latest state.
func (h *Head) HoldEndsAt(name string, lock Lock) time.Duration { return h.holds.endsAt(name, lock) }

// classify returns an error of the chain as the caller of a command sees it. The outcome of an accepted command without a clear
// end is unknown, also where it changed nothing: it may repeat one that has been executed.
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

// Compaction returns the command that drops the history and the holds that are old enough, given the committed state of the
// chain; ok is false if nothing is to be dropped. It is called at an interval while this member is the head of a confirmed
// view; Pause is called otherwise.
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

// Pause forgets the ages of the history: this member is not the head of a confirmed view.
func (h *Head) Pause() { h.retention.Reset() }
