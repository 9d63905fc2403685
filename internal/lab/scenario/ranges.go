package scenario

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Span is a number or a range of numbers, as 3 or "2..4".
type Span struct{ From, To float64 }

// UnmarshalText reads it.
func (s *Span) UnmarshalText(text []byte) error {
	from, to, ranged := strings.Cut(string(text), "..")
	if !ranged {
		to = from
	}
	a, err := strconv.ParseFloat(from, 64)
	b, fault := strconv.ParseFloat(to, 64)
	if err != nil || fault != nil || !(a >= 0 && a <= b && b <= 1e12) {
		return fmt.Errorf("%q is not a number or a range, as \"2..4\"", text)
	}
	s.From, s.To = a, b
	return nil
}

// MarshalText writes it.
func (s Span) MarshalText() ([]byte, error) {
	if s.From == s.To {
		return fmt.Append(nil, s.From), nil
	}
	return fmt.Appendf(nil, "%v..%v", s.From, s.To), nil
}

// Draw takes a value of it.
func (s Span) Draw(r *rand.Rand) float64 { return s.From + (s.To-s.From)*r.Float64() }

// Times is a time or a range of times, as "2s" or "1ms..5ms".
type Times struct{ From, To time.Duration }

// UnmarshalText reads it.
func (t *Times) UnmarshalText(text []byte) error {
	from, to, ranged := strings.Cut(string(text), "..")
	if !ranged {
		to = from
	}
	a, err := time.ParseDuration(from)
	b, fault := time.ParseDuration(to)
	if err != nil || fault != nil || !(a >= 0 && a <= b) {
		return fmt.Errorf("%q is not a time or a range, as \"1ms..5ms\"", text)
	}
	t.From, t.To = a, b
	return nil
}

// MarshalText writes it.
func (t Times) MarshalText() ([]byte, error) {
	if t.From == t.To {
		return []byte(t.From.String()), nil
	}
	return fmt.Appendf(nil, "%v..%v", t.From, t.To), nil
}

// Draw takes a time of it.
func (t Times) Draw(r *rand.Rand) time.Duration {
	return t.From + time.Duration(float64(t.To-t.From)*r.Float64())
}
