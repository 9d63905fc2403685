package chain

import (
	"time"
)

// resendsPerSuspectTimeout is how often an uncommitted entry is sent again within Config.SuspectTimeout, so that a single
// lost message is repeated before the failure detector suspects a member.
const resendsPerSuspectTimeout = 3

// Propose appends an operation at the head and returns its sequence number. If this member is not the head, is sealed, or its
// chain is too short, Propose returns false and changes nothing. The operation is committed later, or never.
func (n *Node) Propose(operation []byte) (seq uint64, out Output, ok bool) {
	// A shorter chain would commit entries that are lost if MaxFailures members lose their disks.
	if !n.IsHead() || n.IsSealed() || len(n.view.Chain) < n.minReplicas() {
		return 0, Output{}, false
	}
	entry := Entry{Seq: n.state.Seq + 1, Operation: operation}
	out = n.appendAndForward([]Entry{entry})
	return entry.Seq, out, true
}

// minReplicas returns the smallest number of members that must persist an entry before it is committed.
func (n *Node) minReplicas() int { return min(n.config.MaxFailures+1, len(n.view.Voters)) }

// appendAndForward appends entries to the log and forwards them. The successor receives an entry only after this member has
// persisted it, because messages wait for the records of the same output.
func (n *Node) appendAndForward(entries []Entry) Output {
	var out Output
	for _, entry := range entries {
		n.appendEntry(entry)
		out.Records = append(out.Records, EntryRecord{entry})
	}
	out.Messages = n.forward(entries)
	return out
}

func (n *Node) handleAppend(m Append) Output {
	// A sealed member must not append entries: its promise has reported the state from which the next view may start.
	if m.View != n.view.Number || n.IsSealed() {
		return Output{}
	}
	position := n.view.Position(n.self.ID)
	if position < 1 || n.view.Chain[position-1] != m.From {
		return Output{}
	}
	// Messages may be lost or reordered. Only the entries that continue the log without a gap are appended; the predecessor
	// sends the other entries again.
	var next []Entry
	nextSeq := n.state.Seq + 1
	for _, entry := range m.Entries {
		if entry.Seq == nextSeq {
			next = append(next, entry)
			nextSeq++
		}
	}
	if len(next) == 0 {
		return n.retransmit(m.Entries)
	}
	return n.appendAndForward(next)
}

// retransmit forwards the entries that this member already has. The predecessor has sent them again because it does not know
// that they are committed: the message to the successor or the announcement of the commit was lost.
func (n *Node) retransmit(entries []Entry) Output {
	var known []Entry
	for _, entry := range entries {
		if entry.Seq <= n.state.Seq {
			known = append(known, entry)
		}
	}
	return Output{Messages: n.forward(known)}
}

// forward sends entries to the successor. The tail instead announces to all voters that the entries are committed. It sends
// the announcement to itself too, because an entry is committed only once the tail has persisted its record.
func (n *Node) forward(entries []Entry) []Envelope {
	position := n.view.Position(n.self.ID)
	if position < 0 || len(entries) == 0 {
		return nil
	}
	if position+1 < len(n.view.Chain) {
		successor, _ := n.view.Voter(n.view.Chain[position+1])
		message := Append{From: n.self.ID, View: n.view.Number, Entries: entries}
		return []Envelope{{To: successor.Address, Message: message}}
	}
	last := entries[len(entries)-1].Seq
	var out []Envelope
	for _, voter := range n.view.Voters {
		message := Committed{From: n.self.ID, View: n.view.Number, Seq: last}
		out = append(out, Envelope{To: voter.Address, Message: message})
	}
	return out
}

// resend forwards the entries that are not known to be committed, at most resendsPerSuspectTimeout times within
// Config.SuspectTimeout.
func (n *Node) resend(now time.Duration) []Envelope {
	if !n.IsInChain() || n.IsSealed() || n.committed >= n.state.Seq {
		return nil
	}
	if now-n.lastResendAt < n.config.SuspectTimeout/resendsPerSuspectTimeout {
		return nil
	}
	n.lastResendAt = now
	return n.forward(n.entriesAfter(n.committed))
}

// handleCommitted advances the commit position to the one that a member of the same view has reported.
func (n *Node) handleCommitted(from MemberID, view, seq uint64) {
	if view != n.view.Number || !n.IsInChain() {
		return
	}
	n.committed = max(n.committed, min(seq, n.state.Seq))
	n.commitKnown = n.commitKnown || from == n.view.Tail()
}
