package controlplane

import (
	"bytes"
	"encoding/gob"
	"log/slog"
	"path/filepath"

	"github.com/pkg/errors"

	"dykering/internal/ringlog"
	"dykering/internal/sessions"
)

const (
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
	snapshots chan []sessions.Record // to runSessionStore; holds one
}

// openSessionStore opens the store and returns the sessions in it. The sessions come back with the endpoints' heartbeats too, so
// a store that cannot be read does not keep the process from starting. Without a store this member acknowledges no departure,
// to its peers or by itself.
func (s *Server) openSessionStore() (store *sessionStore, restored []sessions.Record) {
	store = &sessionStore{log: s.log, snapshots: make(chan []sessions.Record, 1)}
	options := ringlog.Options{
		Directory: filepath.Join(s.settings.DataDirectory, "sessions"),
		Files:     sessionFiles, FileSize: sessionFileSize,
	}
	ring, payloads, _, err := openRing(options, s.log)
	if err != nil {
		s.log.Warn("sessions.not_restored", "error", err)
		return store, nil
	}
	store.ring = ring
	if len(payloads) == 0 {
		return store, nil
	}
	restored, err = decodeSessions(payloads[len(payloads)-1])
	if err != nil {
		s.log.Warn("sessions.not_restored", "error", err)
	}
	return store, restored
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

// runSessionStore writes the snapshots until the process ends.
func (s *Server) runSessionStore() {
	store := s.sessionStore
	for {
		select {
		case <-s.ctx.Done():
			return
		case records := <-store.snapshots:
			err := store.write(records)
			if err != nil {
				store.log.Warn("sessions.not_saved", "error", err)
			}
			s.enqueue(func() { s.onSessionsStored(err) })
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
