package dataplane

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"dykering/internal/protocol"
)

// A proxy moves its stream from a control process of another zone to one of its own zone, to keep the traffic within the zone.
const (
	// minRemoteStreamDuration is how long a stream from another zone is kept at first before the proxy tries to move it. The time
	// doubles with each move after which no control process of the proxy's zone served a stream.
	minRemoteStreamDuration = 3 * time.Second
	// maxRemoteStreamDuration bounds the doubled time.
	maxRemoteStreamDuration = 2 * time.Minute
	// maxControlProcesses bounds the known control processes.
	maxControlProcesses = 64
)

// controlProcesses is the list of control processes that the proxy may subscribe to. Only the goroutine of followUpdates uses it.
type controlProcesses struct {
	zone                 string // zone of this proxy
	known                []protocol.ControlProcess
	failures             map[string]int // failed attempts by address since a stream was served last
	remoteStreamDuration time.Duration  // mean time that the next stream from another zone is kept
}

// newControlProcesses returns a list of the seeds from the settings. Their zones are unknown until a control process sends its
// list.
func newControlProcesses(zone string, seeds []string) *controlProcesses {
	return &controlProcesses{zone: zone, known: withUnknownZone(seeds), failures: map[string]int{}, remoteStreamDuration: minRemoteStreamDuration}
}

func withUnknownZone(addresses []string) []protocol.ControlProcess {
	return lo.Map(addresses, func(address string, _ int) protocol.ControlProcess {
		return protocol.ControlProcess{Address: address}
	})
}

// dialOrder returns the control processes in the order in which to try them: those with the fewest failures first, of these the ones
// of the proxy's zone, and all others in random order.
func (c *controlProcesses) dialOrder() []protocol.ControlProcess {
	order := slices.Clone(c.known)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	distance := func(process protocol.ControlProcess) int { return lo.Ternary(c.isLocal(process), 0, 1) }
	slices.SortStableFunc(order, func(a, b protocol.ControlProcess) int {
		return cmp.Or(c.failures[a.Address]-c.failures[b.Address], distance(a)-distance(b))
	})
	return order
}

// attemptFailed records that a control process served no stream. A refusal names the control processes that it knows, which may no
// longer be the right ones.
func (c *controlProcesses) attemptFailed(address string, members []protocol.ControlProcess) {
	c.failures[address]++
	c.add(members)
}

// streamServed forgets the failures, since the control process that serves names the others.
func (c *controlProcesses) streamServed() { clear(c.failures) }

// isLocal reports whether a control process is known to be in the proxy's zone.
func (c *controlProcesses) isLocal(process protocol.ControlProcess) bool {
	return process.Zone != "" && process.Zone == c.zone
}

// replaceKnown replaces the known control processes by a list from a control process. An empty list changes nothing.
func (c *controlProcesses) replaceKnown(named []protocol.ControlProcess) {
	if len(named) > 0 {
		c.known = named[:min(len(named), maxControlProcesses)]
	}
}

// addSeeds adds the seeds that are not in the list yet.
func (c *controlProcesses) addSeeds(seeds []string) { c.add(withUnknownZone(seeds)) }

// add adds the processes that are not in the list yet, up to maxControlProcesses.
func (c *controlProcesses) add(processes []protocol.ControlProcess) {
	for _, process := range processes {
		isSame := func(other protocol.ControlProcess) bool { return other.Address == process.Address }
		if !slices.ContainsFunc(c.known, isSame) && len(c.known) < maxControlProcesses {
			c.known = append(c.known, process)
		}
	}
}

// isLocalAddress reports whether a control process of the proxy's zone has the address.
func (c *controlProcesses) isLocalAddress(address string) bool {
	return slices.ContainsFunc(c.known, func(process protocol.ControlProcess) bool {
		return process.Address == address && c.isLocal(process)
	})
}

// prefersLocal reports whether a stream from an address should move to a control process of the proxy's zone. The caller checks
// that the stream has lasted for remoteStreamDuration.
func (c *controlProcesses) prefersLocal(address string) bool {
	return slices.ContainsFunc(c.known, c.isLocal) && !c.isLocalAddress(address)
}

// streamEnded records the end of a stream from an address. A process that fell silent is tried after the others. If the proxy ended
// the stream in order to move to its own zone, the next stream from another zone is kept for twice as long, in case no control process
// of the proxy's zone serves. A stream from the proxy's zone resets the duration.
func (c *controlProcesses) streamEnded(address string, end streamEnd) {
	if end == streamSilent {
		c.failures[address]++
	}
	switch {
	case c.isLocalAddress(address):
		c.remoteStreamDuration = minRemoteStreamDuration
	case end == streamMoved:
		c.remoteStreamDuration = min(2*c.remoteStreamDuration, maxRemoteStreamDuration)
	}
}
