package budgets

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// storage holds a voter's Raft log, hard state and snapshot in a bbolt database, and a copy in memory that Raft reads.
// save returns only after the state is on disk, so that messages which depend on it can be sent afterwards.
type storage struct {
	*raft.MemoryStorage
	db *bbolt.DB
}

// databaseName is the file name of the database in a voter's directory.
const databaseName = "ledger.db"

// The buckets and keys of the database. The key of a log entry is its index in big-endian order.
var (
	stateBucket  = []byte("state")
	logBucket    = []byte("log")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
)

// The index and term of the snapshot of an empty ledger with which every new log begins. All voters have the same first
// snapshot, so that they agree on the set of voters.
const firstIndex, firstTerm = 1, 1

// lockTimeout bounds the wait for the file's lock, which the previous process may still hold during a handover.
const lockTimeout = 2 * time.Second

// openStorage opens a voter's database, or creates it with the snapshot of an empty ledger.
func openStorage(dir string, voters []uint64, emptyLedger []byte) (*storage, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("budgets: create ledger directory: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(dir, databaseName), 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("budgets: open ledger database: %w", err)
	}
	s := &storage{MemoryStorage: raft.NewMemoryStorage(), db: db}
	first := &raftpb.Snapshot{Data: emptyLedger, Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(firstIndex), Term: proto.Uint64(firstTerm),
		ConfState: &raftpb.ConfState{Voters: voters},
	}}
	if err := db.Update(func(tx *bbolt.Tx) error { return s.load(tx, first) }); err != nil {
		return nil, fmt.Errorf("budgets: load ledger database: %w", errors.Join(err, db.Close()))
	}
	return s, nil
}

// load reads the database into memory. It uses the first snapshot if the database has none.
func (s *storage) load(tx *bbolt.Tx, first *raftpb.Snapshot) error {
	state, err := tx.CreateBucketIfNotExists(stateBucket)
	if err != nil {
		return err
	}
	log, err := tx.CreateBucketIfNotExists(logBucket)
	if err != nil {
		return err
	}
	snapshot := first
	if data := state.Get(keySnapshot); data != nil {
		snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(data, snapshot); err != nil {
			return err
		}
	}
	hardState := &raftpb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(firstIndex)}
	if data := state.Get(keyHardState); data != nil {
		hardState = &raftpb.HardState{}
		if err := proto.Unmarshal(data, hardState); err != nil {
			return err
		}
	}
	entries, err := entriesAfter(log, snapshot.GetMetadata().GetIndex())
	if err != nil {
		return err
	}
	return errors.Join(s.ApplySnapshot(snapshot), s.SetHardState(hardState), s.Append(entries))
}

// entriesAfter returns the log entries after an index.
func entriesAfter(log *bbolt.Bucket, index uint64) (entries []*raftpb.Entry, err error) {
	err = log.ForEach(func(_, data []byte) error {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(data, entry); err != nil {
			return err
		}
		if entry.GetIndex() > index {
			entries = append(entries, entry)
		}
		return nil
	})
	return entries, err
}

// save stores Raft's hard state, snapshot and entries in one transaction.
func (s *storage) save(ready raft.Ready) error {
	if raft.IsEmptyHardState(ready.HardState) && raft.IsEmptySnap(ready.Snapshot) && len(ready.Entries) == 0 {
		return nil
	}
	if err := s.db.Update(func(tx *bbolt.Tx) error { return s.saveInTransaction(tx, ready) }); err != nil {
		return fmt.Errorf("budgets: write ledger database: %w", err)
	}
	return nil
}

// saveInTransaction writes Raft's state to the database within a transaction, and updates the copy in memory.
func (s *storage) saveInTransaction(tx *bbolt.Tx, ready raft.Ready) error {
	state := tx.Bucket(stateBucket)
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := putMessage(state, keySnapshot, ready.Snapshot); err != nil {
			return err
		}
		if err := s.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if len(ready.Entries) > 0 {
		if err := replaceFrom(tx.Bucket(logBucket), ready.Entries); err != nil {
			return err
		}
		if err := s.Append(ready.Entries); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		return errors.Join(putMessage(state, keyHardState, ready.HardState), s.SetHardState(ready.HardState))
	}
	return nil
}

// replaceFrom writes entries in place of all stored entries from the first new index on. The entries of a new leader
// replace entries that were never committed.
func replaceFrom(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	cursor := log.Cursor()
	for key, _ := cursor.Seek(entryKey(entries[0].GetIndex())); key != nil; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := putMessage(log, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// entryKey returns the key of the log entry with an index.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putMessage stores an encoded protobuf message under a key.
func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, data)
}

// compact stores a snapshot of the ledger at an index, and deletes the log entries up to that index.
func (s *storage) compact(index uint64, conf *raftpb.ConfState, ledger []byte) error {
	snapshot, err := s.CreateSnapshot(index, conf, ledger)
	if err != nil {
		return fmt.Errorf("budgets: create ledger snapshot: %w", err)
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(logBucket).Cursor()
		for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.Next() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		return putMessage(tx.Bucket(stateBucket), keySnapshot, snapshot)
	})
	if err != nil {
		return fmt.Errorf("budgets: write ledger snapshot: %w", err)
	}
	return s.Compact(index)
}

func (s *storage) close() error { return s.db.Close() }
