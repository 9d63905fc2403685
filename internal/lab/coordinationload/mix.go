package coordinationload

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Kind is a kind of operation. Locks acquires and releases a lock, which takes two calls.
type Kind string

// The kinds of operation of a mix.
const (
	Puts    Kind = "puts"
	Reads   Kind = "reads"
	Locks   Kind = "locks"
	Numbers Kind = "numbers"
)

// Mix lists the weights of the kinds of operation, in the order of its text.
type Mix []Weight

// Weight is the relative frequency of a kind of operation.
type Weight struct {
	Kind  Kind
	Value float64
}

// ParseMix parses a mix such as "puts=4,reads=4,locks=1,numbers=1". A missing kind has the weight 0.
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
			return nil, errors.Errorf("mix %q: %s is given twice", text, name)
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

// draw returns a random kind of operation, with probabilities proportional to the weights.
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
