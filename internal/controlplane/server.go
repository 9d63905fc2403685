package controlplane

import (
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/nodefile"
	"dykering/internal/peerlink"
	"dykering/internal/sessions"
)

const commandQueueLength = 4096

// Process is a running control sidecar. One goroutine owns its tables and works through the commands.
type Server struct {
	settings nodefile.Settings
	timing   timing
	log      *slog.Logger
	origin   time.Time
	commands chan func()
	ctx      context.Context

	chain            *chain.Node
	restoredFromDisk bool // from its disk
	chainStore       *chainStore
	sessionStore     *sessionStore
	table            *sessions.Table
	links            map[string]*peerlink.Link

	sessionClock   time.Duration // advances while a majority is in touch
	lastTick       time.Duration
	seedsDue       time.Duration
	renewalsDue    time.Duration
	antiEntropyDue time.Duration
	fullSyncSince  time.Duration // since when this member is in touch without its peers' sessions; 0 before
	synced         bool
	awaitedPeers   map[string]bool // peers whose sessions have not come since

	pending    pendingCalls
	requests   *chain.PendingRequests
	departures map[uint64]*pendingDeparture // by the number of their call
	// replicatedLeaves are the endpoints whose leaving has been acknowledged, and how far they were.
	acknowledgedDepartures map[string]sessions.State
	subscribers            map[*subscriber]bool
	peerSubscribers        map[string]peerSubscriberCount // by the address of a control sidecar
	endpointLoads          *endpointLoadTable
	placement              *placementController
}

type peerSubscriberCount struct {
	count      int
	receivedAt time.Duration
}

// Run serves until a signal arrives on stop.
func Run(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &Server{
		settings: settings, timing: newTiming(&settings), log: log, origin: time.Now(), ctx: ctx,
		commands: make(chan func(), commandQueueLength), links: map[string]*peerlink.Link{},
		departures: map[uint64]*pendingDeparture{}, acknowledgedDepartures: map[string]sessions.State{},
		subscribers: map[*subscriber]bool{}, peerSubscribers: map[string]peerSubscriberCount{},
	}
	s.pending, s.endpointLoads = newPendingCalls(), newEndpointLoadTable()
	s.table = sessions.New(s.timing.sessionTTL)
	s.placement = newPlacementController(s)
	if err := s.restoreChain(); err != nil {
		return err
	}
	s.requests = chain.NewPendingRequests(s.chain, s.timing.callTimeout)
	s.sessionStore = s.openSessionStore()
	go s.runSessionStore()
	go s.chainStore.run(ctx.Done())
	internal, err := net.Listen("tcp", settings.InternalAddress(settings.IPAddress))
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	defer internal.Close()
	go s.acceptPeers(internal)
	external, err := net.Listen("tcp", settings.Listen.ControlPlane)
	if err != nil {
		return errors.Wrap(err, "control plane address")
	}
	server := &http.Server{Handler: s.httpHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go server.Serve(external)
	defer server.Close()
	log.Info("process.serving", "role", settings.Role, "name", settings.NodeName, "view", s.chain.View().Number)
	s.runEventLoop(stop)
	return nil
}

func (s *Server) chainConfig(id chain.MemberID) chain.Config {
	return chain.Config{
		Self: chain.Member{ID: id, Name: s.settings.NodeName, Address: s.settings.InternalAddress(s.settings.IPAddress),
			ControlAddress: s.settings.Listen.ControlPlane, Zone: s.settings.Zone},
		Apply:        applyOperation,
		Seeds:        s.settings.SeedInternalAddresses(),
		MaxFailures:  s.settings.Tolerance.MachineFailures,
		PingInterval: s.timing.pingInterval, SuspectTimeout: s.timing.suspectAfter, ProposalTimeout: s.timing.proposeTimeout,
		LeaseDuration: s.timing.lease, TakeoverDelay: s.timing.newHolderDelay, ReturnDelay: s.timing.returningHolderDelay,
		FirstNonce: randomCallNumber(),
		Jitter:     func(d time.Duration) time.Duration { return mathrand.N(d + 1) },
	}
}

func (s *Server) now() time.Duration { return time.Since(s.origin) }

// post hands a command to the owner. It blocks while the queue is full.
func (s *Server) enqueue(command func()) {
	select {
	case s.commands <- command:
	case <-s.ctx.Done():
	}
}

func (s *Server) runEventLoop(stop <-chan os.Signal) {
	ticker := time.NewTicker(s.timing.tickInterval)
	defer ticker.Stop()
	var leaveBy <-chan time.Time
	for {
		select {
		case command := <-s.commands:
			command()
			s.runQueued()
		case <-ticker.C:
			s.tick()
		case sig := <-stop:
			s.log.Info("process.stopping", "signal", sig.String())
			s.chain.Leave()
			s.endStreams()
			timer := time.NewTimer(s.timing.stopTimeout)
			defer timer.Stop()
			leaveBy = timer.C
		case <-leaveBy:
			return
		}
		s.afterBatch()
		if leaveBy != nil && s.chain.CanStop() {
			return
		}
	}
}

// drainCommands works through what waits, so that one round of settling serves all.
func (s *Server) runQueued() {
	for range commandQueueLength {
		select {
		case command := <-s.commands:
			command()
		default:
			return
		}
	}
}

func (s *Server) tick() {
	now := s.now()
	gap := now - s.lastTick
	s.lastTick = now
	inTouch := s.chain.HasQuorum(now)
	if inTouch {
		s.sessionClock += min(gap, 4*s.timing.tickInterval)
	}
	s.chain.SetDiskHealthy(s.chainStore.writeDuration() < s.timing.maxWriteDuration)
	s.rereadSeeds(now, inTouch)
	s.applyOutput(s.chain.Tick(now))
	s.table.ExpireTTLs(s.sessionClock)
	s.updateFullSync(now, inTouch)
	s.runAntiEntropy(now)
	s.expireCalls(now)
	s.expireDepartures()
	s.placement.tick(now)
}

// rereadSeedsEvery is how often a member that no majority is in touch with reads which seeds its settings name now.
const seedRereadInterval = time.Second

// readSeeds reads the seeds again while this member is not in touch: those that it started with may all have been replaced.
func (s *Server) rereadSeeds(now time.Duration, inTouch bool) {
	if inTouch || now < s.seedsDue {
		return
	}
	s.seedsDue = now + seedRereadInterval
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		s.log.Warn("settings.unreadable", "error", err)
		return // those of before stand
	}
	s.chain.SetSeeds(settings.SeedInternalAddresses())
}

