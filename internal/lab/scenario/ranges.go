package scenario

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Range is a number or a range of numbers, for example 3 or "2..4".
type Range struct{ From, To float64 }

// UnmarshalText parses a number or a range.
func (s *Range) UnmarshalText(text []byte) error {
	from, to, ranged := strings.Cut(string(text), "..")
	if !ranged {
		to = from
	}
	a, err := strconv.ParseFloat(from, 64)
	b, errTo := strconv.ParseFloat(to, 64)
	if err != nil || errTo != nil || !(a >= 0 && a <= b && b <= 1e12) {
		return fmt.Errorf("%q is not a number or a range such as \"2..4\"", text)
	}
	s.From, s.To = a, b
	return nil
}

// MarshalText formats a number or a range.
func (s Range) MarshalText() ([]byte, error) {
	if s.From == s.To {
		return fmt.Append(nil, s.From), nil
	}
	return fmt.Appendf(nil, "%v..%v", s.From, s.To), nil
}

// Draw draws a value from the range with a uniform distribution.
func (s Range) Draw(r *rand.Rand) float64 { return s.From + (s.To-s.From)*r.Float64() }

// DurationRange is a duration or a range of durations, for example "2s" or "1ms..5ms".
type DurationRange struct{ From, To time.Duration }

// UnmarshalText parses a duration or a range.
func (t *DurationRange) UnmarshalText(text []byte) error {
	from, to, ranged := strings.Cut(string(text), "..")
	if !ranged {
		to = from
	}
	a, err := time.ParseDuration(from)
	b, errTo := time.ParseDuration(to)
	if err != nil || errTo != nil || !(a >= 0 && a <= b) {
		return fmt.Errorf("%q is not a duration or a range such as \"1ms..5ms\"", text)
	}
	t.From, t.To = a, b
	return nil
}

// MarshalText formats a duration or a range.
func (t DurationRange) MarshalText() ([]byte, error) {
	if t.From == t.To {
		return []byte(t.From.String()), nil
	}
	return fmt.Appendf(nil, "%v..%v", t.From, t.To), nil
}

// Draw draws a duration from the range with a uniform distribution.
func (t DurationRange) Draw(r *rand.Rand) time.Duration {
	return t.From + time.Duration(float64(t.To-t.From)*r.Float64())
}
