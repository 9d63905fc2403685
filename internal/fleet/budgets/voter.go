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
	// With ticksPerLease, electionTicks and heartbeatTicks, a leader that is silent for a third of a lease is replaced, and
	// a heartbeat is sent every fifteenth of a lease.
	ticksPerLease  = 30
	electionTicks  = 10
	heartbeatTicks = 2
	// snapshotInterval is the number of log entries after which a snapshot replaces them.
	snapshotInterval = 512
	// maxInflightBytes bounds the size of Raft's messages in flight to one voter, and of its uncommitted entries.
	maxInflightBytes = 1 << 20
	// maxMessageSize bounds the size in bytes of the entries in one Raft message.
	maxMessageSize = maxInflightBytes / 4
	// maxInflightMessages bounds the number of Raft's messages in flight to one voter.
	maxInflightMessages = 32
)

// voter is a replica of the ledger. Only the goroutine that owns the service's state uses it.
type voter struct {
	node           *raft.RawNode
	storage        *storage
	voters         []string // member IDs; the voter at index i has the Raft ID i+1
	terms          budget.Terms
	ledger         *budget.Ledger
	applied        uint64          // index of the last applied entry
	snapshotIndex  uint64          // index of the last snapshot
	grantor        *budget.Grantor // nil unless this voter leads and has applied all entries of earlier terms
	grantorTerm    uint64          // Raft term in which the grantor was created
	isCommandInLog bool            // a command is being replicated; at most one is at a time
	log            *zap.Logger
	send           func(to string, m envelope)
}

// newVoter opens a voter's storage, restores the ledger and starts Raft.
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
		return nil, fmt.Errorf("budgets: the ledger has the pools %v, but the configured quotas give %v: "+
			"once all leases have ended, configure a new directory at every voter", v.ledger.Pools, pool)
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
		return nil, fmt.Errorf("budgets: start Raft: %w", err)
	}
	return v, nil
}

// restore replaces the ledger by that of a snapshot.
func (v *voter) restore(snapshot *raftpb.Snapshot) error {
	ledger := &budget.Ledger{}
	if err := decode(snapshot.GetData(), ledger); err != nil {
		return fmt.Errorf("budgets: decode ledger in snapshot: %w", err)
	}
	if ledger.Grants == nil {
		ledger.Grants = map[string][]budget.Grant{}
	}
	v.ledger = ledger
	v.applied = snapshot.GetMetadata().GetIndex()
	v.snapshotIndex = v.applied
	return nil
}

// step passes a message of another voter to Raft. It returns an error if the message cannot be decoded or Raft rejects it.
func (v *voter) step(data []byte) error {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("budgets: decode Raft message: %w", err)
	}
	return v.node.Step(m)
}

// leader returns the member ID of the leader, or false if this voter knows none.
func (v *voter) leader() (string, bool) { return v.memberOf(v.node.BasicStatus().Lead) }

// memberOf returns the member ID of a voter by its Raft ID.
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
		v.log.Debug("fleet.budget.unproposed", zap.Error(err)) // the next tick proposes a new command
		return
	}
	v.isCommandInLog = true
}

// process handles all pending output of Raft. For each batch it stores the state, then sends the messages that depend on
// it, and applies the committed entries.
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

// sendMessages sends Raft's messages to other voters.
func (v *voter) sendMessages(messages []*raftpb.Message) error {
	for _, m := range messages {
		data, err := proto.Marshal(m)
		if err != nil {
			return fmt.Errorf("budgets: encode Raft message: %w", err)
		}
		if to, ok := v.memberOf(m.GetTo()); ok {
			v.send(to, envelope{Raft: data})
		}
	}
	return nil
}

// checkLeadership removes the grantor once another voter may be the leader.
func (v *voter) checkLeadership() {
	status := v.node.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader && status.GetTerm() == v.grantorTerm
	if v.grantor == nil || isLeader {
		return
	}
	v.log.Info("fleet.budget.lead", zap.Bool("leads", false), zap.Uint64("term", status.GetTerm()))
	v.grantor, v.isCommandInLog = nil, false
}

// compact replaces the applied entries by a snapshot if there are at least snapshotInterval of them.
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

// apply applies a committed entry to the ledger. When a leader applies the first entry of its own term, it has applied all
// entries of earlier terms, and creates its grantor.
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

// applyCommand applies a command to the ledger. The leader then sends the added grants to their holders.
func (v *voter) applyCommand(now time.Duration, data []byte, isLeader bool) error {
	var command budget.Command
	if err := decode(data, &command); err != nil {
		return fmt.Errorf("budgets: decode command in Raft log: %w", err)
	}
	added, rejected := v.ledger.Apply(command)
	if rejected != nil {
		v.log.Warn("fleet.budget.refused", zap.Error(rejected))
	}
	if !isLeader || v.grantor == nil {
		return nil
	}
	v.isCommandInLog = false
	v.grantor.Applied(now, added)
	for _, grant := range added {
		member, _ := splitHolder(grant.Holder)
		v.send(member, envelope{Grant: &grant})
	}
	return nil
}