// carryOut carries an output of the chain out.
func (s *Server) applyOutput(out chain.Output) {
	for _, envelope := range out.ImmediateMessages {
		s.send(envelope.To, envelope.Message)
	}
	if len(out.Records) > 0 || len(out.Messages) > 0 {
		s.persist(out.Records, out.Messages)
	}
	if out.ViewInstalled {
		s.onViewInstalled()
	}
}

// store hands records to the disk; the messages go out once they are stored.
func (s *Server) persist(records []any, messages []chain.Envelope) {
	job := storeJob{messages: messages}
	for _, record := range records {
		encoded, err := s.chainStore.encode(record, s.chain.Snapshot)
		if err != nil {
			s.log.Error("record.unencodable", "error", err)
			s.chainStore.encoder = nil // the next record is a snapshot, that stands for this one too
			continue
		}
		job.records = append(job.records, encoded)
	}
	select {
	case s.chainStore.jobs <- job:
	default:
		// The disk has stalled for long. The messages are sent again when it is back; the records are in the snapshot with which
		// the next one begins a new file.
		s.log.Error("disk.queue_full")
		s.chainStore.encoder = nil
	}
}

// deliver sends messages whose records are stored.
func (s *Server) onPersisted(messages []chain.Envelope) {
	for _, envelope := range messages {
		if envelope.To == s.chain.Self().Address {
			s.applyOutput(s.chain.Receive(s.now(), envelope.Message))
			continue
		}
		s.send(envelope.To, envelope.Message)
	}
}

const maxLinks = 64

func (s *Server) send(address string, message any) {
	if address == "" || address == s.chain.Self().Address {
		return
	}
	link := s.links[address]
	if link == nil {
		if len(s.links) >= maxLinks {
			for old, link := range s.links {
				link.Close()
				delete(s.links, old)
			}
		}
		link = peerlink.NewLink(s.ctx, address)
		s.links[address] = link
	}
	link.Send(message)
}

// peers are the addresses of the other voters.
func (s *Server) peerAddresses() []string {
	var addresses []string
	view := s.chain.View()
	for _, voter := range view.Voters {
		if voter.Address != s.chain.Self().Address {
			addresses = append(addresses, voter.Address)
		}
	}
	return addresses
}

func (s *Server) onViewInstalled() {
	view := s.chain.View()
	s.log.Info("chain.view", "number", view.Number, "voters", len(view.Voters), "chain", len(view.Chain),
		"head", string(view.Head()), "holder", string(view.Holder), "token", view.Token)
	s.synced, s.fullSyncSince = false, 0
}

// afterCommands does what follows from the commands that were worked through.
func (s *Server) afterBatch() {
	now := s.now()
	s.requests.AnswerReady(now)
	s.broadcastSessions(now)
	s.broadcastEndpointLoads(now)
	s.streamUpdates(now)
	s.placement.planIfDue(now)
	s.snapshotSessions(now)
}
