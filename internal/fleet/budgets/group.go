package budgets

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dykering/internal/fleet/budget"
)

const (
	// Of ticks, of which a lease has 30: a lead that is not heard for a third of a lease is replaced, and heartbeats come
	// each fifteenth.
	ticksOfLease   = 30
	electionTicks  = 10
	heartbeatTicks = 2
	// snapshotEvery is how many commands are kept before a snapshot takes their place.
	snapshotEvery = 512
	// logBytes bounds the messages of Raft that are under way to one voter, and entries not yet agreed on.
	logBytes = 1 << 20
)

// group is a voter's part in the group that replicates the ledger. The service's goroutine owns it.
type group struct {
	node    *raft.RawNode
	disk    *disk
	voters  []string
	terms   budget.Terms
	ledger  *budget.Ledger
	applied uint64
	snapped uint64
	grantor *budget.Grantor // nil while another leads, or what was agreed on before is not all applied
	term    uint64          // of the grantor
	busy    bool            // a command is being replicated
	log     *zap.Logger
	send    func(to string, m envelope)
}

func newGroup(self string, voters []string, dir string, terms budget.Terms, pool []float64, log *zap.Logger,
	send func(string, envelope),
) (*group, error) {
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i)+1)
	}
	d, err := openDisk(dir, ids, encode(budget.NewLedger(pool)))
	if err != nil {
		return nil, err
	}
	g := &group{disk: d, voters: voters, terms: terms, log: log, send: send}
	snap, err := d.Snapshot()
	if err == nil {
		err = g.restore(snap)
	}
	if err == nil && !slices.Equal(g.ledger.Pool, pool) {
		err = fmt.Errorf("budgets: the ledger is of wholes that leave %v, the files now say %v: begin a new folder at all voters once all leases have ended", g.ledger.Pool, pool)
	}
	if err == nil {
		g.node, err = raft.NewRawNode(&raft.Config{
			ID: uint64(slices.Index(voters, self)) + 1, ElectionTick: electionTicks,
			HeartbeatTick: heartbeatTicks, Storage: d, Applied: g.applied, MaxSizePerMsg: logBytes / 4, MaxInflightMsgs: 32,
			MaxInflightBytes: logBytes, MaxUncommittedEntriesSize: logBytes, CheckQuorum: true, PreVote: true,
			Logger: quiet{log},
		})
	}
	if err != nil {
		d.close()
		return nil, err
	}
	return g, nil
}

func (g *group) restore(snap *raftpb.Snapshot) error {
	l := &budget.Ledger{}
	if err := decode(snap.GetData(), l); err != nil {
		return fmt.Errorf("budgets: snapshot: %w", err)
	}
	if l.Grants == nil {
		l.Grants = map[string][]budget.Grant{}
	}
	g.ledger, g.applied, g.snapped = l, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	return nil
}

// step takes a message of Raft.
func (g *group) step(b []byte) error {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("budgets: message: %w", err)
	}
	return g.node.Step(m) // one that does not fit is told by the error
}

// leader is the voter that leads, as far as this one knows.
func (g *group) leader() (string, bool) {
	lead := g.node.BasicStatus().Lead
	if lead == 0 || lead > uint64(len(g.voters)) {
		return "", false
	}
	return g.voters[lead-1], true
}

// decide has the grantor's next command replicated, one at a time.
func (g *group) decide(now time.Duration) {
	if g.grantor == nil || g.busy {
		return
	}
	c, something := g.grantor.NextCommand(now)
	if !something {
		return
	}
	if err := g.node.Propose(encode(c)); err != nil {
		g.log.Debug("fleet.budget.unproposed", zap.Error(err)) // it is decided anew
		return
	}
	g.busy = true
}

// work carries out what Raft is ready for: it is kept, then sent, then applied.
func (g *group) work(now time.Duration) error {
	for g.node.HasReady() {
		rd := g.node.Ready()
		if err := g.disk.keep(rd); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			b, err := proto.Marshal(m)
			if err != nil {
				return fmt.Errorf("budgets: message: %w", err)
			}
			if to := m.GetTo(); to > 0 && to <= uint64(len(g.voters)) {
				g.send(g.voters[to-1], envelope{Raft: b})
			}
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.restore(rd.Snapshot); err != nil {
				return err
			}
		}
		for _, e := range rd.CommittedEntries {
			if e.GetIndex() <= g.applied {
				continue
			}
			g.applied = e.GetIndex()
			if err := g.apply(now, e); err != nil {
				return err
			}
		}
		g.node.Advance(rd)
		status := g.node.BasicStatus()
		if g.grantor != nil && (status.RaftState != raft.StateLeader || status.GetTerm() != g.term) {
			g.log.Info("fleet.budget.lead", zap.Bool("leads", false), zap.Uint64("term", status.GetTerm()))
			g.grantor, g.busy = nil, false
		}
		if g.applied-g.snapped >= snapshotEvery {
			_, conf, err := g.disk.InitialState()
			if err == nil {
				err = g.disk.compact(g.applied, conf, encode(g.ledger))
			}
			if err != nil {
				return err
			}
			g.snapped = g.applied
		}
	}
	return nil
}

// apply takes what the group agreed on into the ledger. The lead's first entry tells that it has all from before it:
// from then on it grants.
func (g *group) apply(now time.Duration, e *raftpb.Entry) error {
	status := g.node.BasicStatus()
	leads := status.RaftState == raft.StateLeader && e.GetTerm() == status.GetTerm()
	if len(e.GetData()) > 0 {
		var c budget.Command
		if err := decode(e.GetData(), &c); err != nil {
			return fmt.Errorf("budgets: command: %w", err)
		}
		given, refused := g.ledger.Apply(c)
		if refused != nil {
			g.log.Warn("fleet.budget.refused", zap.Error(refused))
		}
		if leads && g.grantor != nil {
			g.busy = false
			g.grantor.Applied(now, given)
			for _, x := range given {
				holder, _ := splitHolder(x.Holder)
				g.send(holder, envelope{Grant: &x})
			}
		}
	}
	if leads && (g.grantor == nil || g.term != e.GetTerm()) {
		g.grantor, g.term, g.busy = budget.NewGrantor(g.terms, g.ledger, now), e.GetTerm(), false
		g.log.Info("fleet.budget.lead", zap.Bool("leads", true), zap.Uint64("term", e.GetTerm()),
			zap.Int("holders", len(g.ledger.Grants)))
	}
	return nil
}

// quiet has Raft's own log at the level of debug, as what matters of it is told in our terms.
type quiet struct{ log *zap.Logger }

func (q quiet) Debug(v ...any)              {}
func (q quiet) Debugf(f string, v ...any)   {}
func (q quiet) Info(v ...any)               { q.say(fmt.Sprint(v...)) }
func (q quiet) Infof(f string, v ...any)    { q.say(fmt.Sprintf(f, v...)) }
func (q quiet) Warning(v ...any)            { q.say(fmt.Sprint(v...)) }
func (q quiet) Warningf(f string, v ...any) { q.say(fmt.Sprintf(f, v...)) }
func (q quiet) Error(v ...any)              { q.log.Warn("fleet.raft", zap.String("said", fmt.Sprint(v...))) }

func (q quiet) Errorf(f string, v ...any) {
	q.log.Warn("fleet.raft", zap.String("said", fmt.Sprintf(f, v...)))
}
func (q quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q quiet) say(text string)           { q.log.Debug("fleet.raft", zap.String("said", text)) }
