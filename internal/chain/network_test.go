package chain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// testNetwork runs members in memory under the control of a test. The test decides when records are persisted and which
// messages arrive. The trace records all events except pings and pongs.
type testNetwork struct {
	now      time.Duration
	members  []*testMember // in the order in which they were added
	inFlight []testMessage
	trace    strings.Builder
}

// testMember is a process with its disk.
type testMember struct {
	name     string
	address  string
	disk     []any    // persisted records
	unsynced []Output // not yet persisted, oldest first
	node     *Node    // nil while the process is not running
	requests *PendingRequests
}

type testMessage struct {
	from     string
	envelope Envelope
}

const testRequestTimeout = 4 * time.Second

func (t *testNetwork) tracef(format string, args ...any) { fmt.Fprintf(&t.trace, format+"\n", args...) }

func testConfig(name, address string) Config {
	return Config{
		Self: Member{ID: MemberID(name), Address: address},
		Apply: func(value any, operation []byte) any {
			return strings.TrimSpace(value.(string) + " " + string(operation))
		},
		Seeds:           []string{"a", "b", "c"},
		MaxFailures:     1,
		PingInterval:    200 * time.Millisecond,
		SuspectTimeout:  time.Second,
		ProposalTimeout: 500 * time.Millisecond,
		LeaseDuration:   time.Second,
		TakeoverDelay:   1500 * time.Millisecond,
		ReturnDelay:     3 * time.Second,
		Jitter:          func(time.Duration) time.Duration { return 0 },
	}
}

// startGenesis starts the members of the first view, head first. Their addresses are their names.
func (t *testNetwork) startGenesis(names []string) {
	view := View{Number: 1, Token: 1, Holder: MemberID(names[0])}
	for _, name := range names {
		view.Voters = append(view.Voters, Member{ID: MemberID(name), Address: name})
		view.Chain = append(view.Chain, MemberID(name))
	}
	for _, name := range names {
		node, out := NewGenesis(testConfig(name, name), t.now, view, "")
		t.add(name, name, node, out)
	}
}

// startJoiner starts a member with an empty disk.
func (t *testNetwork) startJoiner(name, address string) {
	node, out := NewJoiner(testConfig(name, address), t.now, "")
	t.add(name, address, node, out)
}

func (t *testNetwork) add(name, address string, node *Node, out Output) {
	m := &testMember{name: name, address: address, node: node, requests: NewPendingRequests(node, testRequestTimeout)}
	t.members = append(t.members, m)
	m.disk = out.Records
}

func (t *testNetwork) member(name string) *testMember {
	for _, m := range t.members {
		if m.name == name {
			return m
		}
	}
	panic("unknown member " + name)
}

// receiver returns the running member at an address, or nil if there is none.
func (t *testNetwork) receiver(address string) *testMember {
	for _, m := range t.members {
		if m.address == address && m.node != nil {
			return m
		}
	}
	return nil
}

// crash ends a process. Its unpersisted records and unsent messages are lost.
func (t *testNetwork) crash(m *testMember) {
	m.node, m.requests, m.unsynced = nil, nil, nil
}

func (t *testNetwork) restart(m *testMember) {
	m.node = Restore(testConfig(m.name, m.address), t.now, m.disk)
	m.requests = NewPendingRequests(m.node, testRequestTimeout)
}

// process handles the output that a member has returned.
func (t *testNetwork) process(m *testMember, out Output) {
	for _, envelope := range out.ImmediateMessages {
		t.send(m, envelope)
	}
	if out.ViewInstalled {
		t.tracef("%s installs view %s", m.name, describeView(m.node.View()))
	}
	for _, record := range out.Records {
		t.tracef("%s appends %s", m.name, describeRecord(record))
	}
	if len(out.Records) > 0 || len(out.Messages) > 0 {
		m.unsynced = append(m.unsynced, out)
	}
	m.requests.AnswerReady(t.now)
}

func (t *testNetwork) send(m *testMember, envelope Envelope) {
	if description := describeMessage(envelope.Message); description != "" && envelope.To != m.address {
		t.tracef("%s->%s %s", m.name, envelope.To, description)
	}
	t.inFlight = append(t.inFlight, testMessage{from: m.name, envelope: envelope})
}

