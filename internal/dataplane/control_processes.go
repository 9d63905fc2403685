package dataplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
)

// How long a stream from another zone is kept where the own zone has a control process, so that bytes stay in the zone.
const (
	// minRemoteStreamDuration is the first time. It doubles with each move after which none of the own zone has served. Half or
	// double: not measured.
	minRemoteStreamDuration = 3 * time.Second
	// maxRemoteStreamDuration bounds it.
	maxRemoteStreamDuration = 2 * time.Minute
	// maxControlProcesses bounds how many control processes are known.
	maxControlProcesses = 64
)

// controlProcesses are those from which updates can be streamed. It belongs to the goroutine that follows updates.
type controlProcesses struct {
	zone                 string // the own one
	known                []protocol.ControlProcess
	remoteStreamDuration time.Duration
}

// newControlProcesses starts with the seeds of the settings, whose zones are not known.
func newControlProcesses(zone string, seeds []string) *controlProcesses {
	return &controlProcesses{zone: zone, known: withUnknownZone(seeds), remoteStreamDuration: minRemoteStreamDuration}
}

func withUnknownZone(addresses []string) []protocol.ControlProcess {
	return lo.Map(addresses, func(address string, _ int) protocol.ControlProcess {
		return protocol.ControlProcess{Address: address}
	})
}

// dialOrder lists them in the order in which they are tried: those of the own zone first, each group shuffled.
func (c *controlProcesses) dialOrder() []protocol.ControlProcess {
	order := slices.Clone(c.known)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	distance := func(process protocol.ControlProcess) int { return lo.Ternary(c.isLocal(process), 0, 1) }
	slices.SortStableFunc(order, func(a, b protocol.ControlProcess) int { return distance(a) - distance(b) })
	return order
}

// isLocal reports whether a control process is in the own zone, as far as its zone is known.
func (c *controlProcesses) isLocal(process protocol.ControlProcess) bool {
	return process.Zone != "" && process.Zone == c.zone
}

// replaceKnown takes the list that a control process has sent; an empty one changes nothing.
func (c *controlProcesses) replaceKnown(named []protocol.ControlProcess) {
	if len(named) > 0 {
		c.known = named[:min(len(named), maxControlProcesses)]
	}
}

// addSeeds adds the seeds that are not known.
func (c *controlProcesses) addSeeds(seeds []string) {
	for _, seed := range withUnknownZone(seeds) {
		isSame := func(other protocol.ControlProcess) bool { return other.Address == seed.Address }
		if !slices.ContainsFunc(c.known, isSame) && len(c.known) < maxControlProcesses {
			c.known = append(c.known, seed)
		}
	}
}

// isLocalAddress reports whether an address is that of a control process of the own zone.
func (c *controlProcesses) isLocalAddress(address string) bool {
	return slices.ContainsFunc(c.known, func(process protocol.ControlProcess) bool {
		return process.Address == address && c.isLocal(process)
	})
}

// prefersLocal reports whether a stream from an address is to be moved to the own zone, once it has lasted long enough.
func (c *controlProcesses) prefersLocal(address string) bool {
	return slices.ContainsFunc(c.known, c.isLocal) && !c.isLocalAddress(address)
}

// streamEnded notes that a stream from an address has ended. After one that was moved to the own zone the next one from
// another zone is kept for longer, in case none of the own zone serves.
func (c *controlProcesses) streamEnded(address string, moved bool) {
	switch {
	case c.isLocalAddress(address):
		c.remoteStreamDuration = minRemoteStreamDuration
	case moved:
		c.remoteStreamDuration = min(2*c.remoteStreamDuration, maxRemoteStreamDuration)
	}
}
