package controlplane

import (
	"time"

	"dykering/internal/feed"
)

const (
	// shareEvery is the time between two words to peers of the calls of the sidecars here.
	shareEvery = 200 * time.Millisecond
	// shareFor is how long a peer's word counts.
	shareFor = time.Second
	// loadsEvery is the least time between two words to sidecars of all calls.
	loadsEvery = 250 * time.Millisecond
	// loadBytes is what the word of one endpoint takes, loadRate what a sidecar may be sent of it in a second: with many
	// endpoints it is sent less often.
	loadBytes = 18
	loadRate  = 4000
)

// loadTable is the calls to endpoints, by the sidecars that make them. The owner of the process owns it.
type loadTable struct {
	sidecars map[string][]feed.EndpointLoad
	peers    map[string]peerLoads
	shareAt  time.Duration
	shared   bool // the last word to peers told of calls
	dueAt    time.Duration
}

type peerLoads struct {
	loads []feed.EndpointLoad
	at    time.Duration
}

func newLoadTable() *loadTable {
	return &loadTable{sidecars: map[string][]feed.EndpointLoad{}, peers: map[string]peerLoads{}}
}

// report takes a sidecar's calls, in the place of those it told before.
func (t *loadTable) report(name string, loads []feed.EndpointLoad) {
	if len(loads) == 0 {
		delete(t.sidecars, name)
		return
	}
	t.sidecars[name] = loads
}

// share takes a peer's word of the sidecars that follow a stream there.
func (t *loadTable) share(now time.Duration, m feed.LoadShare) {
	t.peers[m.From] = peerLoads{loads: m.Loads, at: now}
}

// here sums the calls of the sidecars that follow a stream here.
func (t *loadTable) here() map[string]feed.EndpointLoad {
	sums := map[string]feed.EndpointLoad{}
	for _, loads := range t.sidecars {
		addLoads(sums, loads)
	}
	return sums
}

func addLoads(sums map[string]feed.EndpointLoad, loads []feed.EndpointLoad) {
	for _, load := range loads {
		sum := sums[load.ID]
		sums[load.ID] = feed.EndpointLoad{ID: load.ID, InFlight: sum.InFlight + load.InFlight, Waiting: sum.Waiting + load.Waiting}
	}
}

func listed(sums map[string]feed.EndpointLoad) []feed.EndpointLoad {
	loads := make([]feed.EndpointLoad, 0, len(sums))
	for _, load := range sums {
		loads = append(loads, load)
	}
	return loads
}

// due gives the calls of all sidecars, where it is time to tell them.
func (t *loadTable) due(now time.Duration) ([]feed.EndpointLoad, bool) {
	if now < t.dueAt {
		return nil, false
	}
	sums := t.here()
	for from, peer := range t.peers {
		if now-peer.at > shareFor {
			delete(t.peers, from)
			continue
		}
		addLoads(sums, peer.loads)
	}
	pause := time.Duration(len(sums)) * loadBytes * time.Second / loadRate
	t.dueAt = now + max(loadsEvery, pause)
	return listed(sums), true
}

// shareLoads tells peers of the calls of the sidecars here.
func (p *Process) shareLoads(now time.Duration) {
	t := p.loads
	if now < t.shareAt {
		return
	}
	t.shareAt = now + shareEvery
	loads := listed(t.here())
	if len(loads) == 0 && !t.shared {
		return
	}
	t.shared = len(loads) > 0
	for _, peer := range p.peers() {
		p.send(peer, feed.LoadShare{From: p.node.Self().Address, Loads: loads})
	}
}
