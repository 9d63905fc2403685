package chain

import (
	"time"
)

// Propose appends an operation at the head. It is false where this member cannot take it.
func (n *Node) Propose(operation []byte) (seq uint64, out Output, ok bool) {
	if !n.IsHead() || n.IsSealed() || len(n.view.Chain) < n.minReplicas() {
		return 0, Output{}, false
	}
	entry := Entry{Seq: n.state.Seq + 1, Operation: operation}
	out = n.appendAndForward([]Entry{entry})
	return entry.Seq, out, true
}

// leastCopies is how many members must store what is committed.
func (n *Node) minReplicas() int { return min(n.config.MaxFailures+1, len(n.view.Voters)) }

// take stores entries and passes them on.
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
	if m.View != n.view.Number || n.IsSealed() {
		return Output{}
	}
	position := n.view.Position(n.self.ID)
	if position < 1 || n.view.Chain[position-1] != m.From {
		return Output{}
	}
	var fresh []Entry
	next := n.state.Seq + 1
	for _, entry := range m.Entries {
		if entry.Seq == next {
			fresh = append(fresh, entry)
			next++
		}
	}
	if len(fresh) == 0 {
		return n.forwardAgain(m.Entries)
	}
	return n.appendAndForward(fresh)
}

// passOn sends entries to the successor, or, at the tail, tells all that they are committed.
func (n *Node) forward(entries []Entry) []Envelope {
	position := n.view.Position(n.self.ID)
	if position < 0 || len(entries) == 0 {
		return nil
	}
	if position+1 < len(n.view.Chain) {
		next, _ := n.view.Voter(n.view.Chain[position+1])
		return []Envelope{{To: next.Address, Message: Append{From: n.self.ID, View: n.view.Number, Entries: entries}}}
	}
	last := entries[len(entries)-1].Seq
	var out []Envelope
	for _, voter := range n.view.Voters {
		out = append(out, Envelope{To: voter.Address, Message: Committed{From: n.self.ID, View: n.view.Number, Seq: last}})
	}
	return out
}

// passOnAgain passes on what was passed on before: the predecessor has sent it again because the end was not heard of.
func (n *Node) forwardAgain(entries []Entry) Output {
	var had []Entry
	for _, entry := range entries {
		if entry.Seq <= n.state.Seq {
			had = append(had, entry)
		}
	}
	return Output{Messages: n.forward(had)}
}

// resend sends what the successor does not have, or what was not heard to be committed.
func (n *Node) resend(now time.Duration) []Envelope {
	position := n.view.Position(n.self.ID)
	if position < 0 || n.IsSealed() || n.committed >= n.state.Seq {
		return nil
	}
	if now-n.lastResendAt < n.config.SuspectTimeout/3 {
		return nil
	}
	n.lastResendAt = now
	return n.forward(n.entriesAfter(n.committed))
}

func (n *Node) handleCommitted(from MemberID, view, seq uint64) {
	if view != n.view.Number || !n.IsInChain() {
		return
	}
	n.committed = max(n.committed, min(seq, n.state.Seq))
	n.commitKnown = n.commitKnown || from == n.view.Tail()
}
