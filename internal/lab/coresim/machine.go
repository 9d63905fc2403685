package coresim

import (
	"fmt"
	"slices"
	"time"

	"dykering/internal/chain"
)

// machine is one machine of the core with its process and its disk.
type machine struct {
	world   *Simulation
	address string
	node    *chain.Node
	// requests are the operators' and readers' that wait here.
	requests        *chain.PendingRequests
	incarnation     int // of the process; what an earlier one has begun does not count
	lostDisks       int // how often the disk was lost
	up              bool
	removed         bool
	isReplacement   bool // it has come in the place of another one
	isBeingReplaced bool // another one has come in its place, and it is to leave

	frozenUntil time.Duration
	inbox       []any // that came while it was frozen

	leaveDeadline time.Duration // when a leaving process ends whatever the view is; 0 for one that does not leave
	restartDelay  time.Duration // a process that has left starts again after so long; 0 for never
	successor     *machine      // that takes the place of one which is gone for good

	disk          []any // records that are stored
	recordsInFile int   // handed over since the last snapshot
	queued        []job
	syncing       []job
	isSyncing     bool
	syncingSince  time.Duration
	stalledUntil  time.Duration
}

func (m *machine) config() chain.Config {
	pause := chainLeaseDuration + takeoverSlack
	returnPause := pause + leaseDuration
	switch m.world.options.Flaw {
	case NoTakeoverDelay:
		pause, returnPause = 0, 0
	case NoReturnDelay:
		returnPause = pause
	}
	return chain.Config{
		Self:  chain.Member{ID: m.id(), Name: m.address, Address: m.address},
		Apply: apply, Seeds: m.world.seeds, MaxFailures: m.world.options.MostFailures,
		PingInterval: pingInterval, SuspectTimeout: suspectTimeout, ProposalTimeout: proposalTimeout,
		LeaseDuration: chainLeaseDuration, TakeoverDelay: pause, ReturnDelay: returnPause,
		FirstNonce: m.firstNonce(),
		Jitter:     func(d time.Duration) time.Duration { return time.Duration(m.world.random.Int64N(int64(d) + 1)) },
	}
}

// livesApart is how far the numbers of the pings of two lives of a process are apart.
const nonceDistance = 1 << 32

func (m *machine) firstNonce() uint64 {
	if m.world.options.Flaw == RepeatNonces {
		return 0
	}
	return uint64(m.incarnation) * nonceDistance
}

func (m *machine) id() chain.MemberID {
	if m.world.options.Flaw == VoteAfterWipe {
		return chain.MemberID(m.address + "/0")
	}
	return chain.MemberID(fmt.Sprintf("%s/%d", m.address, m.lostDisks))
}

// start starts the process. First tells that the whole system starts for the first time.
func (m *machine) start(first bool) {
	m.incarnation++
	m.up, m.isSyncing, m.queued, m.syncing, m.inbox, m.leaveDeadline, m.recordsInFile = true, false, nil, nil, nil, 0, maxRecordsInFile
	if !first {
		m.world.refreshSeeds()
	}
	now := m.world.now
	var out chain.Output
	genesis := first && slices.Contains(m.world.seeds, m.address) || m.world.options.Flaw == VoteAfterWipe && slices.Contains(m.world.seeds, m.address)
	switch {
	case len(m.disk) > 0:
		m.node = chain.Restore(m.config(), now, m.disk)
	case genesis:
		view := chain.View{Number: 1, Token: 1}
		for _, seed := range m.world.seeds {
			id := chain.MemberID(seed + "/0")
			view.Voters = append(view.Voters, chain.Member{ID: id, Address: seed})
			view.Chain = append(view.Chain, id)
		}
		view.Holder = view.Chain[0]
		m.node, out = chain.NewGenesis(m.config(), now, view, log{})
	default:
		m.node, out = chain.NewJoiner(m.config(), now, log{})
	}
	m.requests = chain.NewPendingRequests(m.node, callTimeout)
	m.process(out)
	m.tick(m.incarnation)
}

func (m *machine) restart() {
	if !m.up && !m.removed {
		m.frozenUntil = 0
		m.start(false)
	}
}

