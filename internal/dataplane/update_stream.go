package dataplane

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/routing"
)

// Constants of the stream of updates from a control process.
const (
	// streamDialTimeout bounds the time to connect to a control process.
	streamDialTimeout = 300 * time.Millisecond
	// streamSendTimeout bounds the time to send a message.
	streamSendTimeout = time.Second
	// minStreamBackoff is the mean pause after the first round in which no control process served a stream. The mean doubles with
	// each such round up to maxStreamBackoff. The pause is random, between half and one and a half times the mean.
	minStreamBackoff = 30 * time.Millisecond
	maxStreamBackoff = 300 * time.Millisecond
	// seedReadInterval is the time between two readings of the seeds from the settings file while no control process serves: all
	// that were known may have been replaced.
	seedReadInterval = time.Second
	// outboundQueueSize bounds the acknowledgements that wait to be sent. An acknowledgement that does not fit is dropped, since
	// the next one supersedes it.
	outboundQueueSize = 16
	// contactBoundDivisor determines how long a stream may be silent: a quarter of the setting contact_ms.
	contactBoundDivisor = 4
)

// streamEnd is why a stream of updates ended.
type streamEnd string

const (
	streamSilent  streamEnd = "silent"  // no update arrived in time
	streamClosed  streamEnd = "closed"  // the connection ended
	streamRefused streamEnd = "refused" // the control process leaves, or cannot be sure of the newest state
	streamMoved   streamEnd = "moved"   // the proxy prefers a control process of its zone
)

// streamEndOf returns why a stream ended whose next update could not be received.
func streamEndOf(err error) streamEnd {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return streamSilent
	}
	return streamClosed
}

// recordUpdate records how recent the state of an update is. An update may have been delayed, by the network or while this process was
// frozen, so it counts from a message of this process that its sender had received.
func (s *Server) recordUpdate(now time.Duration, update protocol.Update) {
	currentAt := update.EchoedAt
	if currentAt == 0 {
		currentAt = now // the control process runs a build that does not echo
	}
	s.currentAt.Store(max(s.currentAt.Load(), int64(currentAt)))
}

// updateAge returns the time since the state of the last update was certainly the newest, or since the start of the process if there
// was no update.
func (s *Server) updateAge() time.Duration { return s.now() - time.Duration(s.currentAt.Load()) }

// followUpdates keeps a stream of updates from some control process open until the process ends.
func (s *Server) followUpdates() {
	processes := newControlProcesses(s.settings.Zone, s.settings.SeedInternalAddresses())
	backoff, failedRounds := minStreamBackoff, 0
	var seedsReadAt time.Time
	for s.ctx.Err() == nil {
		if stream := s.findStream(processes); stream != nil {
			s.streamUpdates(stream, processes)
			backoff, failedRounds = minStreamBackoff, 0
			continue
		}
		failedRounds++
		if time.Since(seedsReadAt) >= seedReadInterval {
			seedsReadAt = time.Now()
			s.log.Warn("updates.none", "rounds", failedRounds, "tried", len(processes.known), "age_ms", s.updateAge().Milliseconds())
			processes.addSeeds(s.reloadSeeds())
		}
		time.Sleep(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, maxStreamBackoff)
	}
}

// reloadSeeds reads the settings file again and returns the addresses of its seeds.
func (s *Server) reloadSeeds() []string {
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		s.log.Warn("settings.unreadable", "error", err)
		return nil
	}
	return settings.SeedInternalAddresses()
}

// streamUpdates applies the updates of a stream until the stream ends, or until it should move to a control process of the proxy's
// zone.
func (s *Server) streamUpdates(stream *updateStream, processes *controlProcesses) {
	s.log.Info("updates.followed", "address", stream.address, "age_ms", s.updateAge().Milliseconds())
	defer stream.conn.Close()
	done := make(chan struct{})
	defer close(done)
	outbound := make(chan any, outboundQueueSize)
	go sendMessages(stream.conn, outbound, s.demand.reports, done)

	processes.streamServed()
	end := s.applyUpdates(stream, processes, outbound)
	processes.streamEnded(stream.address, end)
	s.log.Info("updates.ended", "address", stream.address, "end", string(end), "age_ms", s.updateAge().Milliseconds())
}

// applyUpdates applies the updates of a stream and queues their acknowledgements. It returns why the stream ended.
func (s *Server) applyUpdates(stream *updateStream, processes *controlProcesses, outbound chan<- any) streamEnd {
	keepUntil := time.Now().Add(processes.remoteStreamDuration/2 + rand.N(processes.remoteStreamDuration))
	for update := stream.first; ; {
		processes.replaceKnown(update.Members)
		if update.Leaving {
			return streamRefused
		}
		acknowledgement := queryTables(s, func() protocol.Ack { return s.applyUpdate(update) })
		if processes.prefersLocal(stream.address) && time.Now().After(keepUntil) {
			return streamMoved
		}
		select {
		case outbound <- acknowledgement:
		default:
		}
		var err error
		if update, err = receiveUpdate(stream.conn, s.updateTimeout()); err != nil {
			return streamEndOf(err)
		}
	}
}

// subscribe connects to a control process and subscribes to its updates.
func (s *Server) subscribe(address string) (*peerlink.Conn, error) {
	conn, err := peerlink.Dial(address, streamDialTimeout)
	if err != nil {
		return nil, err
	}
	configSeq := queryTables(s, func() uint64 { return s.configSeq })
	subscription := protocol.Subscribe{
		Name: s.settings.NodeName, Zone: s.settings.Zone, ConfigSeq: configSeq, SentAt: s.now(),
	}
	if err := conn.Send(subscription, streamSendTimeout); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// sendMessages sends acknowledgements and demand reports to a control process until the stream ends. It closes the connection if
// it cannot send.
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

// applyUpdate applies an update to the tables. It returns the acknowledgement, with the revisions that the proxy has after the
// update. Only the table loop calls it.
func (s *Server) applyUpdate(update protocol.Update) protocol.Ack {
	now := s.now()
	s.recordUpdate(now, update)
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
	return protocol.Ack{Revision: s.endpointsRevision, ConfigSeq: s.configSeq, SentAt: now}
}

// fleetLoads converts the loads of an update to a map by endpoint ID.
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

// applyConfiguration activates a configuration. It logs a configuration that cannot be parsed and keeps the active one.
func (s *Server) applyConfiguration(c *protocol.Configuration) {
	parsed, err := fleetconfig.Parse(&c.Document)
	if err != nil {
		s.log.Error("configuration.unusable", "version", c.Document.Version, "error", err)
		return
	}
	s.configSeq = c.Seq
	if c.Document.Version == 0 {
		return // version 0 is the initial state, before the operator's first configuration
	}
	s.config.Store(&activeConfig{parsed: parsed, routes: routing.NewRoutes(parsed)})
	s.log.Info("configuration.in_force", "version", c.Document.Version, "routes", len(parsed.Routes))
}
