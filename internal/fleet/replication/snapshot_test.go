package replication

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"dykering/internal/fleet/replica"
)

// A loaded snapshot has the remaining lifetime of each fact. A snapshot that is too old, of another member, damaged
// anywhere in the file, or missing is rejected with an error and never with a panic.
func TestSnapshotRestoresRemainingLifetimesAndRejectsInvalidFiles(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	path := filepath.Join(t.TempDir(), "replica.db")
	facts := []replica.Fact{
		{Origin: "a", Subject: "s1", Stamp: replica.Stamp{Wall: 7}, Verdict: replica.Bad, Remaining: 10 * time.Second},
		{Origin: "b", Subject: "s2", Verdict: replica.Good, Remaining: 3 * time.Second},
	}
	if _, err := loadSnapshot(path, "me", now, time.Minute); !errors.Is(err, errNoSnapshot) {
		t.Fatal(err)
	}
	if err := storeSnapshot(path, "me", now, facts); err != nil {
		t.Fatal(err)
	}
	got, err := loadSnapshot(path, "me", now.Add(5*time.Second), time.Minute)
	if err != nil || len(got) != 1 || got[0].Remaining != 5*time.Second || got[0].Stamp != facts[0].Stamp {
		t.Fatalf("loaded %+v, %v, want only the first fact with 5 s remaining", got, err)
	}
	for want, load := range map[string]func() error{
		"saved 5m0s ago": func() error { _, err := loadSnapshot(path, "me", now.Add(5*time.Minute), time.Minute); return err },
		"saved -1s ago":  func() error { _, err := loadSnapshot(path, "me", now.Add(-time.Second), time.Minute); return err },
		"of another":     func() error { _, err := loadSnapshot(path, "other", now, time.Minute); return err },
	} {
		if err := load(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want it to contain %q", err, want)
		}
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	broken := filepath.Join(t.TempDir(), "broken.db")
	try := func(data []byte) {
		if err := os.WriteFile(broken, data, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := loadSnapshot(broken, "me", now, time.Minute)
		switch {
		case err != nil:
			rejected++
		case len(got) != len(facts) || got[0] != facts[0] || got[1] != facts[1]:
			t.Fatalf("a damaged file was loaded as %+v", got)
		}
	}
	for cut := 0; cut < len(content); cut += 997 {
		try(content[:cut])
	}
	for at := 0; at < len(content); at += 61 { // many of the bytes are in unused pages, so their damage has no effect
		data := append([]byte(nil), content...)
		data[at] ^= 0x55
		try(data)
	}
	if rejected < 10 {
		t.Errorf("%d damaged files were rejected, want at least 10", rejected)
	}
	if err := withDatabase(path, false, func(db *bbolt.DB) error {
		return db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(snapshotBucket).Put(keyFacts, []byte("other")) })
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := loadSnapshot(path, "me", now, time.Minute); err == nil || !strings.Contains(err.Error(), "checksum") {
		t.Errorf("error %v, want it to name the checksum", err)
	}
}
