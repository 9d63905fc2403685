package controlplane

import (
	"bytes"
	"encoding/gob"
	"log/slog"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/ringlog"
	"dykering/internal/sessions"
)

const (
	// sessionSnapshotInterval is the least time between two snapshots of the sessions on disk, but for one that a
	// departure waits for.
	sessionSnapshotInterval = time.Second
	// sessionFiles is the number of files of the ring: the last snapshot stays until the next one is complete.
	sessionFiles = 2
	// sessionFileSize is the preallocated size of a file, in bytes.
	sessionFileSize = 256 << 10
)

// sessionStore keeps a snapshot of the sessions on disk, so that a control process which starts again knows the endpoints
// before their next heartbeats, and does not take one that drains for ready. Only runSessionStore touches the ring.
type sessionStore struct {
	ring      *ringlog.Ring // nil where it cannot be opened
	log       *slog.Logger
	snapshots chan sessionSnapshot // to runSessionStore; holds one

	// Of the event loop.
	savedIndex uint64        // modify index of the last snapshot
	due        time.Duration // of the next one
	retryAfter time.Duration // no snapshot is written before, as the last one failed
	onStored   []func()      // to be called once the table as it is now is on disk
}

// sessionSnapshot is a snapshot to be written, and what the event loop calls once it is on disk.
type sessionSnapshot struct {
	records  []sessions.Record
	onStored []func()
}

// openSessionStore opens the store and restores the table from it. The sessions come back with the endpoints' heartbeats
// too, so a store that cannot be read does not keep the process from starting. Without a store this member acknowledges no
// departure, to its peers or by itself.
func (s *Server) openSessionStore() *sessionStore {
	store := &sessionStore{log: s.log, snapshots: make(chan sessionSnapshot, 1)}
	options := ringlog.Options{
		Directory: filepath.Join(s.settings.DataDirectory, "sessions"),
		Files:     sessionFiles, FileSize: sessionFileSize,
	}
	ring, payloads, _, err := openRing(options, s.log)
	if err != nil {
		s.log.Warn("sessions.not_restored", "error", err)
		return store
	}
	store.ring = ring
	if len(payloads) == 0 {
		return store
	}
	records, err := decodeSessions(payloads[len(payloads)-1])
	if err != nil {
		s.log.Warn("sessions.not_restored", "error", err)
		return store
	}
	for i := range records {
		records[i].Age = 0 // for how long this process was down is not known: each endpoint gets a full TTL
	}
	s.mergeSessions(records)
	return store
}

func encodeSessions(records []sessions.Record) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(records)
	return buffer.Bytes(), errors.Wrap(err, "sessions")
}

func decodeSessions(payload []byte) (records []sessions.Record, err error) {
	err = gob.NewDecoder(bytes.NewReader(payload)).Decode(&records)
	return records, errors.Wrap(err, "sessions")
}

// afterSessionsStored has the event loop call a function once the sessions as they are now are on disk. A snapshot that
// cannot be written is tried again with the next one.
func (s *Server) afterSessionsStored(call func()) {
	if s.sessionStore.ring == nil || len(s.sessionStore.onStored) >= maxPendingDepartures {
		return
	}
	s.sessionStore.onStored = append(s.sessionStore.onStored, call)
}

// snapshotSessions hands a snapshot to the store where the interval is over and something has changed, or where something
// waits for it.
func (s *Server) snapshotSessions(now time.Duration) {
	store := s.sessionStore
	due := s.sessionTable.ModifyIndex() != store.savedIndex && now >= store.due
	if store.ring == nil || !due && len(store.onStored) == 0 || now < store.retryAfter {
		return
	}
	select {
	case store.snapshots <- sessionSnapshot{records: s.sessionTable.AllRecords(s.sessionClock), onStored: store.onStored}:
		store.savedIndex, store.due, store.onStored = s.sessionTable.ModifyIndex(), now+sessionSnapshotInterval, nil
	default: // the disk is still busy with the last one: the next snapshot has everything
	}
}

// runSessionStore writes the snapshots until the process ends.
func (s *Server) runSessionStore() {
	store := s.sessionStore
	for {
		select {
		case <-s.ctx.Done():
			return
		case snapshot := <-store.snapshots:
			err := store.write(snapshot.records)
			if err != nil {
				store.log.Warn("sessions.not_saved", "error", err)
			}
			if len(snapshot.onStored) > 0 {
				s.enqueue(func() { s.onSessionsStored(snapshot.onStored, err) })
			}
		}
	}
}

func (store *sessionStore) write(records []sessions.Record) error {
	payload, err := encodeSessions(records)
	if err != nil {
		return err
	}
	return store.ring.Append([]ringlog.Record{{Payload: payload, Rotate: true}})
}

// onSessionsStored calls what has waited for a snapshot, or has it wait for the next one where this one was not written.
func (s *Server) onSessionsStored(calls []func(), err error) {
	if err != nil {
		for _, call := range calls {
			s.afterSessionsStored(call)
		}
		s.sessionStore.retryAfter = s.now() + storeRetryInterval
		return
	}
	for _, call := range calls {
		call()
	}
}
