package budgets

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dykering/internal/fixture"
	"dykering/internal/fleet/budget"
)

// Guards the format of the messages among members, the commands in the Raft log, the ledger in its snapshot and the state
// that the control address serves, against fixtures written by a released build.
func TestMessagesAndCommandsOfReleasedBuildAreReadAndWrittenAlike(t *testing.T) {
	for name, record := range map[string]any{
		"envelope": &envelope{},
		"command":  &budget.Command{},
		"ledger":   &budget.Ledger{},
	} {
		fixture.MessagePack(t, "testdata/compatibility/"+name+".msgpack", record, encode, decode)
	}
	fixture.JSON(t, "testdata/compatibility/state.json", &State{})
}

const (
	compatibleVoter = "b1"
	compatibleLease = 10 * time.Second
)

var compatiblePool = []float64{100, 50}

// writeLedger writes the database of a single voter: a snapshot of an empty ledger, followed by three committed commands.
func writeLedger(t *testing.T, dir string) {
	t.Helper()
	opened, err := openStorage(dir, []uint64{1}, encode(budget.NewLedger(compatiblePool)))
	if err != nil {
		t.Fatal(err)
	}
	commands := []budget.Command{
		{Grants: []budget.Grant{
			{Holder: "b1#7", Version: 1, Seq: 3, Shares: []float64{10, 5}},
			{Holder: "b2#8", Version: 2, Seq: 4, Shares: []float64{20, 6}},
		}},
		{Grants: []budget.Grant{{Holder: "b1#7", Version: 3, Seq: 5, Shares: []float64{11, 7}}}, Ack: map[string]uint64{"b1#7": 3}},
		{Grants: []budget.Grant{{Holder: "b3#9", Version: 4, Seq: 6, Shares: []float64{30, 8}}}, Expire: map[string]uint64{"b2#8": 2}},
	}
	var entries []*raftpb.Entry
	for i, c := range commands {
		entries = append(entries, &raftpb.Entry{Term: proto.Uint64(2), Index: proto.Uint64(uint64(i) + 2), Data: encode(c)})
	}
	hard := &raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(1), Commit: proto.Uint64(uint64(len(commands)) + 1)}
	if err := opened.save(raft.Ready{HardState: hard, Entries: entries}); err != nil {
		t.Fatal(err)
	}
	if err := opened.close(); err != nil {
		t.Fatal(err)
	}
}

// Guards the format of a voter's database: a voter that opens the database of a released build applies its Raft log, and
// its ledger then holds the grants.
func TestRaftLogOfReleasedBuildIsApplied(t *testing.T) {
	const folder, file = "testdata/compatibility", "ledger.db"
	if fixture.Updating() {
		if err := os.Remove(filepath.Join(folder, file)); err != nil && !os.IsNotExist(err) {
			t.Fatal(err)
		}
		writeLedger(t, folder)
	}
	data, err := os.ReadFile(filepath.Join(folder, file))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, file), data, 0o600); err != nil {
		t.Fatal(err)
	}
	terms := budget.Terms{LeaseDuration: compatibleLease, MaxDrift: 0.01}
	v, err := newVoter(compatibleVoter, []string{compatibleVoter}, dir, terms, compatiblePool, zap.NewNop(),
		func(string, envelope) {})
	if err != nil {
		t.Fatal(err)
	}
	defer v.storage.close()
	if err := v.process(0); err != nil {
		t.Fatal(err)
	}
	fixture.Golden(t, "testdata/compatibility/ledger-applied.json", v.ledger)
	hard, _, err := v.storage.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	if hard.GetTerm() != 2 || hard.GetVote() != 1 || hard.GetCommit() != 4 || v.applied != 4 {
		t.Errorf("hard state %v, applied index %d, want term 2, vote 1, commit 4 and applied index 4", hard, v.applied)
	}
}
