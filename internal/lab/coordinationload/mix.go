package coordinationload

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Kind is a kind of operation. A lock is taken and given back, which are two calls.
type Kind string

// The kinds of operation of a mix.
const (
	Puts    Kind = "puts"
	Reads   Kind = "reads"
	Locks   Kind = "locks"
	Numbers Kind = "numbers"
)

// Mix has the weight of each kind of operation, in the order in which they were written.
type Mix []Weight

// Weight is how often a kind of operation is drawn, relative to the others.
type Weight struct {
	Kind  Kind
	Value float64
}

// ParseMix reads a mix such as "puts=4,reads=4,locks=1,numbers=1". A kind that is left out is not drawn.
func ParseMix(text string) (Mix, error) {
	var mix Mix
	seen := map[Kind]bool{}
	sum := 0.0
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || !(value >= 0 && value <= 1e6) {
			return nil, errors.Errorf("mix %q: %q needs a weight from 0 to 1,000,000", text, part)
		}
		kind := Kind(name)
		switch kind {
		case Puts, Reads, Locks, Numbers:
		default:
			return nil, errors.Errorf("mix %q: %q is not puts, reads, locks or numbers", text, name)
		}
		if seen[kind] {
			return nil, errors.Errorf("mix %q: %s twice", text, name)
		}
		seen[kind] = true
		sum += value
		mix = append(mix, Weight{kind, value})
	}
	if sum == 0 {
		return nil, errors.Errorf("mix %q: all weights are 0", text)
	}
	return mix, nil
}

// draw returns a kind of operation by its weight.
func (m Mix) draw(random *rand.Rand) Kind {
	sum := 0.0
	for _, weight := range m {
		sum += weight.Value
	}
	rest := random.Float64() * sum
	for _, weight := range m {
		if rest < weight.Value {
			return weight.Kind
		}
		rest -= weight.Value
	}
	return m[0].Kind
}
