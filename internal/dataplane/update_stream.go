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

// The stream of updates from a control process.
const (
	// streamDialTimeout bounds the connection to a control process. Half or double: not measured.
	streamDialTimeout = 300 * time.Millisecond
	// streamSendTimeout bounds the sending of a message.
	streamSendTimeout = time.Second
	// minStreamBackoff is the first pause after a round in which no control process served; it doubles up to maxStreamBackoff,
	// and each is drawn from half to one and a half of it. Half or double: not measured.
	minStreamBackoff = 30 * time.Millisecond
	maxStreamBackoff = 300 * time.Millisecond
	// seedReloadRounds is after how many rounds in a row the settings file is read again for its seeds.
	seedReloadRounds = 8
	// outboundQueueSize bounds the acknowledgements that wait to be sent. One that does not fit is dropped: a later one covers it.
	outboundQueueSize = 16
	// contactBoundDivisor divides the operator's contact bound: its quarter is the time for which a stream may be silent.
	contactBoundDivisor = 4
)

// followUpdates keeps a stream of updates from a control process until the process ends.
func (s *Server) followUpdates() {
	processes := newControlProcesses(s.settings.Zone, s.settings.SeedInternalAddresses())
	backoff, failedRounds := minStreamBackoff, 0
	for s.ctx.Err() == nil {
		served := slices.ContainsFunc(processes.dialOrder(), func(process protocol.ControlProcess) bool {
			return s.streamUpdates(process.Address, processes)
		})
		if served {
			backoff, failedRounds = minStreamBackoff, 0
			continue
		}
		failedRounds++
		if failedRounds%seedReloadRounds == 0 {
			processes.addSeeds(s.reloadSeeds())
		}
		time.Sleep(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, maxStreamBackoff)
	}
}

// reloadSeeds reads the seeds that the settings file names now.
func (s *Server) reloadSeeds() []string {
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		s.log.Warn("settings.unreadable", "error", err)
		return nil
	}
	return settings.SeedInternalAddresses()
}

// streamUpdates applies updates from one control process until they end, or until it is time to move to one of the own zone.
// It reports whether any update came.
func (s *Server) streamUpdates(address string, processes *controlProcesses) (served bool) {
	conn, err := s.subscribe(address)
	if err != nil {
		return false
	}
	defer conn.Close()
	done := make(chan struct{})
	defer close(done)
	outbound := make(chan any, outboundQueueSize)
	go sendMessages(conn, outbound, s.demand.reports, done)

	receiveTimeout := max(nodefile.Milliseconds(s.settings.Bounds.ContactMs)/contactBoundDivisor, 3*protocol.Keepalive/2)
	keepUntil := time.Now().Add(processes.remoteStreamDuration/2 + rand.N(processes.remoteStreamDuration))
	moved := false
	defer func() { processes.streamEnded(address, moved) }()
	for {
		message, err := conn.Receive(receiveTimeout)
		if err != nil {
			return served
		}
		update, isUpdate := message.(protocol.Update)
		if !isUpdate {
			continue
		}
		processes.replaceKnown(update.Members)
		if update.Leaving {
			return served
		}
		served = true
		acknowledgement := queryTables(s, func() protocol.Ack { return s.applyUpdate(update) })
		if moved = processes.prefersLocal(address) && time.Now().After(keepUntil); moved {
			return served
		}
		select {
		case outbound <- acknowledgement:
		default:
		}
	}
}

// subscribe opens a stream from a control process.
func (s *Server) subscribe(address string) (*peerlink.Conn, error) {
	conn, err := peerlink.Dial(address, streamDialTimeout)
	if err != nil {
		return nil, err
	}
	configSeq := queryTables(s, func() uint64 { return s.configSeq })
	subscription := protocol.Subscribe{Name: s.settings.NodeName, Zone: s.settings.Zone, ConfigSeq: configSeq}
	if err := conn.Send(subscription, streamSendTimeout); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// sendMessages sends acknowledgements and demand reports on a stream until it ends.
func sendMessages(conn *peerlink.Conn, outbound <-chan any, reports <-chan protocol.DemandReport, done <-chan struct{}) {
	for {
		var message any
		select {
		case <-done:
			return
		case message = <-outbound:
		case message = <-reports:
		}
		if conn.Send(message, streamSendTimeout) != nil {
			conn.Close()
			return
		}
	}
}

// applyUpdate puts an update in force and acknowledges what is in force then. The tables' owner calls it.
func (s *Server) applyUpdate(update protocol.Update) protocol.Ack {
	now := s.now()
	if len(update.Endpoints) > 0 || update.Whole {
		s.pool.Update(now, update.Endpoints, update.Whole)
		s.endpointsRevision = update.Revision
		close(s.endpointsChanged)
		s.endpointsChanged = make(chan struct{})
	}
	if update.HasLoads {
		s.pool.SetFleetLoads(now, fleetLoads(update.Loads))
	}
	if update.Subscribers > 0 {
		s.retryBudget.SetProxies(update.Subscribers)
	}
	if c := update.Configuration; c != nil && c.Seq > s.configSeq {
		s.applyConfiguration(c)
	}
	return protocol.Ack{Revision: s.endpointsRevision, ConfigSeq: s.configSeq}
}

func fleetLoads(sent []protocol.EndpointLoad) map[string]routing.FleetLoad {
	loads := map[string]routing.FleetLoad{}
	for _, load := range sent {
		loads[load.ID] = routing.FleetLoad{
			InFlight: load.InFlight, Waiting: load.Waiting,
			Outcomes: routing.Outcomes{Good: load.Good, Failed: load.Failed},
		}
	}
	return loads
}

// applyConfiguration puts a configuration in force. One that cannot be read is logged, and the last one stays.
func (s *Server) applyConfiguration(c *protocol.Configuration) {
	parsed, err := fleetconfig.Parse(&c.Document)
	if err != nil {
		s.log.Error("configuration.unusable", "version", c.Document.Version, "error", err)
		return
	}
	s.configSeq = c.Seq
	if c.Document.Version == 0 {
		return // the operator has not submitted one yet
	}
	s.config.Store(&activeConfig{parsed: parsed, routes: routing.NewRoutes(parsed)})
	s.log.Info("configuration.in_force", "version", c.Document.Version, "routes", len(parsed.Routes))
}
