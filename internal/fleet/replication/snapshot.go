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

// format is that of the snapshot; another is refused.
const format = 1

// openTimeout bounds the wait for the file's lock, that a process which hands over may still hold.
const openTimeout = time.Second

var (
	bucket             = []byte("replica")
	keyHead, keyFacts  = []byte("head"), []byte("facts")
	errNoSnapshot      = errors.New("there is none")
	errForeignSnapshot = errors.New("of another fleet member, format or build")
)

// head says what a snapshot is.
type head struct {
	Format int       `json:"format"`
	Build  string    `json:"build"`
	Self   string    `json:"self"`
	Saved  time.Time `json:"saved"` // by the wall's clock, set off or not as the process's is
	Sum    string    `json:"sum"`   // SHA-256 of the facts, as they are written
}

// build names the program, so that another one's snapshot is refused.
func build() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Path + " " + info.Main.Version
	}
	return "unknown"
}

// open opens the file and does something with it within its lock. A file that is damaged in ways that bbolt does not
// check makes it panic, or read past the file's end: both become an error here.
func open(path string, readOnly bool, do func(*bbolt.DB) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("snapshot: damaged: %v", p)
		}
	}()
	if _, gone := os.Stat(path); readOnly && gone != nil {
		return errNoSnapshot
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: readOnly})
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	return do(db)
}

// load reads the facts of a snapshot of this member, with what is left of each.
func load(path, self string, now time.Time, ttl time.Duration) (facts []replica.Fact, err error) {
	err = open(path, true, func(db *bbolt.DB) error {
		return db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket(bucket)
			if b == nil {
				return errForeignSnapshot
			}
			var h head
			if err := json.Unmarshal(b.Get(keyHead), &h); err != nil {
				return fmt.Errorf("snapshot: its head: %w", err)
			}
			if h.Format != format || h.Self != self || h.Build != build() {
				return fmt.Errorf("%w: format %d, member %q, build %q", errForeignSnapshot, h.Format, h.Self, h.Build)
			}
			text := b.Get(keyFacts)
			if sum := sha256.Sum256(text); hex.EncodeToString(sum[:]) != h.Sum {
				return errors.New("snapshot: its checksum does not fit")
			}
			age := now.Sub(h.Saved)
			if age < 0 || age >= ttl {
				return fmt.Errorf("snapshot: saved %v ago, facts hold for %v", age.Round(time.Second), ttl)
			}
			m, err := decode(text)
			if err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			for _, f := range m.Facts {
				if f.Left -= age; f.Left > 0 {
					facts = append(facts, f)
				}
			}
			return nil
		})
	})
	return facts, err
}

// store writes a snapshot in one transaction: one that a crash cuts off leaves the one before.
func store(path, self string, now time.Time, facts []replica.Fact) error {
	text := encode(message{Facts: facts})
	sum := sha256.Sum256(text)
	h, err := json.Marshal(head{Format: format, Build: build(), Self: self, Saved: now, Sum: hex.EncodeToString(sum[:])})
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return open(path, false, func(db *bbolt.DB) error {
		return db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(bucket)
			if err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			return errors.Join(b.Put(keyHead, h), b.Put(keyFacts, text))
		})
	})
}

// warm takes the snapshot of the process before in, or says why not: this one then starts cold, and a file that cannot
// be read is put aside, so that the next can be written.
func (s *Service) warm(st *replica.Store) {
	if s.section.Snapshot == "" {
		return
	}
	now := s.now()
	facts, err := load(s.section.Snapshot, s.self, now.Wall, time.Duration(s.section.TTL))
	switch {
	case errors.Is(err, errNoSnapshot):
		return
	case err != nil:
		aside := s.section.Snapshot + ".refused"
		s.log.Warn("fleet.replica.cold", zap.String("snapshot", s.section.Snapshot), zap.Error(err),
			zap.String("aside", aside), zap.NamedError("rename", os.Rename(s.section.Snapshot, aside)))
		return
	}
	taken := 0
	for _, f := range facts {
		if news, _ := st.Merge(now, f); news {
			taken++
		}
	}
	s.log.Info("fleet.replica.warm", zap.String("snapshot", s.section.Snapshot), zap.Int("facts", taken),
		zap.String("digest", st.Digest()))
}

// save writes the snapshot.
func (s *Service) save(st *replica.Store) {
	if s.section.Snapshot == "" {
		return
	}
	now := s.now()
	if err := store(s.section.Snapshot, s.self, now.Wall, st.Facts(now)); err != nil {
		s.log.Warn("fleet.replica.unsaved", zap.String("snapshot", s.section.Snapshot), zap.Error(err))
		return
	}
	s.count.Snapshots.Add(1)
}
