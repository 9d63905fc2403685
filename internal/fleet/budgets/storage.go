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

// disk keeps a voter's Raft log, hard state and snapshot in a bbolt file, and a copy in memory that raft reads. What raft
// asks to have kept is on disk before anything that follows from it is sent.
type disk struct {
	*raft.MemoryStorage
	db *bbolt.DB
}

var (
	stateBucket, logBucket = []byte("state"), []byte("log")
	keyHard, keySnap       = []byte("hard"), []byte("snapshot")
)

// lockTimeout bounds the wait for the file's lock, that a process which hands over may still hold.
const lockTimeout = 2 * time.Second

// openDisk reads what a voter had. A new one begins, as all voters do, with a snapshot of nothing at index 1, so that all
// agree on who votes.
func openDisk(dir string, voters []uint64, empty []byte) (*disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("budgets: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(dir, "ledger.db"), 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("budgets: ledger: %w", err)
	}
	d := &disk{MemoryStorage: raft.NewMemoryStorage(), db: db}
	err = db.Update(func(tx *bbolt.Tx) error {
		state, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(logBucket)
		if err != nil {
			return err
		}
		snap := &raftpb.Snapshot{Data: empty, Metadata: &raftpb.SnapshotMetadata{
			Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: voters},
		}}
		if b := state.Get(keySnap); b != nil {
			snap = &raftpb.Snapshot{}
			if err := proto.Unmarshal(b, snap); err != nil {
				return err
			}
		}
		hard := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if b := state.Get(keyHard); b != nil {
			hard = &raftpb.HardState{}
			if err := proto.Unmarshal(b, hard); err != nil {
				return err
			}
		}
		var entries []*raftpb.Entry
		if err := log.ForEach(func(_, b []byte) error {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(b, e); err != nil {
				return err
			}
			if e.GetIndex() > snap.GetMetadata().GetIndex() {
				entries = append(entries, e)
			}
			return nil
		}); err != nil {
			return err
		}
		return errors.Join(d.ApplySnapshot(snap), d.SetHardState(hard), d.Append(entries))
	})
	if err != nil {
		return nil, fmt.Errorf("budgets: ledger: %w", errors.Join(err, db.Close()))
	}
	return d, nil
}

func index(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// keep has raft's state on disk, in one transaction.
func (d *disk) keep(rd raft.Ready) error {
	if raft.IsEmptyHardState(rd.HardState) && raft.IsEmptySnap(rd.Snapshot) && len(rd.Entries) == 0 {
		return nil
	}
	err := d.db.Update(func(tx *bbolt.Tx) error {
		state, log := tx.Bucket(stateBucket), tx.Bucket(logBucket)
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := put(state, keySnap, rd.Snapshot); err != nil {
				return err
			}
			if err := d.ApplySnapshot(rd.Snapshot); err != nil {
				return err
			}
		}
		if len(rd.Entries) > 0 { // what stands from the first of them on is no longer true
			c := log.Cursor()
			for k, _ := c.Seek(index(rd.Entries[0].GetIndex())); k != nil; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
			for _, e := range rd.Entries {
				if err := put(log, index(e.GetIndex()), e); err != nil {
					return err
				}
			}
			if err := d.Append(rd.Entries); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			return errors.Join(put(state, keyHard, rd.HardState), d.SetHardState(rd.HardState))
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("budgets: ledger: %w", err)
	}
	return nil
}

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, text)
}

// compact makes a snapshot of what was applied up to an index, and forgets the log before it.
func (d *disk) compact(at uint64, conf *raftpb.ConfState, data []byte) error {
	snap, err := d.CreateSnapshot(at, conf, data)
	if err != nil {
		return fmt.Errorf("budgets: snapshot: %w", err)
	}
	err = d.db.Update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= at; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return put(tx.Bucket(stateBucket), keySnap, snap)
	})
	if err != nil {
		return fmt.Errorf("budgets: snapshot: %w", err)
	}
	return d.Compact(at)
}

func (d *disk) close() error { return d.db.Close() }
