package coresim

import "dykering/internal/chain"

// Flaw is a bug that is planted in the simulated processes, to show that the search finds it. The values are arguments and
// output of the commands and are stored in schedule files, so they must not change.
type Flaw string

// NoFlaw plants no bug.
const NoFlaw Flaw = ""

// Flaws of persistence: a member acknowledges or promises something that its disk does not hold.
const (
	SendBeforeSync Flaw = "messages go out before their records are stored"
	AckAtHead      Flaw = "the head acknowledges what it alone has stored"
	EarlyCommit    Flaw = "the head tells that an entry is committed as it passes it on"
	VoteAfterWipe  Flaw = "a member whose disk was lost comes back as if it had it"
	ForgetPromise  Flaw = "a restarted member has forgotten its promises"
	RestartBehind  Flaw = "a restarted member has lost the newest record that it stored"
)

// Flaws of the agreement on views: a new view starts from a state that lacks an entry.
const (
	ShortPromise Flaw = "a promise leaves out the newest entry of its member"
	ShortInstall Flaw = "a view begins without the newest entry that was agreed on"
)

// Flaws of reads and rejections: a replaced or restarted member answers from its own state.
const (
	ReadUnconfirmed   Flaw = "the tail answers reads without a majority's word"
	ReadUncommitted   Flaw = "the tail answers reads with what it has not stored yet"
	RepeatNonces      Flaw = "a restarted member numbers its pings as in its life before"
	RejectUnconfirmed Flaw = "the head refuses without a majority's word"
)

// Flaws of the lease: two members act as the holder, or a fencing token does not protect against a former holder.
const (
	LeaseUnconfirmed Flaw = "the holder acts without a majority's word"
	NoTakeoverDelay  Flaw = "a new holder acts at once"
	NoReturnDelay    Flaw = "a former holder acts as soon as a new one"
	RestartWithLease Flaw = "a restarted holder acts as if it had waited its pause out"
	ConstantToken    Flaw = "the token does not rise with the holder"
)

// Flaws of the head's decision on an operation: it applies one twice, or one that conflicts.
const (
	ForgetApplied Flaw = "an operation that was taken is not known when it comes again"
	IgnoreBase    Flaw = "the head takes what builds on another version"
)

// Flaws of a planned stop: a leaving member ends while it is still needed.
const (
	StopAsSurplusVoter   Flaw = "a leaving member ends while it is one voter too many"
	StopBeforeReplicated Flaw = "a leaving member ends before others have on disk what it holds"
	StopWithoutAgreement Flaw = "a leaving member ends after half of the grace period though no majority has agreed"
)

// Flaws of the placement. Only a search with Options.Placement finds them.
const (
	OrderWithoutLease Flaw = "orders go out under a lease that was held once"
	ForgetLedger      Flaw = "a new holder of the placement begins with an empty ledger"
)

// Flaws of the sessions. Only a search with Options.Sessions finds them.
const (
	AckDepartureAtOnce Flaw = "an endpoint's departure is acknowledged before it is on any disk"
	ServeBeforeSync    Flaw = "a member serves streams before it has its peers' sessions"
)

// Flaws of the coordination service. Only a search with Options.Coordination finds them.
const (
	KeepHoldTimers        Flaw = "hold timers are not reset when a view is installed"
	RenewUnconfirmed      Flaw = "a renewal is answered without a majority's word"
	TokensPerIncarnation  Flaw = "fencing tokens are counted by each process"
	FinishAnyToken        Flaw = "a finish with an old token gives the lock back"
	NumbersPerIncarnation Flaw = "a number is counted by each process"
	RepeatedPutIsNew      Flaw = "a put that comes again gets another revision"
	WatchSkipsEvent       Flaw = "a watch skips an event"
	WatchUncommitted      Flaw = "a watch shows what is not committed"
	ReadAtAnyMember       Flaw = "a read is answered by any member"
	ExecuteDuplicates     Flaw = "a call that is delivered twice is executed twice"
	UnknownAsNotExecuted  Flaw = "an unknown outcome is answered as not executed"
)

