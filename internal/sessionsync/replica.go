package sessionsync

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// Config configures a Replica.
type Config struct {
	// Self is the address of this member.
	Self string
	// TTL is the time without a heartbeat after which an endpoint expires.
	TTL time.Duration
	// RenewalInterval is the time between two broadcasts of renewals.
	RenewalInterval time.Duration
	// AntiEntropyInterval is the time between two comparisons with a peer.
	AntiEntropyInterval time.Duration
	// FullSyncTimeout is the time after which a full sync is complete although peers have not answered.
	FullSyncTimeout time.Duration
	// DepartureTimeout is the time that all voters have to store a departure before a majority is enough.
	DepartureTimeout time.Duration
	// MaxClockStep bounds by how much the session clock advances at once. After a pause of the whole process the heartbeats of
	// that time are still unread: no endpoint may expire by it.
	MaxClockStep time.Duration
	// FirstNumber precedes the numbers of this incarnation's departures. The caller draws it anew for each start of a process, so
	// that an acknowledgement to an earlier incarnation acknowledges nothing.
	FirstNumber uint64
	// RandomIndex returns a random number below its argument.
	RandomIndex func(n int) int
	// CanStore is false for a member without a store: it acknowledges no departure, to its peers or by itself.
	CanStore bool
}

// CallID identifies a call of an endpoint, which is to be answered.
type CallID uint64

// Answer answers a call. The error is nil if the endpoint's notice was accepted.
type Answer struct {
	Call CallID
	Err  error
}

// Envelope is a message with the address of its receiver.
type Envelope struct {
	To      string
	Message any
}

// Output is what the caller is to do after an input.
type Output struct {
	Messages []Envelope
	Answers  []Answer
	// Departing are the endpoints whose departure is being replicated, for the log.
	Departing []Departing
	// Snapshot is to be written to disk in place of the last one; nil for none. The caller reports the end to Stored.
	Snapshot []sessions.Record
}

// Departing is an endpoint that has said that it leaves.
type Departing struct {
	ID    string
	State sessions.State
}

func (o *Output) send(to string, message any) {
	o.Messages = append(o.Messages, Envelope{To: to, Message: message})
}

func (o *Output) answer(call CallID, err error) {
	o.Answers = append(o.Answers, Answer{Call: call, Err: err})
}

func (o *Output) add(other Output) {
	o.Messages = append(o.Messages, other.Messages...)
	o.Answers = append(o.Answers, other.Answers...)
	o.Departing = append(o.Departing, other.Departing...)
}

// Replica is one replica of the table of sessions. See the package comment for its contract.
type Replica struct {
	config   Config
	table    *sessions.Table
	clock    time.Duration // the session clock: it advances while this member has a quorum
	lastTick time.Duration

	sync           fullSync
	renewalsDue    time.Duration
	antiEntropyDue time.Duration

	departures   map[uint64]*departure
	lastNumber   uint64
	acknowledged map[string]sessions.State // by endpoint, up to which state its departure has been acknowledged

	store storeState
}

// New returns a replica that has only what was restored from disk. For how long the process was down is not known: each
// endpoint gets a full TTL.
func New(config Config, restored []sessions.Record) *Replica {
	r := &Replica{
		config: config, table: sessions.New(config.TTL), departures: map[uint64]*departure{}, lastNumber: config.FirstNumber,
		acknowledged: map[string]sessions.State{},
	}
	for _, record := range restored {
		record.Age = 0
		r.table.Merge(0, record)
	}
	return r
}

// Table returns the table, to be read and for overlays to be set.
func (r *Replica) Table() *sessions.Table { return r.table }

// Heartbeat stores a heartbeat of an endpoint. One that announces draining is answered once that is replicated. Without a quorum
// it is refused, so that the endpoint turns to a member that proxies can follow.
func (r *Replica) Heartbeat(now time.Duration, core Core, id string, heartbeat sessions.Heartbeat, call CallID) Output {
	var out Output
	if !core.HasQuorum {
		out.answer(call, errNoQuorum())
		return out
	}
	r.table.ApplyHeartbeat(r.clock, id, heartbeat)
	if heartbeat.State == sessions.Draining {
		return r.replicateDeparture(now, core, id, sessions.Draining, call)
	}
	if _, ok := r.table.Get(id); !ok {
		out.answer(call, errTableFull())
		return out
	}
	out.answer(call, nil)
	return out
}

// Deregister stores that an endpoint has departed, and answers once that is replicated.
func (r *Replica) Deregister(now time.Duration, core Core, id string, call CallID) Output {
	if !core.HasQuorum {
		return Output{Answers: []Answer{{Call: call, Err: errNoQuorum()}}}
	}
	r.table.Deregister(r.clock, id)
	return r.replicateDeparture(now, core, id, sessions.Departed, call)
}

// Tick does what time alone makes due.
func (r *Replica) Tick(now time.Duration, core Core) Output {
	sinceLastTick := now - r.lastTick
	r.lastTick = now
	if core.HasQuorum {
		// Without a quorum the session clock stands still: heartbeats are then refused, and no endpoint may expire by that.
		r.clock += min(sinceLastTick, r.config.MaxClockStep)
	}
	r.table.ExpireTTLs(r.clock)
	out := r.updateFullSync(now, core)
	out.add(r.compareWithPeer(now, core))
	out.add(r.expireDepartures(now, core))
	return out
}

// Flush ends a batch of inputs: it sends the peers what is new, and writes what is due.
func (r *Replica) Flush(now time.Duration, core Core) Output {
	out := r.broadcast(now, core)
	out.Snapshot = r.snapshotIfDue(now)
	return out
}

// Receive handles a message of a peer. Messages of other types are ignored.
func (r *Replica) Receive(now time.Duration, core Core, message any) Output {
	switch m := message.(type) {
	case protocol.SessionUpdate:
		return r.handleUpdate(m)
	case protocol.SessionAck:
		return r.countStored(now, core, m.Ask, m.From)
	case protocol.SessionSnapshotRequest:
		return r.handleSnapshotRequest(m)
	case protocol.SessionSnapshot:
		r.handleSnapshot(m)
	case protocol.SessionDigest:
		return r.handleDigest(m)
	case protocol.SessionRange:
		return r.handleRange(m)
	}
	return Output{}
}

func (r *Replica) merge(records []sessions.Record) {
	for _, record := range records {
		r.table.Merge(r.clock, record)
	}
}

// hasReached reports whether the table has an endpoint at least as far in its life cycle as a state.
func (r *Replica) hasReached(id string, state sessions.State) bool {
	known, ok := r.table.Get(id)
	return ok && !known.State.Before(state)
}

// peers returns the addresses of the other voters.
func (r *Replica) peers(core Core) []string {
	var peers []string
	for _, voter := range core.Voters {
		if voter != r.config.Self {
			peers = append(peers, voter)
		}
	}
	return peers
}

func errNoQuorum() error { return errkind.New(errkind.Unavailable, "no majority is in touch") }

func errTableFull() error { return errkind.New(errkind.Unavailable, "the table of sessions is full") }
