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
	// saveEvery is the least time between two copies of the sessions on disk.
	sessionSnapshotInterval = time.Second
	sessionFiles            = 2
	sessionFileSize         = 256 << 10
)

// sessionSaver keeps a copy of the sessions on disk, so that a control sidecar which starts again knows the endpoints
// before their next heartbeats, and those that leave. Its goroutine alone touches the ring.
type sessionStore struct {
	ring      *ringlog.Ring // nil where it cannot be opened
	log       *slog.Logger
	snapshots chan sessionSnapshot // holds one

	// Of the owner of the tables.
	savedIndex uint64 // revision of the table
	due        time.Duration
	onStored   []func() // called once what the table has now is on disk
	retryAfter time.Duration
}

// sessionCopy is a copy of the sessions to be written, and what is called once it is on disk.
type sessionSnapshot struct {
	records  []sessions.Record
	onStored []func()
}

// afterSaved calls a function of the owner once the sessions as they are now are on disk. What cannot be written is tried
// again with the next copy.
func (s *Server) afterSessionsStored(stored func()) {
	if s.sessionStore.ring == nil || len(s.sessionStore.onStored) >= maxPendingDepartures {
		return
	}
	s.sessionStore.onStored = append(s.sessionStore.onStored, stored)
}

// restoreSessions reads the copy on disk into the table.
func (s *Server) openSessionStore() *sessionStore {
	store := &sessionStore{log: s.log, snapshots: make(chan sessionSnapshot, 1)}
	options := ringlog.Options{Directory: filepath.Join(s.settings.DataDirectory, "sessions"), Files: sessionFiles, FileSize: sessionFileSize}
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
	for _, record := range records {
		record.Age = 0 // how long this process was away is not known
		s.table.Merge(s.sessionClock, record)
	}
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

// saveSessions hands a copy over where something has changed.
func (s *Server) snapshotSessions(now time.Duration) {
	store := s.sessionStore
	due := s.table.ModifyIndex() != store.savedIndex && now >= store.due
	if store.ring == nil || !due && len(store.onStored) == 0 || now < store.retryAfter {
		return
	}
	select {
	case store.snapshots <- sessionSnapshot{records: s.table.AllRecords(s.sessionClock), onStored: store.onStored}:
		store.savedIndex, store.due, store.onStored = s.table.ModifyIndex(), now+sessionSnapshotInterval, nil
	default: // the disk is slow: the next copy has it all
	}
}

// writeSessions writes the copies until the process ends, and hands the owner what waited for each.
func (s *Server) runSessionStore() {
	store := s.sessionStore
	for {
		select {
		case <-s.ctx.Done():
			return
		case c := <-store.snapshots:
			err := store.write(c.records)
			if err != nil {
				store.log.Warn("sessions.not_saved", "error", err)
			}
			if len(c.onStored) > 0 {
				s.enqueue(func() { s.onSessionsStored(c.onStored, err) })
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

// onSessionsWritten calls what waited for a copy, or has it wait for the next one where this one could not be written.
func (s *Server) onSessionsStored(stored []func(), err error) {
	for _, call := range stored {
		if err != nil {
			s.afterSessionsStored(call)
			continue
		}
		call()
	}
	if err != nil {
		s.sessionStore.retryAfter = s.now() + storeRetryInterval
	}
}
