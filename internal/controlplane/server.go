package controlplane

import (
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/connlimit"
	"dykering/internal/core"
	"dykering/internal/nodefile"
	"dykering/internal/peerlink"
	"dykering/internal/sessionsync"
)

// Server is a running control process. The event loop owns all fields except those of the first block; see
// eventloop.go.
type Server struct {
	settings nodefile.Settings
	timing   timing
	log      *slog.Logger
	origin   time.Time // start of the process, which now counts from
	commands chan func()
	ctx      context.Context

	// The replicated configuration.
	chain            *chain.Node
	chainStore       *chainStore
	restoredFromDisk bool                   // false if the node joined or started without state
	pendingRequests  *chain.PendingRequests // requests that this member executes as head or tail
	pendingCalls     pendingCalls           // calls to other members

	// The table of sessions.
	sessions        *sessionsync.Replica
	sessionStore    *sessionStore
	sessionCalls    map[sessionsync.CallID]func(error) // calls of endpoints that wait for an answer
	lastSessionCall sessionsync.CallID

	// The proxies.
	subscribers        map[*subscriber]bool
	peerSubscribers    map[string]peerSubscriberCount // by the address of a peer
	subscriberCountDue time.Duration
	endpointLoads      *endpointLoadTable

	placement *placementController

	coordination *coordinationService

	tolerance toleranceReport

	bodies         *core.Budget              // memory for the bodies of calls; safe for concurrent use
	peerLinks      map[string]*peerlink.Link // by the address of a peer
	seedRefreshDue time.Duration             // when the seeds are read again
}

// Run runs a control process. After a signal on stop it returns when the member has left the chain or the grace period
// has expired. It returns an error if the process cannot start because its disk or one of its addresses cannot be
// opened.
func Run(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newServer(ctx, settings, log)
	if err := s.openStores(); err != nil {
		return err
	}
	go s.runSessionStore()
	go s.chainStore.run(ctx.Done())

	internal, err := connlimit.Listen(ctx, settings.InternalAddress(settings.IPAddress), peerLimits(settings.Limits))
	if err != nil {
		return errors.Wrap(err, "listen on the internal address")
	}
	defer internal.Close()
	go s.acceptPeers(internal)

	external, err := connlimit.Listen(ctx, settings.Listen.ControlPlane, callerLimits(settings.Limits))
	if err != nil {
		return errors.Wrap(err, "listen on the control plane address")
	}
	server := &http.Server{
		Handler: s.httpHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	go func() { _ = external.Serve(server) }() // it returns once the server is closed
	defer closeServer(server)

	log.Info("process.serving", "role", settings.Role, "name", settings.NodeName, "view", s.chain.View().Number)
	s.runEventLoop(stop)
	return nil
}

// closeServer closes an HTTP server when the responses in progress are complete, or after shutdownTimeout.
func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}

// newServer creates a server without stored state and without listeners.
func newServer(ctx context.Context, settings nodefile.Settings, log *slog.Logger) *Server {
	s := &Server{
		settings: settings, timing: newTiming(&settings), log: log, origin: time.Now(), ctx: ctx,
		commands:        make(chan func(), commandQueueLength),
		pendingCalls:    newPendingCalls(),
		sessionCalls:    map[sessionsync.CallID]func(error){},
		subscribers:     map[*subscriber]bool{},
		peerSubscribers: map[string]peerSubscriberCount{},
		endpointLoads:   newEndpointLoadTable(),
		bodies:          newBodyBudget(settings.Limits),
		peerLinks:       map[string]*peerlink.Link{},
	}
	s.placement = newPlacementController(s)
	s.coordination = newCoordinationService(s)
	return s
}

// openStores opens the stores of the chain and of the sessions, and restores the state from them.
func (s *Server) openStores() error {
	if err := s.restoreChain(); err != nil {
		return err
	}
	s.pendingRequests = chain.NewPendingRequests(s.chain, s.timing.callTimeout)
	store, restored := s.openSessionStore()
	s.sessionStore, s.sessions = store, sessionsync.New(s.sessionConfig(store.ring != nil), restored)
	return nil
}

// chainConfig returns the configuration of this member's chain.Node. The ID is empty for a node that restores its ID
// from disk.
func (s *Server) chainConfig(id chain.MemberID) chain.Config {
	return chain.Config{
		Self: chain.Member{
			ID: id, Name: s.settings.NodeName, Address: s.settings.InternalAddress(s.settings.IPAddress),
			ControlAddress: s.settings.Listen.ControlPlane, Zone: s.settings.Zone,
		},
		Apply:            applyOperation,
		OperationVersion: coordinationOperationVersion,
		Seeds:            s.settings.SeedInternalAddresses(),
		MaxFailures:      s.settings.Tolerance.MachineFailures,
		PingInterval:     s.timing.pingInterval,
		SuspectTimeout:   s.timing.suspectAfter,
		ProposalTimeout:  s.timing.proposeTimeout,
		LeaseDuration:    s.timing.lease,
		TakeoverDelay:    s.timing.newHolderDelay,
		ReturnDelay:      s.timing.returningHolderDelay,
		FirstNonce:       randomStartNumber(),
		Jitter:           func(d time.Duration) time.Duration { return mathrand.N(d + 1) },
	}
}
