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
	// ticksPerLease, electionTicks and heartbeatTicks make a leader that is silent for a third of a lease be replaced, and
	// have a heartbeat sent in each fifteenth.
	ticksPerLease  = 30
	electionTicks  = 10
	heartbeatTicks = 2
	// snapshotInterval is how many commands are kept before a snapshot replaces them.
	snapshotInterval = 512
	// maxInflightBytes bounds Raft's messages in flight to one voter, and its uncommitted entries.
	maxInflightBytes = 1 << 20
	// maxMessageSize bounds the entries in one of Raft's messages.
	maxMessageSize = maxInflightBytes / 4
	// maxInflightMessages bounds Raft's messages in flight to one voter.
	maxInflightMessages = 32
)

// voter is a replica of the ledger. The service's goroutine owns it.
type voter struct {
	node           *raft.RawNode
	storage        *storage
	voters         []string // by Raft's IDs, less 1
	terms          budget.Terms
	ledger         *budget.Ledger
	applied        uint64          // index of the last applied entry
	snapshotIndex  uint64          // index of the last snapshot
	grantor        *budget.Grantor // nil unless this voter leads and has applied what was committed before
	grantorTerm    uint64          // Raft's term of the grantor
	isCommandInLog bool            // a command is being replicated; there is one at a time
	log            *zap.Logger
	send           func(to string, m envelope)
}

// newVoter opens the storage and restores the ledger.
func newVoter(self string, voters []string, dir string, terms budget.Terms, pool []float64, log *zap.Logger,
	send func(string, envelope),
) (v *voter, err error) {
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i)+1)
	}
	opened, err := openStorage(dir, ids, encode(budget.NewLedger(pool)))
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	v = &voter{storage: opened, voters: voters, terms: terms, log: log, send: send}
	snapshot, err := opened.Snapshot()
	if err != nil {
		return nil, err
	}
	if err := v.restore(snapshot); err != nil {
		return nil, err
	}
	if !slices.Equal(v.ledger.Pools, pool) {
		return nil, fmt.Errorf("budgets: the ledger is of wholes that leave %v, the files now say %v: begin a new folder at all voters once all leases have ended", v.ledger.Pools, pool)
	}
	v.node, err = raft.NewRawNode(&raft.Config{
		ID:                        uint64(slices.Index(voters, self)) + 1,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   opened,
		Applied:                   v.applied,
		MaxSizePerMsg:             maxMessageSize,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxInflightBytes,
		MaxUncommittedEntriesSize: maxInflightBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    raftLogger{log},
	})
	if err != nil {
		return nil, fmt.Errorf("budgets: raft: %w", err)
	}
	return v, nil
}

// restore replaces the ledger by a snapshot.
func (v *voter) restore(snapshot *raftpb.Snapshot) error {
	ledger := &budget.Ledger{}
	if err := decode(snapshot.GetData(), ledger); err != nil {
		return fmt.Errorf("budgets: snapshot: %w", err)
	}
	if ledger.Grants == nil {
		ledger.Grants = map[string][]budget.Grant{}
	}
	v.ledger = ledger
	v.applied = snapshot.GetMetadata().GetIndex()
	v.snapshotIndex = v.applied
	return nil
}

// step hands Raft a message of another voter. The error is that of a message that does not fit.
func (v *voter) step(text []byte) error {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(text, m); err != nil {
		return fmt.Errorf("budgets: message: %w", err)
	}
	return v.node.Step(m)
}

// leader returns the leader, as far as this voter knows one.
func (v *voter) leader() (string, bool) { return v.memberOf(v.node.BasicStatus().Lead) }

// memberOf returns the member with one of Raft's IDs.
func (v *voter) memberOf(id uint64) (string, bool) {
	if id == 0 || id > uint64(len(v.voters)) {
		return "", false
	}
	return v.voters[id-1], true
}