// persist writes a member's pending records to its disk and then sends its pending messages.
func (t *testNetwork) persist(m *testMember) {
	outputs := m.unsynced
	m.unsynced = nil
	for _, out := range outputs {
		m.disk = append(m.disk, out.Records...)
		for _, envelope := range out.Messages {
			t.send(m, envelope)
		}
	}
}

// deliver delivers the matching messages in flight. Messages to a member that is not running are lost.
func (t *testNetwork) deliver(matches func(testMessage) bool) {
	messages := t.take(matches)
	for _, message := range messages {
		if m := t.receiver(message.envelope.To); m != nil {
			t.process(m, m.node.Receive(t.now, message.envelope.Message))
		}
	}
}

// take removes and returns the matching messages in flight.
func (t *testNetwork) take(matches func(testMessage) bool) []testMessage {
	var taken []testMessage
	t.inFlight = slices.DeleteFunc(t.inFlight, func(message testMessage) bool {
		if matches(message) {
			taken = append(taken, message)
			return true
		}
		return false
	})
	return taken
}

func anyMessage(testMessage) bool { return true }

// stabilize persists records and delivers messages until there are none left.
func (t *testNetwork) stabilize() {
	for {
		for _, m := range t.members {
			if m.node != nil {
				t.persist(m)
			}
		}
		if len(t.inFlight) == 0 {
			return
		}
		t.deliver(anyMessage)
	}
}

// tick advances the time and ticks the running members.
func (t *testNetwork) tick(duration time.Duration) {
	t.now += duration
	for _, m := range t.members {
		if m.node != nil {
			t.process(m, m.node.Tick(t.now))
		}
	}
}

func (t *testNetwork) write(m *testMember, operation string) {
	contains := func(value any) bool { return slices.Contains(strings.Fields(value.(string)), operation) }
	t.process(m, m.requests.Write(t.now, Write{
		Decide: func(latest any) Decision {
			return Decision{AlreadyApplied: contains(latest), Operation: []byte(operation)}
		},
		IsApplied: contains,
		Respond: func(err error) {
			if err != nil {
				t.tracef("%s answers write %s: %v", m.name, operation, err)
				return
			}
			t.tracef("%s answers write %s: committed", m.name, operation)
		},
	}))
}

func (t *testNetwork) read(m *testMember) {
	t.process(m, m.requests.Read(t.now, Read{Respond: func(state State, err error) {
		if err != nil {
			t.tracef("%s answers read: %v", m.name, err)
			return
		}
		t.tracef("%s answers read: %q", m.name, state.Value)
	}}))
}

// traceStatus writes each member's state to the trace.
func (t *testNetwork) traceStatus() {
	for _, m := range t.members {
		if m.node == nil {
			t.tracef("%s not running", m.name)
			continue
		}
		status := m.node.status()
		var notes []string
		if status.Sealed {
			notes = append(notes, "sealed")
		}
		if token, holds := m.node.HoldsLease(t.now); holds {
			notes = append(notes, fmt.Sprintf("lease token %d", token))
		}
		t.tracef("%s view %s latest %d committed %d %s", m.name, describeView(m.node.View()), status.Seq, status.Committed, strings.Join(notes, ", "))
	}
}

func describeView(view View) string {
	var voters, chain []string
	for _, voter := range view.Voters {
		voters = append(voters, string(voter.ID))
	}
	for _, id := range view.Chain {
		chain = append(chain, string(id))
	}
	return fmt.Sprintf("%d (voters %s; chain %s; holder %s, token %d)", view.Number,
		strings.Join(voters, " "), strings.Join(chain, ">"), view.Holder, view.Token)
}

func describeRecord(record any) string {
	switch r := record.(type) {
	case EntryRecord:
		return fmt.Sprintf("entry %d %q", r.Entry.Seq, r.Entry.Operation)
	case PromiseRecord:
		return fmt.Sprintf("promise %d.%s", r.Ballot.Counter, r.Ballot.Proposer)
	case AcceptRecord:
		return fmt.Sprintf("accepted %d.%s of view %d", r.Accepted.Ballot.Counter, r.Accepted.Ballot.Proposer, r.Accepted.Proposal.View.Number)
	case InstallRecord:
		return fmt.Sprintf("view %d from state %d", r.Proposal.View.Number, r.Proposal.Base.Seq)
	case LeaseRecord:
		return fmt.Sprintf("lease token %d", r.Token)
	}
	panic(fmt.Sprintf("unexpected record %T", record))
}