// coordinationFlaws are the flaws that only a search with Options.Coordination finds.
var coordinationFlaws = []Flaw{
	KeepHoldTimers, RenewUnconfirmed, TokensPerIncarnation, FinishAnyToken, NumbersPerIncarnation, RepeatedPutIsNew,
	WatchSkipsEvent, WatchUncommitted, ReadAtAnyMember, ExecuteDuplicates, UnknownAsNotExecuted,
}

// Flaws returns all flaws that can be planted.
func Flaws() []Flaw {
	return append([]Flaw{
		SendBeforeSync, AckAtHead, EarlyCommit, VoteAfterWipe, ForgetPromise, RestartBehind, ShortPromise, ShortInstall,
		ReadUnconfirmed, ReadUncommitted, LeaseUnconfirmed, NoTakeoverDelay, NoReturnDelay, RestartWithLease, ConstantToken,
		RepeatNonces, RejectUnconfirmed, ForgetApplied, IgnoreBase, StopAsSurplusVoter, StopBeforeReplicated,
		StopWithoutAgreement, OrderWithoutLease, ForgetLedger, AckDepartureAtOnce, ServeBeforeSync,
	}, coordinationFlaws...)
}

// withoutLatest returns a state without its latest operation.
func withoutLatest(state chain.State) chain.State {
	value, ok := state.Value.(log)
	if !ok || len(value.operations) == 0 {
		return state
	}
	value.operations = value.operations[:len(value.operations)-1]
	return chain.State{Seq: state.Seq - 1, Value: value}
}

// message returns the message that a process with the flaw sends in place of a correct one.
func (f Flaw) message(message any) any {
	switch m := message.(type) {
	case chain.Promise:
		if f == ShortPromise && m.InChain {
			m.State = withoutLatest(m.State)
			return m
		}
	case chain.Ping:
		m.Status = f.status(m.Status)
		return m
	case chain.Pong:
		m.Status = f.status(m.Status)
		return m
	case chain.Install:
		if f == ShortInstall {
			m.Proposal.Base = withoutLatest(m.Proposal.Base)
			return m
		}
	}
	return message
}

// status returns the status that a process with the flaw reports in place of a correct one.
func (f Flaw) status(status chain.Status) chain.Status {
	if f == StopAsSurplusVoter {
		status.Leaving = false
	}
	return status
}

// sendEarlyCommit makes a head with the flaw EarlyCommit treat the entries that it forwards as committed.
func (m *machine) sendEarlyCommit(envelope chain.Envelope) {
	entries, ok := envelope.Message.(chain.Append)
	if m.sim.options.Flaw != EarlyCommit || !ok || !m.node.IsHead() {
		return
	}
	last := entries.Entries[len(entries.Entries)-1].Seq
	m.process(m.node.Receive(m.sim.now, chain.Committed{From: entries.From, View: entries.View, Seq: last}))
}

// restartRecords returns the records that a restarted process with the flaw reads, given those on its disk.
func (f Flaw) restartRecords(records []any, node *chain.Node) []any {
	switch {
	case f == ForgetPromise:
		return withoutPromises(records)
	case f == RestartBehind && len(records) > 1:
		return records[:len(records)-1]
	case f == RestartWithLease && node.View().Holder == node.Self().ID:
		return append(records[:len(records):len(records)], chain.LeaseRecord{Token: node.View().Token})
	}
	return records
}

// withoutPromises returns the records without promises and accepted proposals. Snapshots are kept without theirs.
func withoutPromises(records []any) []any {
	var kept []any
	for _, record := range records {
		switch r := record.(type) {
		case chain.PromiseRecord, chain.AcceptRecord:
		case chain.Snapshot:
			r.Promised, r.Accepted = chain.ProposalNumber{}, nil
			kept = append(kept, r)
		default:
			kept = append(kept, record)
		}
	}
	return kept
}
