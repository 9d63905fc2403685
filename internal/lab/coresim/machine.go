package coresim

import (
	"fmt"
	"slices"
	"time"

	"dykering/internal/chain"
)

// machine is one machine of the core with its process and its disk.
type machine struct {
	world   *World
	address string
	node    *chain.Node
	// requests are the operators' and readers' that wait here.
	requests *chain.PendingRequests
	life     int // of the process; what an earlier one has begun does not count
	lost     int // how often the disk was lost
	up       bool
	removed  bool
	newcomer bool // it has come in the place of another one
	replaced bool // another one has come in its place, and it is to leave

	frozenUntil time.Duration
	inbox       []any // that came while it was frozen

	leaveBy   time.Duration // when a leaving process ends whatever the view is; 0 for one that does not leave
	returnsIn time.Duration // a process that has left starts again after so long; 0 for never
	successor *machine      // that takes the place of one which is gone for good

	disk         []any // records that are stored
	records      int   // handed over since the last snapshot
	jobs         []job
	inWriting    []job
	writing      bool
	writingSince time.Duration
	stalledUntil time.Duration
}

func (m *machine) config() chain.Config {
	pause := leaseFor + thawSlack
	returnPause := pause + leaseDuration
	switch m.world.options.Flaw {
	case NoHolderPause:
		pause, returnPause = 0, 0
	case NoReturnPause:
		returnPause = pause
	}
	return chain.Config{
		Self:  chain.Member{ID: m.id(), Name: m.address, Address: m.address},
		Apply: apply, Seeds: m.world.seeds, MaxFailures: m.world.options.MostFailures,
		PingInterval: pingEvery, SuspectTimeout: suspectAfter, ProposalTimeout: proposeTimeout,
		LeaseDuration: leaseFor, TakeoverDelay: pause, ReturnDelay: returnPause,
		FirstNonce: m.firstNonce(),
		Jitter:     func(d time.Duration) time.Duration { return time.Duration(m.world.random.Int64N(int64(d) + 1)) },
	}
}

// livesApart is how far the numbers of the pings of two lives of a process are apart.
const livesApart = 1 << 32

func (m *machine) firstNonce() uint64 {
	if m.world.options.Flaw == NoncesRepeat {
		return 0
	}
	return uint64(m.life) * livesApart
}

func (m *machine) id() chain.MemberID {
	if m.world.options.Flaw == VoteAfterWipe {
		return chain.MemberID(m.address + "/0")
	}
	return chain.MemberID(fmt.Sprintf("%s/%d", m.address, m.lost))
}

// start starts the process. First tells that the whole system starts for the first time.
func (m *machine) start(first bool) {
	m.life++
	m.up, m.writing, m.jobs, m.inWriting, m.inbox, m.leaveBy, m.records = true, false, nil, nil, nil, 0, mostRecords
	if !first {
		m.world.newSeeds()
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
	m.requests = chain.NewPendingRequests(m.node, callPatience)
	m.act(out)
	m.tick(m.life)
}

func (m *machine) restart() {
	if !m.up && !m.removed {
		m.frozenUntil = 0
		m.start(false)
	}
}

// observe answers the requests that can be, and has the checker look at what callers are shown.
func (m *machine) observe() {
	m.world.checker.watch(m)
	if m.runs() {
		m.requests.AnswerReady(m.world.now)
	}
}

// runs tells whether the process runs.
func (m *machine) runs() bool { return m.up && m.world.now >= m.frozenUntil }

func (m *machine) tick(life int) {
	if m.life != life || !m.up {
		return
	}
	if !m.runs() {
		m.world.at(m.frozenUntil, func() { m.thaw(life) })
		return
	}
	behind := m.writing && m.world.now-m.writingSince > diskPatience
	m.node.SetDiskHealthy(!behind)
	if !m.node.HasQuorum(m.world.now) {
		m.node.SetSeeds(m.world.seeds) // as it reads them again
	}
	m.act(m.node.Tick(m.world.now))
	m.observe()
	if m.endOfLeave() {
		return
	}
	m.world.after(tickEvery, func() { m.tick(life) })
}

func (m *machine) thaw(life int) {
	if m.life != life || !m.up {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, message := range inbox {
		m.hear(message)
	}
	m.tick(life)
}

func (m *machine) hear(message any) {
	if !m.up {
		return
	}
	if !m.runs() {
		m.inbox = append(m.inbox, message)
		return
	}
	m.act(m.node.Receive(m.world.now, message))
	m.observe()
}

// act carries an output out.
func (m *machine) act(out chain.Output) {
	for _, envelope := range out.ImmediateMessages {
		m.world.send(m, envelope)
	}
	if len(out.Records) == 0 && len(out.Messages) == 0 {
		return
	}
	if m.world.options.Flaw == AckBeforeSync {
		m.deliver(out.Messages)
		out.Messages = nil
	}
	m.jobs = append(m.jobs, job{records: m.recorded(out.Records), messages: out.Messages})
	m.write(m.life)
}

func (m *machine) deliver(messages []chain.Envelope) {
	for _, envelope := range messages {
		if envelope.To == m.address {
			m.act(m.node.Receive(m.world.now, envelope.Message))
			continue
		}
		m.world.send(m, envelope)
		m.early(envelope)
	}
	m.observe()
}

// kill ends the process. Of what was being written a part may be stored; what waited is lost.
func (m *machine) kill() {
	var torn []any
	for _, j := range m.inWriting {
		torn = append(torn, j.records...)
	}
	m.persist(torn[:m.world.random.IntN(len(torn)+1)])
	m.life++
	m.up = false
	m.jobs, m.inWriting, m.inbox, m.writing = nil, nil, nil, false
	m.disk = m.world.options.Flaw.stored(m.disk, m.node)
}

// stopWithin is how long a leaving process waits for the others to do without it.
const stopWithin = 4 * time.Second

// leave has the process end as the platform has it do: once the others do without it. It starts again after a time, or is
// gone for good where that is 0.
func (m *machine) leave(returnsIn time.Duration) {
	m.node.Leave()
	m.leaveBy, m.returnsIn = m.world.now+stopWithin, returnsIn
}

// endOfLeave ends a leaving process that may end. It tells whether it did.
func (m *machine) endOfLeave() bool {
	agreed := m.leaveBy != 0 && m.mayEnd()
	if m.leaveBy == 0 || m.world.now < m.leaveBy && !agreed {
		return false
	}
	m.kill()
	if agreed && m.returnsIn == 0 {
		m.world.checkCopies(m)
	}
	if m.returnsIn == 0 {
		m.removed = true
		return true
	}
	m.world.after(m.returnsIn, m.restart)
	return true
}

func (m *machine) mayEnd() bool {
	switch m.world.options.Flaw {
	case LeaveAsVoter:
		return !m.node.IsInChain()
	case LeaveUncopied:
		view := m.node.View()
		_, voter := view.Voter(m.node.Self().ID)
		return !m.node.IsInChain() && !(voter && len(view.Voters) > 2*m.world.options.MostFailures+1)
	}
	return m.node.CanStop()
}