// tick advances Raft's clock, and proposes the grantor's next command unless one is being replicated.
func (v *voter) tick(now time.Duration) {
	v.node.Tick()
	if v.grantor == nil || v.isCommandInLog {
		return
	}
	command, ok := v.grantor.NextCommand(now)
	if !ok {
		return
	}
	if err := v.node.Propose(encode(command)); err != nil {
		v.log.Debug("fleet.budget.unproposed", zap.Error(err)) // it is decided anew
		return
	}
	v.isCommandInLog = true
}

// process does what Raft is ready for: state is stored before messages that follow from it are sent, and committed
// entries are applied.
func (v *voter) process(now time.Duration) error {
	for v.node.HasReady() {
		ready := v.node.Ready()
		if err := v.storage.save(ready); err != nil {
			return err
		}
		if err := v.sendMessages(ready.Messages); err != nil {
			return err
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := v.restore(ready.Snapshot); err != nil {
				return err
			}
		}
		for _, entry := range ready.CommittedEntries {
			if err := v.apply(now, entry); err != nil {
				return err
			}
		}
		v.node.Advance(ready)
		v.checkLeadership()
		if err := v.compact(); err != nil {
			return err
		}
	}
	return nil
}

func (v *voter) sendMessages(messages []*raftpb.Message) error {
	for _, m := range messages {
		text, err := proto.Marshal(m)
		if err != nil {
			return fmt.Errorf("budgets: message: %w", err)
		}
		if to, ok := v.memberOf(m.GetTo()); ok {
			v.send(to, envelope{Raft: text})
		}
	}
	return nil
}

// checkLeadership drops the grantor once another voter may lead.
func (v *voter) checkLeadership() {
	status := v.node.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader && status.GetTerm() == v.grantorTerm
	if v.grantor == nil || isLeader {
		return
	}
	v.log.Info("fleet.budget.lead", zap.Bool("leads", false), zap.Uint64("term", status.GetTerm()))
	v.grantor, v.isCommandInLog = nil, false
}

// compact replaces the applied entries by a snapshot, now and then.
func (v *voter) compact() error {
	if v.applied-v.snapshotIndex < snapshotInterval {
		return nil
	}
	_, conf, err := v.storage.InitialState()
	if err != nil {
		return err
	}
	if err := v.storage.compact(v.applied, conf, encode(v.ledger)); err != nil {
		return err
	}
	v.snapshotIndex = v.applied
	return nil
}

// apply applies a committed entry to the ledger. The first entry of a leader's own term shows that it has applied all
// from before it: from then on it grants.
func (v *voter) apply(now time.Duration, entry *raftpb.Entry) error {
	if entry.GetIndex() <= v.applied {
		return nil
	}
	v.applied = entry.GetIndex()
	status := v.node.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader && entry.GetTerm() == status.GetTerm()
	if len(entry.GetData()) > 0 {
		if err := v.applyCommand(now, entry.GetData(), isLeader); err != nil {
			return err
		}
	}
	if isLeader && (v.grantor == nil || v.grantorTerm != entry.GetTerm()) {
		v.grantor = budget.NewGrantor(v.terms, v.ledger, now)
		v.grantorTerm, v.isCommandInLog = entry.GetTerm(), false
		v.log.Info("fleet.budget.lead", zap.Bool("leads", true), zap.Uint64("term", entry.GetTerm()),
			zap.Int("holders", len(v.ledger.Grants)))
	}
	return nil
}

// applyCommand applies a command. The leader sends the grants to their holders.
func (v *voter) applyCommand(now time.Duration, data []byte, isLeader bool) error {
	var command budget.Command
	if err := decode(data, &command); err != nil {
		return fmt.Errorf("budgets: command: %w", err)
	}
	given, rejected := v.ledger.Apply(command)
	if rejected != nil {
		v.log.Warn("fleet.budget.refused", zap.Error(rejected))
	}
	if !isLeader || v.grantor == nil {
		return nil
	}
	v.isCommandInLog = false
	v.grantor.Applied(now, given)
	for _, grant := range given {
		member, _ := splitHolder(grant.Holder)
		v.send(member, envelope{Grant: &grant})
	}
	return nil
}
