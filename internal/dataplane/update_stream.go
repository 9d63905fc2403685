package dataplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/routing"
)

const (
	dialWithin  = 300 * time.Millisecond
	sendWithin  = time.Second
	firstPause  = 30 * time.Millisecond
	mostPause   = 300 * time.Millisecond
	rereadEvery = 8 // failed rounds before the settings file is read again
)

// follow keeps a stream of updates from a control sidecar.
func (p *Process) follow() {
	sidecars := newControlSidecars(p.settings.Zone, p.settings.SeedInternalAddresses())
	pause, failures := firstPause, 0
	for p.ctx.Err() == nil {
		served := slices.ContainsFunc(sidecars.inOrder(), func(sidecar protocol.ControlProcess) bool {
			return p.stream(sidecar.Address, sidecars)
		})
		if served {
			pause, failures = firstPause, 0
			continue
		}
		failures++
		if failures%rereadEvery == 0 {
			sidecars.add(p.seedsNow())
		}
		time.Sleep(pause/2 + rand.N(pause))
		pause = min(2*pause, mostPause)
	}
}

// seedsNow are the seeds that the settings file names now.
func (p *Process) seedsNow() []string {
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		p.log.Warn("settings.unreadable", "error", err)
		return nil
	}
	return settings.SeedInternalAddresses()
}

// stream takes updates from one control sidecar until they end, or until it is time to move to one of the own zone. It
// tells whether any update came.
func (p *Process) stream(address string, sidecars *controlSidecars) (ok bool) {
	conn, err := peerlink.Dial(address, dialWithin)
	if err != nil {
		return false
	}
	defer conn.Close()
	hello := protocol.Subscribe{Name: p.settings.NodeName, Zone: p.settings.Zone, ConfigSeq: ask(p, func() uint64 { return p.configSeq })}
	if conn.Send(hello, sendWithin) != nil {
		return false
	}
	done := make(chan struct{})
	defer close(done)
	reports := p.demand.subscribe()
	outbound := make(chan any, 16)
	go sendAll(conn, outbound, reports, done)
	patience := nodefile.Milliseconds(p.settings.Bounds.ContactMs) / 4
	keptUntil := time.Now().Add(sidecars.stay/2 + rand.N(sidecars.stay))
	left := false
	defer func() { sidecars.ended(address, left) }()
	for {
		message, err := conn.Receive(max(patience, 3*protocol.Keepalive/2))
		if err != nil {
			return ok
		}
		update, isUpdate := message.(protocol.Update)
		if !isUpdate {
			continue
		}
		sidecars.learn(update.Members)
		if update.Leaving {
			return ok
		}
		ok = true
		ack := ask(p, func() protocol.Ack { return p.take(update) })
		if left = sidecars.moves(address) && time.Now().After(keptUntil); left {
			return ok
		}
		select {
		case outbound <- ack:
		default:
		}
	}
}

// sendAll sends acknowledgements and reports on a stream until it ends.
func sendAll(conn *peerlink.Conn, outbound <-chan any, reports <-chan protocol.DemandReport, done <-chan struct{}) {
	for {
		var message any
		select {
		case <-done:
			return
		case message = <-outbound:
		case message = <-reports:
		}
		if conn.Send(message, sendWithin) != nil {
			conn.Close()
			return
		}
	}
}

// take puts an update in force.
func (p *Process) take(update protocol.Update) protocol.Ack {
	now := p.now()
	if len(update.Endpoints) > 0 || update.Whole {
		p.pool.Update(now, update.Endpoints, update.Whole)
		p.revision = update.Revision
		close(p.changed)
		p.changed = make(chan struct{})
	}
	if update.HasLoads {
		loads := map[string]routing.FleetLoad{}
		for _, load := range update.Loads {
			loads[load.ID] = routing.FleetLoad{InFlight: load.InFlight, Waiting: load.Waiting,
				Outcomes: routing.Outcomes{Good: load.Good, Failed: load.Failed}}
		}
		p.pool.SetFleetLoads(now, loads)
	}
	if update.Subscribers > 0 {
		p.budget.SetProxies(update.Subscribers)
	}
	if c := update.Configuration; c != nil && c.Seq > p.configSeq {
		p.takeConfiguration(c)
	}
	return protocol.Ack{Revision: p.revision, ConfigSeq: p.configSeq}
}

func (p *Process) takeConfiguration(c *protocol.Configuration) {
	parsed, err := fleetconfig.Parse(&c.Document)
	if err != nil {
		p.log.Error("configuration.unusable", "version", c.Document.Version, "error", err)
		return
	}
	p.configSeq = c.Seq
	if c.Document.Version == 0 {
		return // none has been taken yet
	}
	p.config.Store(&activeConfig{parsed: parsed, routes: routing.NewRoutes(parsed)})
	p.log.Info("configuration.in_force", "version", c.Document.Version, "routes", len(parsed.Routes))
}
