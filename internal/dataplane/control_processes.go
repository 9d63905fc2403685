package dataplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
)

const (
	// firstStay is how long a stream from another zone is kept where the own zone has a control sidecar. It doubles with
	// each time that none of the own zone served, up to mostStay.
	firstStay = 3 * time.Second
	mostStay  = 2 * time.Minute
	// mostControlSidecars bounds how many are known.
	mostControlSidecars = 64
)

// controlSidecars are those that streams may be had from, and how long a stream from another zone is kept.
type controlSidecars struct {
	zone  string // the own one
	known []protocol.ControlProcess
	stay  time.Duration
}

func newControlSidecars(zone string, seeds []string) *controlSidecars {
	return &controlSidecars{zone: zone, known: unknownZones(seeds), stay: firstStay}
}

func unknownZones(addresses []string) []protocol.ControlProcess {
	return lo.Map(addresses, func(address string, _ int) protocol.ControlProcess { return protocol.ControlProcess{Address: address} })
}

// inOrder lists them in the order in which they are tried: those of the own zone first, each group shuffled.
func (c *controlSidecars) inOrder() []protocol.ControlProcess {
	order := slices.Clone(c.known)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b protocol.ControlProcess) int { return c.distance(a) - c.distance(b) })
	return order
}

func (c *controlSidecars) distance(sidecar protocol.ControlProcess) int {
	return lo.Ternary(sidecar.Zone != "" && sidecar.Zone == c.zone, 0, 1)
}

// learn takes those that a control sidecar named.
func (c *controlSidecars) learn(named []protocol.ControlProcess) {
	if len(named) > 0 {
		c.known = named[:min(len(named), mostControlSidecars)]
	}
}

// add adds the seeds that are not known.
func (c *controlSidecars) add(seeds []string) {
	for _, seed := range unknownZones(seeds) {
		same := func(other protocol.ControlProcess) bool { return other.Address == seed.Address }
		if !slices.ContainsFunc(c.known, same) && len(c.known) < mostControlSidecars {
			c.known = append(c.known, seed)
		}
	}
}

// near tells whether an address is that of a control sidecar of the own zone.
func (c *controlSidecars) near(address string) bool {
	return slices.ContainsFunc(c.known, func(sidecar protocol.ControlProcess) bool {
		return sidecar.Address == address && c.distance(sidecar) == 0
	})
}

// moves tells whether a stream from an address that has lasted as long as it is kept is to be left for one of the own zone.
func (c *controlSidecars) moves(address string) bool {
	someNear := slices.ContainsFunc(c.known, func(sidecar protocol.ControlProcess) bool { return c.distance(sidecar) == 0 })
	return someNear && !c.near(address)
}

// ended notes that a stream from an address has ended. After one that was left for the own zone the next one from another
// zone is kept for longer, in case none of the own zone serves.
func (c *controlSidecars) ended(address string, left bool) {
	switch {
	case c.near(address):
		c.stay = firstStay
	case left:
		c.stay = min(2*c.stay, mostStay)
	}
}