// describeMessage returns the trace's description of a message, or "" for a message that the trace omits.
func describeMessage(message any) string {
	number := func(n ProposalNumber) string { return fmt.Sprintf("%d.%s", n.Counter, n.Proposer) }
	switch m := message.(type) {
	case Prepare:
		return fmt.Sprintf("Prepare view %d, number %s", m.Number, number(m.Ballot))
	case Promise:
		return fmt.Sprintf("Promise view %d, number %s, state %d", m.Number, number(m.Ballot), m.State.Seq)
	case Reject:
		return fmt.Sprintf("Reject view %d, promised %s", m.Number, number(m.Promised))
	case Accept:
		return fmt.Sprintf("Accept number %s: view %s from state %d", number(m.Ballot), describeView(m.Proposal.View), m.Proposal.Base.Seq)
	case AcceptedReply:
		return fmt.Sprintf("AcceptedReply view %d, number %s", m.Number, number(m.Ballot))
	case Install:
		return fmt.Sprintf("Install view %d from state %d", m.Proposal.View.Number, m.Proposal.Base.Seq)
	case Append:
		return fmt.Sprintf("Append view %d, entries %d-%d", m.View, m.Entries[0].Seq, m.Entries[len(m.Entries)-1].Seq)
	case Committed:
		return fmt.Sprintf("Committed view %d, seq %d", m.View, m.Seq)
	}
	return ""
}

var errUsage = errors.New("unknown command or wrong number of arguments")

// execute runs one command of a transcript and returns its trace. The comment of TestInteractions lists the commands.
func (t *testNetwork) execute(command string) (string, error) {
	t.trace.Reset()
	words := strings.Fields(command)
	name, args := words[0], words[1:]
	switch {
	case name == "start" && len(args) > 0:
		t.startGenesis(args)
	case name == "join" && len(args) == 2:
		t.startJoiner(args[0], args[1])
	case name == "write" && len(args) == 2:
		t.write(t.member(args[0]), args[1])
	case name == "read" && len(args) == 1:
		t.read(t.member(args[0]))
	case name == "persist" && len(args) == 1:
		t.persist(t.member(args[0]))
	case name == "deliver" && len(args) <= 2:
		t.deliver(between(args))
	case name == "drop" && len(args) <= 2:
		t.tracef("%d lost", len(t.take(between(args))))
	case name == "crash" && len(args) == 1:
		t.crash(t.member(args[0]))
	case name == "restart" && len(args) == 1:
		t.restart(t.member(args[0]))
	case name == "leave" && len(args) == 1:
		t.member(args[0]).node.Leave(t.now)
	case name == "stabilize" && len(args) == 0:
		t.stabilize()
	case name == "status" && len(args) == 0:
		t.traceStatus()
	case (name == "tick" || name == "run") && len(args) == 1:
		return t.executeTimed(name, args[0])
	default:
		return "", errUsage
	}
	return t.trace.String(), nil
}

// runStep is the time between two ticks of the "run" command.
const runStep = 100 * time.Millisecond

func (t *testNetwork) executeTimed(name, argument string) (string, error) {
	duration, err := time.ParseDuration(argument)
	if err != nil {
		return "", err
	}
	if name == "tick" {
		t.tick(duration)
		return t.trace.String(), nil
	}
	for end := t.now + duration; t.now < end; {
		t.tick(runStep)
		t.stabilize()
	}
	return t.trace.String(), nil
}

// between returns a filter for messages by sender (the first argument) and receiver (the second one). A missing argument
// matches every member.
func between(args []string) func(testMessage) bool {
	return func(message testMessage) bool {
		return (len(args) < 1 || message.from == args[0]) && (len(args) < 2 || message.envelope.To == args[1])
	}
}
