package coresim

import (
	"fmt"
	"slices"
	"time"

	"dykering/internal/chain"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// machine is one machine of the core with its process and its disk. The process does the work of the control process of
// internal/controlplane.
type machine struct {
	sim     *Simulation
	address string

	// The fields up to inbox describe the process.

	// node is the replication state machine.
	node *chain.Node
	// requests are the reads and writes that wait for their answers.
	requests *chain.PendingRequests
	// placer is nil without Options.Placement.
	placer *placer
	// sessions is nil without Options.Sessions.
	sessions *sessionProcess
	// coordination is nil without Options.Coordination.
	coordination *coordinationProcess
	// incarnation counts the starts and ends of the process. Events that an earlier incarnation has scheduled are ignored.
	incarnation int
	// up is set while the process exists, also while it is frozen.
	up bool
	// frozenUntil is the time at which a frozen process resumes.
	frozenUntil time.Duration
	// inbox contains the messages and calls that have arrived at a frozen process.
	inbox []any

	// The fields up to restartDelay describe the membership.

	// removed is set once the machine is permanently removed from the deployment.
	removed bool
	// successor is the machine that has replaced this one.
	successor *machine
	// isReplacement is set on a machine that has replaced another one.
	isReplacement bool
	// isBeingReplaced is set from the start of a planned replacement of this machine on.
	isBeingReplaced bool
	// leaveDeadline is the time at which a leaving process is killed if it has not stopped; 0 if the process is not leaving.
	leaveDeadline time.Duration
	// restartDelay is the time from the planned stop of the process to its restart; 0 if it does not restart.
	restartDelay time.Duration

	// The remaining fields describe the disk.

	// sessionDisk is the stored snapshot of the sessions, and sessionWrite the one that is being written; nil if there is none.
	sessionDisk, sessionWrite []sessions.Record
	// disk contains the stored records.
	disk []any
	// lostDisks counts the losses of the disk.
	lostDisks int
	// recordsInFile is the number of records in the present file, including those that are not yet on disk.
	recordsInFile int
	// queued are the jobs that wait for the next sync, and syncing are the jobs of the sync in progress.
	queued       []storeJob
	syncing      []storeJob
	isSyncing    bool
	syncingSince time.Duration
	// stalledUntil is the time until which syncs of a stalled disk do not complete.
	stalledUntil time.Duration
}

// config returns the configuration of the node, with the changes that a planted flaw makes to it.
func (m *machine) config() chain.Config {
	takeoverDelay := chainLeaseDuration + takeoverSlack
	if m.sim.options.Placement {
		takeoverDelay += orderTimeout
	}
	returnDelay := takeoverDelay + leaseDuration
	switch m.sim.options.Flaw {
	case NoTakeoverDelay:
		takeoverDelay, returnDelay = 0, 0
	case NoReturnDelay:
		returnDelay = takeoverDelay
	}
	return chain.Config{
		Self:            chain.Member{ID: m.id(), Name: m.address, Address: m.address},
		Apply:           m.sim.apply,
		Seeds:           m.sim.seeds,
		MaxFailures:     m.sim.options.MostFailures,
		PingInterval:    pingInterval,
		SuspectTimeout:  suspectTimeout,
		ProposalTimeout: proposalTimeout,
		LeaseDuration:   chainLeaseDuration,
		TakeoverDelay:   takeoverDelay,
		ReturnDelay:     returnDelay,
		FirstNonce:      m.firstNonce(),
		Jitter: func(d time.Duration) time.Duration {
			return time.Duration(m.sim.random.Int64N(int64(d) + 1))
		},
	}
}

// nonceDistance is the difference between the first nonces of two successive incarnations.
const nonceDistance = 1 << 32

// firstNonce returns the first nonce of the present incarnation.
func (m *machine) firstNonce() uint64 {
	if m.sim.options.Flaw == RepeatNonces {
		return 0
	}
	return uint64(m.incarnation) * nonceDistance
}

// id returns the identifier of the member, which changes with each loss of the disk.
func (m *machine) id() chain.MemberID {
	if m.sim.options.Flaw == VoteAfterWipe {
		return genesisID(m.address)
	}
	return chain.MemberID(fmt.Sprintf("%s/%d", m.address, m.lostDisks))
}

// genesisID returns the identifier of the member that has a machine's first disk.
func genesisID(address string) chain.MemberID { return chain.MemberID(address + "/0") }

// start starts the process. Genesis is set if the whole system starts for the first time.
func (m *machine) start(genesis bool) {
	m.incarnation++
	m.up = true
	m.inbox = nil
	m.leaveDeadline = 0
	m.queued = nil
	m.syncing = nil
	m.isSyncing = false
	m.recordsInFile = maxRecordsInFile // the first record begins a new file
	if !genesis {
		m.sim.refreshSeeds()
	}
	out := m.startNode(genesis)
	m.startSessions()
	m.startCoordination()
	m.process(out)
	m.startPlacer()
	m.tick(m.incarnation)
}

// startNode creates the node: from the records on the disk if there are any, otherwise as a member of the first view or as a
// joiner.
func (m *machine) startNode(genesis bool) (out chain.Output) {
	now := m.sim.now
	isGenesisMember := (genesis || m.sim.options.Flaw == VoteAfterWipe) && slices.Contains(m.sim.seeds, m.address)
	switch {
	case len(m.disk) > 0:
		m.node = chain.Restore(m.config(), now, m.disk)
	case isGenesisMember:
		m.node, out = chain.NewGenesis(m.config(), now, m.sim.genesisView(), log{})
	default:
		m.node, out = chain.NewJoiner(m.config(), now, log{})
	}
	m.requests = chain.NewPendingRequests(m.node, callTimeout)
	return out
}

// genesisView returns the first view, whose members are the seeds.
func (sim *Simulation) genesisView() chain.View {
	view := chain.View{Number: 1, Token: 1, Holder: genesisID(sim.seeds[0])}
	for _, seed := range sim.seeds {
		view.Voters = append(view.Voters, chain.Member{ID: genesisID(seed), Address: seed})
		view.Chain = append(view.Chain, genesisID(seed))
	}
	return view
}

// restart starts a process that was killed, unless the machine was removed.
func (m *machine) restart() {
	if !m.up && !m.removed {
		m.frozenUntil = 0
		m.start(false)
	}
}

// kill ends the process. A random prefix of the records whose sync is in progress reaches the disk; queued records are lost.
func (m *machine) kill() {
	m.persistTorn()
	m.killSessions()
	m.incarnation++
	m.up = false
	m.inbox = nil
	m.queued = nil
	m.syncing = nil
	m.isSyncing = false
	m.disk = m.sim.options.Flaw.restartRecords(m.disk, m.node)
}

// isRunning reports whether the process is up and not frozen.
func (m *machine) isRunning() bool { return m.up && m.sim.now >= m.frozenUntil }

// tick does the periodic work of the process and schedules the next tick.
func (m *machine) tick(incarnation int) {
	if m.incarnation != incarnation || !m.up {
		return
	}
	if !m.isRunning() {
		m.sim.at(m.frozenUntil, func() { m.thaw(incarnation) })
		return
	}
	diskHealthy := !m.isSyncing || m.sim.now-m.syncingSince <= diskTimeout
	m.node.SetDiskHealthy(diskHealthy)
	if !m.node.HasQuorum(m.sim.now) {
		m.node.SetSeeds(m.sim.seeds) // a process without a quorum reads its settings again
	}
	m.process(m.node.Tick(m.sim.now))
	m.observe()
	if m.sessions != nil {
		m.sessions.tick()
	}
	if m.placer != nil {
		m.placer.tick()
	}
	if m.coordination != nil {
		m.coordination.tick()
	}
	if m.stopIfLeft() {
		return
	}
	m.sim.after(tickInterval, func() { m.tick(incarnation) })
}

// thaw resumes a frozen process, which handles the messages that have arrived meanwhile.
func (m *machine) thaw(incarnation int) {
	if m.incarnation != incarnation || !m.up {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, message := range inbox {
		m.receive(message)
	}
	m.tick(incarnation)
}

// receive passes a message to the component that it is addressed to. A frozen process stores it in its inbox.
func (m *machine) receive(message any) {
	if !m.up {
		return
	}
	if !m.isRunning() {
		m.inbox = append(m.inbox, message)
		return
	}
	if sync, ok := message.(protocol.LoadLedgerSync); ok {
		m.placer.receiveSync(sync)
		return
	}
	if isSessionMessage(message) {
		m.sessions.receive(message)
		return
	}
	if m.coordination != nil && m.receiveCoordination(message) {
		return
	}
	m.process(m.node.Receive(m.sim.now, message))
	m.observe()
}

// receiveCoordination handles a message of the coordination service. It returns false if the message is not one.
func (m *machine) receiveCoordination(message any) bool {
	call, isCall := message.(bufferedCall)
	switch {
	case isCall:
		m.coordination.resume(call)
	case isCoordinationMessage(message):
		m.coordination.receive(message)
	default:
		return false
	}
	return true
}

// process carries out an output of the node: it sends immediate messages, and stores the records before it sends the others.
func (m *machine) process(out chain.Output) {
	if out.ViewInstalled && m.sessions != nil {
		m.sessions.replica.RestartSync()
	}
	if out.ViewInstalled && m.coordination != nil {
		m.coordination.viewInstalled()
	}
	for _, envelope := range out.ImmediateMessages {
		m.sim.send(m, envelope)
	}
	if len(out.Records) == 0 && len(out.Messages) == 0 {
		return
	}
	if m.sim.options.Flaw == SendBeforeSync {
		m.deliver(out.Messages)
		out.Messages = nil
	}
	m.queued = append(m.queued, storeJob{records: m.recordsToStore(out.Records), messages: out.Messages})
	m.startSync(m.incarnation)
}

// deliver sends messages whose records are stored. Messages to the machine itself are handled immediately.
func (m *machine) deliver(messages []chain.Envelope) {
	for _, envelope := range messages {
		if envelope.To == m.address {
			m.process(m.node.Receive(m.sim.now, envelope.Message))
			continue
		}
		m.sim.send(m, envelope)
		m.sendEarlyCommit(envelope)
	}
	m.observe()
}

// observe lets the checker examine the visible state, and answers the requests and watches that are ready.
func (m *machine) observe() {
	m.sim.checker.observe(m)
	if m.isRunning() {
		m.requests.AnswerReady(m.sim.now)
		if m.coordination != nil {
			m.coordination.answerWatches()
		}
	}
}

// gracePeriod is the time after the stop signal after which the platform kills a process.
const gracePeriod = 8 * time.Second

// leave begins a planned stop. The process restarts after restartDelay, or never if that is 0.
func (m *machine) leave(restartDelay time.Duration) {
	m.node.Leave(m.sim.now)
	if m.coordination != nil {
		m.coordination.watches.Stop()
	}
	m.leaveDeadline = m.sim.now + gracePeriod
	if m.sim.options.Flaw == StopWithoutAgreement {
		m.leaveDeadline = m.sim.now + gracePeriod/2
	}
	m.restartDelay = restartDelay
}

// stopIfLeft ends a leaving process that can stop or whose grace period is over. It reports whether it ended the process.
func (m *machine) stopIfLeft() bool {
	if m.leaveDeadline == 0 {
		return false
	}
	canStop := m.canStop()
	if m.sim.now < m.leaveDeadline && !canStop {
		return false
	}
	m.kill()
	if m.restartDelay > 0 {
		m.sim.after(m.restartDelay, m.restart)
		return true
	}
	if canStop {
		m.sim.checkReplicas(m)
	}
	m.removed = true
	return true
}

// canStop reports whether a leaving process can stop. A planted flaw may let it stop too early.
func (m *machine) canStop() bool {
	switch m.sim.options.Flaw {
	case StopAsSurplusVoter:
		return !m.node.IsInChain()
	case StopBeforeReplicated:
		view := m.node.View()
		_, isVoter := view.Voter(m.node.Self().ID)
		isSurplus := isVoter && len(view.Voters) > 2*m.sim.options.MostFailures+1
		return !m.node.IsInChain() && !isSurplus
	}
	return m.node.CanStop(m.sim.now)
}
