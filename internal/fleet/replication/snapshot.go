package replication

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"

	"dykering/internal/fleet/replica"
)

// snapshotFormat is the version of the file's format. A snapshot with another format is not loaded.
const snapshotFormat = 1

// openTimeout bounds the wait for the file's lock, which the previous process may still hold during a handover.
const openTimeout = time.Second

// The bucket and the keys in the database file.
var (
	snapshotBucket = []byte("replica")
	keyHeader      = []byte("head")
	keyFacts       = []byte("facts")
)

var (
	errNoSnapshot      = errors.New("snapshot file does not exist")
	errForeignSnapshot = errors.New("snapshot is of another fleet member, format or build")
	errChecksum        = errors.New("checksum of the facts does not match the header")
)

// snapshotHeader describes a snapshot. It is stored in the file as JSON.
type snapshotHeader struct {
	Format int    `json:"format"`
	Build  string `json:"build"`
	Self   string `json:"self"`
	// SavedAt is the time by Service.now, which includes the clock offset that the laboratory may configure.
	SavedAt  time.Time `json:"saved"`
	Checksum string    `json:"sum"` // Checksum is the SHA-256 of the encoded facts in hexadecimal.
}

// programBuild returns the path and version of the main module, so that the snapshot of another build is not loaded.
func programBuild() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Path + " " + info.Main.Version
	}
	return "unknown"
}

// withDatabase opens and locks the database file, and calls a function with it. Damage that bbolt does not check for
// makes it panic or read past the end of the mapped file. Both are returned as an error.
func withDatabase(path string, readOnly bool, do func(*bbolt.DB) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("snapshot: file is damaged: %v", p)
		}
	}()
	if _, statErr := os.Stat(path); readOnly && statErr != nil {
		return errNoSnapshot
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: readOnly})
	if err != nil {
		return fmt.Errorf("snapshot: open database: %w", err)
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	return do(db)
}

// loadSnapshot returns the facts in a member's snapshot file, with their remaining lifetimes.
func loadSnapshot(path, self string, now time.Time, ttl time.Duration) (facts []replica.Fact, err error) {
	err = withDatabase(path, true, func(db *bbolt.DB) error {
		return db.View(func(tx *bbolt.Tx) error {
			facts, err = readSnapshot(tx.Bucket(snapshotBucket), self, now, ttl)
			return err
		})
	})
	return facts, err
}

// readSnapshot checks the header and returns the facts in the bucket. b is nil if the file has no such bucket.
func readSnapshot(b *bbolt.Bucket, self string, now time.Time, ttl time.Duration) (facts []replica.Fact, err error) {
	if b == nil {
		return nil, errForeignSnapshot
	}
	var h snapshotHeader
	if err := json.Unmarshal(b.Get(keyHeader), &h); err != nil {
		return nil, fmt.Errorf("snapshot: decode header: %w", err)
	}
	if h.Format != snapshotFormat || h.Self != self || h.Build != programBuild() {
		return nil, fmt.Errorf("%w: format %d, member %q, build %q", errForeignSnapshot, h.Format, h.Self, h.Build)
	}
	data := b.Get(keyFacts)
	if checksum(data) != h.Checksum {
		return nil, fmt.Errorf("snapshot: %w", errChecksum)
	}
	age := now.Sub(h.SavedAt)
	if age < 0 || age >= ttl {
		return nil, fmt.Errorf("snapshot: saved %v ago, but facts expire after %v", age.Round(time.Second), ttl)
	}
	m, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("snapshot: decode facts: %w", err)
	}
	for _, fact := range m.Facts {
		if fact.Remaining -= age; fact.Remaining > 0 {
			facts = append(facts, fact)
		}
	}
	return facts, nil
}

// storeSnapshot writes a snapshot in one transaction, so that the previous snapshot survives a crash.
func storeSnapshot(path, self string, now time.Time, facts []replica.Fact) error {
	data := encode(message{Facts: facts})
	h, err := json.Marshal(snapshotHeader{
		Format: snapshotFormat, Build: programBuild(), Self: self, SavedAt: now, Checksum: checksum(data),
	})
	if err != nil {
		return fmt.Errorf("snapshot: encode header: %w", err)
	}
	return withDatabase(path, false, func(db *bbolt.DB) error {
		return db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(snapshotBucket)
			if err != nil {
				return fmt.Errorf("snapshot: create bucket: %w", err)
			}
			return errors.Join(b.Put(keyHeader, h), b.Put(keyFacts, data))
		})
	})
}

// checksum returns the SHA-256 of data in hexadecimal.
func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// restoreSnapshot merges the snapshot of the previous process into the store. If the snapshot cannot be loaded, the store
// stays empty and the file is renamed, so that the next snapshot can be written.
func (s *Service) restoreSnapshot(store *replica.Store) {
	path := s.section.SnapshotPath
	if path == "" {
		return
	}
	now := s.now()
	facts, err := loadSnapshot(path, s.self, now.Wall, time.Duration(s.section.TTL))
	switch {
	case errors.Is(err, errNoSnapshot):
		return
	case err != nil:
		renamed := path + ".refused"
		s.log.Warn("fleet.replica.cold", zap.String("snapshot", path), zap.Error(err),
			zap.String("aside", renamed), zap.NamedError("rename", os.Rename(path, renamed)))
		return
	}
	merged := 0
	for _, fact := range facts {
		if changed, _ := store.Merge(now, fact); changed {
			merged++
		}
	}
	s.log.Info("fleet.replica.warm", zap.String("snapshot", path), zap.Int("facts", merged),
		zap.String("digest", store.Digest()))
}

// saveSnapshot writes the facts in the store to the snapshot file, if one is configured.
func (s *Service) saveSnapshot(store *replica.Store) {
	path := s.section.SnapshotPath
	if path == "" {
		return
	}
	now := s.now()
	if err := storeSnapshot(path, s.self, now.Wall, store.Facts(now)); err != nil {
		s.log.Warn("fleet.replica.unsaved", zap.String("snapshot", path), zap.Error(err))
		return
	}
	s.counters.Snapshots.Add(1)
}
