package sessionsync

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// Config configures a Replica.
type Config struct {
	// Self is the internal address of this member.
	Self string
	// TTL is the time without a heartbeat after which an endpoint expires.
	TTL time.Duration
	// RenewalInterval is the time between two broadcasts of renewals.
	RenewalInterval time.Duration
	// AntiEntropyInterval is the time between two comparisons with a peer.
	AntiEntropyInterval time.Duration
	// FullSyncTimeout is the time after which a full sync is complete even if peers have not answered.
	FullSyncTimeout time.Duration
	// DepartureTimeout is the time that all voters have to store a departure before a majority is enough.
	DepartureTimeout time.Duration
	// MaxClockStep bounds how far the session clock advances in one tick. After a pause of the whole process, the
	// heartbeats of that time are still unread, and no endpoint may expire because of the pause.
	MaxClockStep time.Duration
	// FirstNumber is the number after which this incarnation counts its departures. The caller draws it at random at
	// each start of the process, so that an acknowledgement for an earlier incarnation has no effect.
	FirstNumber uint64
	// RandomIndex returns a random number in [0, n).
	RandomIndex func(n int) int
	// CanStore is false for a member without a store. Such a member acknowledges no departure, neither its own nor
	// those of its peers.
	CanStore bool
}

// CallID identifies a call of an endpoint that is to be answered.
type CallID uint64

// Answer is the answer to a call. Err is nil if the notice of the endpoint was accepted.
type Answer struct {
	Call CallID
	Err  error
}

// Envelope is a message with the address of its recipient.
type Envelope struct {
	To      string
	Message any
}

// Output holds what the caller has to do after an input.
type Output struct {
	Messages []Envelope
	Answers  []Answer
	// Departing are the endpoints whose departure has begun to be replicated, for the log.
	Departing []Departing
	// Snapshot is to be written to disk in place of the last one; nil if there is none to write. The caller reports the
	// result to SnapshotStored.
	Snapshot []sessions.Record
}

// Departing is an endpoint that drains or has deregistered.
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
	acknowledged map[string]sessions.State // by endpoint: the last state that was acknowledged as a departure

	store storeState
}

// New returns a replica with the sessions that were restored from disk. Each endpoint gets a full TTL, because it is
// unknown how long the process was down.
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

// Table returns the table of sessions. Callers may read it and set overlays.
func (r *Replica) Table() *sessions.Table { return r.table }

// Heartbeat stores a heartbeat of an endpoint. A heartbeat that announces draining is answered once it is replicated.
// Without a quorum a heartbeat is rejected, so that the endpoint turns to a member that proxies can follow.
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

// Deregister stores that an endpoint has departed, and answers the call once this is replicated.
func (r *Replica) Deregister(now time.Duration, core Core, id string, call CallID) Output {
	if !core.HasQuorum {
		return Output{Answers: []Answer{{Call: call, Err: errNoQuorum()}}}
	}
	r.table.Deregister(r.clock, id)
	return r.replicateDeparture(now, core, id, sessions.Departed, call)
}

// Tick does the work that depends only on the time.
func (r *Replica) Tick(now time.Duration, core Core) Output {
	sinceLastTick := now - r.lastTick
	r.lastTick = now
	if core.HasQuorum {
		// Without a quorum the session clock does not advance: heartbeats are rejected, which must not expire endpoints.
		r.clock += min(sinceLastTick, r.config.MaxClockStep)
	}
	r.table.ExpireTTLs(r.clock)
	out := r.updateFullSync(now, core)
	out.add(r.compareWithPeer(now, core))
	out.add(r.expireDepartures(now, core))
	return out
}

// Flush ends a batch of inputs. It sends the changes to the peers, and returns a snapshot if one is due.
func (r *Replica) Flush(now time.Duration, core Core) Output {
	out := r.broadcast(now, core)
	out.Snapshot = r.snapshotIfDue(now)
	return out
}

// Receive handles a message of a peer. It ignores messages of unknown types.
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

// hasReached reports whether the table has an endpoint in a state or in a later one.
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
