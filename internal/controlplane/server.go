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

const commandQueue = 4096

// Process is a running control sidecar. One goroutine owns its tables and works through the commands.
type Process struct {
	settings nodefile.Settings
	timing   timing
	log      *slog.Logger
	origin   time.Time
	commands chan func()
	ctx      context.Context

	node     *chain.Node
	restored bool // from its disk
	disk     *disk
	saver    *sessionSaver
	table    *sessions.Table
	links    map[string]*peerlink.Link

	sessionClock time.Duration // advances while a majority is in touch
	lastTick     time.Duration
	seedsDue     time.Duration
	signsDue     time.Duration
	repairDue    time.Duration
	syncSince    time.Duration // since when this member is in touch without its peers' sessions; 0 before
	synced       bool
	unheard      map[string]bool // peers whose sessions have not come since

	calls    calls
	requests *chain.PendingRequests
	leaves   map[uint64]*pendingLeave // by the number of their call
	// replicatedLeaves are the endpoints whose leaving has been acknowledged, and how far they were.
	replicatedLeaves map[string]sessions.State
	subscribers      map[*subscriber]bool
	elsewhere        map[string]subscriberCount // by the address of a control sidecar
	loads            *loadTable
	placer           *placer
}

type subscriberCount struct {
	count int
	at    time.Duration
}

// Run serves until a signal arrives on stop.
func Run(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &Process{
		settings: settings, timing: timingOf(&settings), log: log, origin: time.Now(), ctx: ctx,
		commands: make(chan func(), commandQueue), links: map[string]*peerlink.Link{},
		leaves: map[uint64]*pendingLeave{}, replicatedLeaves: map[string]sessions.State{},
		subscribers: map[*subscriber]bool{}, elsewhere: map[string]subscriberCount{},
	}
	p.calls, p.loads = newCalls(), newLoadTable()
	p.table = sessions.New(p.timing.silentAfter)
	p.placer = newPlacer(p)
	if err := p.restore(); err != nil {
		return err
	}
	p.requests = chain.NewPendingRequests(p.node, p.timing.answerWithin)
	p.saver = p.restoreSessions()
	go p.writeSessions()
	go p.disk.run(ctx.Done())
	internal, err := net.Listen("tcp", settings.InternalAddress(settings.IPAddress))
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	defer internal.Close()
	go p.acceptPeers(internal)
	external, err := net.Listen("tcp", settings.Listen.ControlPlane)
	if err != nil {
		return errors.Wrap(err, "control plane address")
	}
	server := &http.Server{Handler: p.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go server.Serve(external)
	defer server.Close()
	log.Info("process.serving", "role", settings.Role, "name", settings.NodeName, "view", p.node.View().Number)
	p.loop(stop)
	return nil
}

func (p *Process) chainConfig(id chain.MemberID) chain.Config {
	return chain.Config{
		Self: chain.Member{ID: id, Name: p.settings.NodeName, Address: p.settings.InternalAddress(p.settings.IPAddress),
			ControlAddress: p.settings.Listen.ControlPlane, Zone: p.settings.Zone},
		Apply:        applyOperation,
		Seeds:        p.settings.SeedInternalAddresses(),
		MaxFailures:  p.settings.Tolerance.MachineFailures,
		PingInterval: p.timing.pingEvery, SuspectTimeout: p.timing.suspectAfter, ProposalTimeout: p.timing.proposeTimeout,
		LeaseDuration: p.timing.lease, TakeoverDelay: p.timing.holderPause, ReturnDelay: p.timing.returnPause,
		FirstNonce: firstNumber(),
		Jitter:     func(d time.Duration) time.Duration { return mathrand.N(d + 1) },
	}
}

func (p *Process) now() time.Duration { return time.Since(p.origin) }

// post hands a command to the owner. It blocks while the queue is full.
func (p *Process) post(command func()) {
	select {
	case p.commands <- command:
	case <-p.ctx.Done():
	}
}

func (p *Process) loop(stop <-chan os.Signal) {
	ticker := time.NewTicker(p.timing.tick)
	defer ticker.Stop()
	var leaveBy <-chan time.Time
	for {
		select {
		case command := <-p.commands:
			command()
			p.drainCommands()
		case <-ticker.C:
			p.tick()
		case sig := <-stop:
			p.log.Info("process.stopping", "signal", sig.String())
			p.node.Leave()
			p.endStreams()
			timer := time.NewTimer(p.timing.stopWithin)
			defer timer.Stop()
			leaveBy = timer.C
		case <-leaveBy:
			return
		}
		p.afterCommands()
		if leaveBy != nil && p.node.CanStop() {
			return
		}
	}
}

// drainCommands works through what waits, so that one round of settling serves all.
func (p *Process) drainCommands() {
	for range commandQueue {
		select {
		case command := <-p.commands:
			command()
		default:
			return
		}
	}
}

func (p *Process) tick() {
	now := p.now()
	gap := now - p.lastTick
	p.lastTick = now
	inTouch := p.node.HasQuorum(now)
	if inTouch {
		p.sessionClock += min(gap, 4*p.timing.tick)
	}
	p.node.SetDiskHealthy(p.disk.behind() < p.timing.diskPatience)
	p.readSeeds(now, inTouch)
	p.carryOut(p.node.Tick(now))
	p.table.ExpireTTLs(p.sessionClock)
	p.synchronize(now, inTouch)
	p.repair(now)
	p.expireCalls(now)
	p.expireLeaves()
	p.placer.tick(now)
}

// rereadSeedsEvery is how often a member that no majority is in touch with reads which seeds its settings name now.
const rereadSeedsEvery = time.Second

// readSeeds reads the seeds again while this member is not in touch: those that it started with may all have been replaced.
func (p *Process) readSeeds(now time.Duration, inTouch bool) {
	if inTouch || now < p.seedsDue {
		return
	}
	p.seedsDue = now + rereadSeedsEvery
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		p.log.Warn("settings.unreadable", "error", err)
		return // those of before stand
	}
	p.node.SetSeeds(settings.SeedInternalAddresses())
}

