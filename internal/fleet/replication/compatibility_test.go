package replication

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"dykering/internal/fixture"
	"dykering/internal/fleet/replica"
)

// Guards the format of the messages among members, of the snapshot's header and of the state that the control address
// serves, against fixtures written by a released build.
func TestMessageOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	fixture.MessagePack(t, "testdata/compatibility/message.msgpack", &message{},
		func(m any) []byte { return encode(*m.(*message)) },
		func(b []byte, m any) (err error) {
			*m.(*message), err = decode(b)
			return err
		})
	fixture.JSON(t, "testdata/compatibility/state.json", &State{})
	fixture.JSON(t, "testdata/compatibility/head.json", &snapshotHeader{})
	if replica.Good != 1 || replica.Bad != 2 {
		t.Errorf("verdicts Good and Bad are %d and %d, but the wire format has 1 and 2", replica.Good, replica.Bad)
	}
}

// Guards the format of the snapshot file: the facts in the file of a released build are loaded.
func TestSnapshotOfReleasedBuildIsLoaded(t *testing.T) {
	const path, self, ttl = "testdata/compatibility/snapshot.db", "b1", time.Minute
	savedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if fixture.Updating() {
		var m message
		fixture.Fill(&m)
		if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
			t.Fatal(err)
		}
		for i := range m.Facts {
			m.Facts[i].Remaining += 10 * time.Second
		}
		if err := storeSnapshot(path, self, savedAt, m.Facts); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), "snapshot.db") // bbolt locks the file that it opens
	if err := os.WriteFile(copied, data, 0o600); err != nil {
		t.Fatal(err)
	}
	facts, err := loadSnapshot(copied, self, savedAt.Add(2*time.Second), ttl)
	if err != nil {
		t.Fatal(err)
	}
	fixture.Golden(t, "testdata/compatibility/snapshot.json", facts)
}