// observe answers the requests that can be, and has the checker look at what callers are shown.
func (m *machine) observe() {
	m.world.checker.observe(m)
	if m.isRunning() {
		m.requests.AnswerReady(m.world.now)
	}
}

// runs tells whether the process runs.
func (m *machine) isRunning() bool { return m.up && m.world.now >= m.frozenUntil }

func (m *machine) tick(life int) {
	if m.incarnation != life || !m.up {
		return
	}
	if !m.isRunning() {
		m.world.at(m.frozenUntil, func() { m.thaw(life) })
		return
	}
	behind := m.isSyncing && m.world.now-m.syncingSince > diskTimeout
	m.node.SetDiskHealthy(!behind)
	if !m.node.HasQuorum(m.world.now) {
		m.node.SetSeeds(m.world.seeds) // as it reads them again
	}
	m.process(m.node.Tick(m.world.now))
	m.observe()
	if m.stopIfLeft() {
		return
	}
	m.world.after(tickInterval, func() { m.tick(life) })
}

func (m *machine) thaw(life int) {
	if m.incarnation != life || !m.up {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, message := range inbox {
		m.receive(message)
	}
	m.tick(life)
}

func (m *machine) receive(message any) {
	if !m.up {
		return
	}
	if !m.isRunning() {
		m.inbox = append(m.inbox, message)
		return
	}
	m.process(m.node.Receive(m.world.now, message))
	m.observe()
}

// act carries an output out.
func (m *machine) process(out chain.Output) {
	for _, envelope := range out.ImmediateMessages {
		m.world.send(m, envelope)
	}
	if len(out.Records) == 0 && len(out.Messages) == 0 {
		return
	}
	if m.world.options.Flaw == SendBeforeSync {
		m.deliver(out.Messages)
		out.Messages = nil
	}
	m.queued = append(m.queued, job{records: m.recordsToStore(out.Records), messages: out.Messages})
	m.startSync(m.incarnation)
}

func (m *machine) deliver(messages []chain.Envelope) {
	for _, envelope := range messages {
		if envelope.To == m.address {
			m.process(m.node.Receive(m.world.now, envelope.Message))
			continue
		}
		m.world.send(m, envelope)
		m.sendEarlyCommit(envelope)
	}
	m.observe()
}

// kill ends the process. Of what was being written a part may be stored; what waited is lost.
func (m *machine) kill() {
	var torn []any
	for _, j := range m.syncing {
		torn = append(torn, j.records...)
	}
	m.persist(torn[:m.world.random.IntN(len(torn)+1)])
	m.incarnation++
	m.up = false
	m.queued, m.syncing, m.inbox, m.isSyncing = nil, nil, nil, false
	m.disk = m.world.options.Flaw.restartRecords(m.disk, m.node)
}

// stopWithin is how long a leaving process waits for the others to do without it.
const leaveTimeout = 4 * time.Second

// leave has the process end as the platform has it do: once the others do without it. It starts again after a time, or is
// gone for good where that is 0.
func (m *machine) leave(returnsIn time.Duration) {
	m.node.Leave()
	m.leaveDeadline, m.restartDelay = m.world.now+leaveTimeout, returnsIn
}

// endOfLeave ends a leaving process that may end. It tells whether it did.
func (m *machine) stopIfLeft() bool {
	agreed := m.leaveDeadline != 0 && m.canStop()
	if m.leaveDeadline == 0 || m.world.now < m.leaveDeadline && !agreed {
		return false
	}
	m.kill()
	if agreed && m.restartDelay == 0 {
		m.world.checkReplicas(m)
	}
	if m.restartDelay == 0 {
		m.removed = true
		return true
	}
	m.world.after(m.restartDelay, m.restart)
	return true
}

func (m *machine) canStop() bool {
	switch m.world.options.Flaw {
	case StopAsSurplusVoter:
		return !m.node.IsInChain()
	case StopBeforeReplicated:
		view := m.node.View()
		_, voter := view.Voter(m.node.Self().ID)
		return !m.node.IsInChain() && !(voter && len(view.Voters) > 2*m.world.options.MostFailures+1)
	}
	return m.node.CanStop()
}