// carryOut carries an output of the chain out.
func (p *Process) carryOut(out chain.Output) {
	for _, envelope := range out.ImmediateMessages {
		p.send(envelope.To, envelope.Message)
	}
	if len(out.Records) > 0 || len(out.Messages) > 0 {
		p.store(out.Records, out.Messages)
	}
	if out.ViewInstalled {
		p.onView()
	}
}

// store hands records to the disk; the messages go out once they are stored.
func (p *Process) store(records []any, messages []chain.Envelope) {
	job := diskJob{messages: messages}
	for _, record := range records {
		encoded, err := p.disk.encode(record, p.node.Snapshot)
		if err != nil {
			p.log.Error("record.unencodable", "error", err)
			p.disk.encoder = nil // the next record is a snapshot, that stands for this one too
			continue
		}
		job.records = append(job.records, encoded)
	}
	select {
	case p.disk.jobs <- job:
	default:
		// The disk has stalled for long. The messages are sent again when it is back; the records are in the snapshot with which
		// the next one begins a new file.
		p.log.Error("disk.queue_full")
		p.disk.encoder = nil
	}
}

// deliver sends messages whose records are stored.
func (p *Process) deliver(messages []chain.Envelope) {
	for _, envelope := range messages {
		if envelope.To == p.node.Self().Address {
			p.carryOut(p.node.Receive(p.now(), envelope.Message))
			continue
		}
		p.send(envelope.To, envelope.Message)
	}
}

const mostLinks = 64

func (p *Process) send(address string, message any) {
	if address == "" || address == p.node.Self().Address {
		return
	}
	link := p.links[address]
	if link == nil {
		if len(p.links) >= mostLinks {
			for old, link := range p.links {
				link.Close()
				delete(p.links, old)
			}
		}
		link = peerlink.NewLink(p.ctx, address)
		p.links[address] = link
	}
	link.Send(message)
}

// peers are the addresses of the other voters.
func (p *Process) peers() []string {
	var addresses []string
	view := p.node.View()
	for _, voter := range view.Voters {
		if voter.Address != p.node.Self().Address {
			addresses = append(addresses, voter.Address)
		}
	}
	return addresses
}

func (p *Process) onView() {
	view := p.node.View()
	p.log.Info("chain.view", "number", view.Number, "voters", len(view.Voters), "chain", len(view.Chain),
		"head", string(view.Head()), "holder", string(view.Holder), "token", view.Token)
	p.synced, p.syncSince = false, 0
}

// afterCommands does what follows from the commands that were worked through.
func (p *Process) afterCommands() {
	now := p.now()
	p.requests.AnswerReady(now)
	p.sendSessionUpdates(now)
	p.shareLoads(now)
	p.sendUpdates(now)
	p.placer.afterCommands(now)
	p.saveSessions(now)
}
