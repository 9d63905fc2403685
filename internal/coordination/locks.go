package coordination

import (
	"dykering/internal/errkind"
)

// Lock is a lock that is held. Its field names are fixed: it is stored with gob.
type Lock struct {
	Holder string
	// FirstToken is the token with which the holder took the lock, and Token the latest one, as each further begin of the
	// holder gets another token. In between lie those of begins whose answers may have been lost. Only a finish with the
	// latest one gives the lock back: one with an earlier token may be a late one of the holder's earlier incarnation.
	FirstToken, Token uint64
	// HoldMs is the longest time, in milliseconds, for which the holder has asked since it took the lock.
	HoldMs int64
}

// Lock returns the hold of a lock; ok is false if nobody holds it. The hold may be over.
func (s *State) Lock(name string) (lock Lock, ok bool) { return s.locks.Get(name) }

// IsHeldBy reports whether a holder has the lock under a token that it was given.
func (l Lock) IsHeldBy(holder string, token uint64) bool {
	return l.Holder == holder && l.FirstToken <= token && token <= l.Token
}

func (s *State) beginLock(command Command) (*State, Result, error) {
	current, held := s.locks.Get(command.Name)
	isOver := held && current.Token == command.ExpiredToken
	if held && !isOver && current.Holder != command.Holder {
		return s, Result{}, errkind.New(errkind.LockHeld, "")
	}
	size := 0
	if !held {
		size = entryOverheadBytes + len(command.Name) + MaxNameBytes
	}
	if err := s.reserve(size); err != nil {
		return s, Result{}, err
	}
	token := s.lastToken + 1
	lock := Lock{
		Holder:     command.Holder,
		FirstToken: token,
		Token:      token,
		HoldMs:     command.HoldMs,
	}
	if held && !isOver {
		lock.FirstToken = current.FirstToken
		lock.HoldMs = max(current.HoldMs, command.HoldMs)
	}
	next := *s
	next.lastToken = token
	next.locks = s.locks.Set(command.Name, lock)
	next.bytes += size
	return &next, Result{Token: token}, nil
}

func (s *State) renewLock(command Command) (*State, Result, error) {
	lock, held := s.locks.Get(command.Name)
	if !held || !lock.IsHeldBy(command.Holder, command.Token) {
		return s, Result{}, errkind.New(errkind.LockLost, "")
	}
	if lock.HoldMs >= command.HoldMs {
		return s, Result{}, nil
	}
	lock.HoldMs = command.HoldMs
	next := *s
	next.locks = s.locks.Set(command.Name, lock)
	return &next, Result{}, nil
}

func (s *State) finishLock(command Command) *State {
	lock, held := s.locks.Get(command.Name)
	if !held || lock.Holder != command.Holder || lock.Token != command.Token {
		return s
	}
	return s.withoutLock(command.Name)
}

// withoutLock returns the state without the hold of a lock.
func (s *State) withoutLock(name string) *State {
	next := *s
	next.locks = s.locks.Delete(name)
	next.bytes -= entryOverheadBytes + len(name) + MaxNameBytes
	return &next
}
