package coordination

import (
	"dykering/internal/errkind"
)

// Lock is the hold of a lock. It is stored with gob, so its field names are fixed.
type Lock struct {
	Holder string
	// FirstToken is the token with which the holder first acquired the lock. Token is the latest token, as each further begin
	// of the holder gets a new token. The tokens in between include those of begins whose answers may have been lost. Only a
	// finish with the latest token releases the lock: a finish with an earlier token may be a delayed call of an earlier
	// incarnation of the holder.
	FirstToken, Token uint64
	// HoldMs is the longest duration, in milliseconds, that the holder has requested since it first acquired the lock.
	HoldMs int64
}

// Lock returns the hold of a lock, which may have expired. If the lock is free, ok is false.
func (s *State) Lock(name string) (lock Lock, ok bool) { return s.locks.Get(name) }

// IsHeldBy reports whether the holder holds the lock, and the token lies between the first and the latest token of its hold.
func (l Lock) IsHeldBy(holder string, token uint64) bool {
	return l.Holder == holder && l.FirstToken <= token && token <= l.Token
}

func (s *State) beginLock(command Command) (*State, Result, error) {
	current, held := s.locks.Get(command.Name)
	isExpired := held && current.Token == command.ExpiredToken
	if held && !isExpired && current.Holder != command.Holder {
		return s, Result{}, errkind.New(errkind.LockHeld, "")
	}
	size := 0
	if !held {
		size = entryOverheadBytes + len(command.Name) + MaxNameBytes
	}
	if err := s.checkCapacity(size); err != nil {
		return s, Result{}, err
	}
	token := s.lastToken + 1
	lock := Lock{
		Holder:     command.Holder,
		FirstToken: token,
		Token:      token,
		HoldMs:     command.HoldMs,
	}
	if held && !isExpired {
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
