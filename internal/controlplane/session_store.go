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
	// sessionFiles is the number of files in the ring of snapshots. The last snapshot is kept until the next one is
	// complete.
	sessionFiles = 2
	// sessionFileSize is the preallocated size of a file, in bytes.
	sessionFileSize = 256 << 10
)

// sessionStore keeps a snapshot of the sessions on disk. A control process that restarts then knows the endpoints
// before their next heartbeats, and does not mistake a draining endpoint for a ready one. Only runSessionStore accesses
// the ring.
type sessionStore struct {
	ring      *ringlog.Ring // nil if it could not be opened
	log       *slog.Logger
	snapshots chan []sessions.Record // read by runSessionStore; has a capacity of one
}

// openSessionStore opens the store and returns the sessions in it. A store that cannot be read does not prevent the
// start, because the endpoints' heartbeats restore the sessions as well. Without a store this member acknowledges no
// departure, neither its own nor those of its peers.
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
	return buffer.Bytes(), errors.Wrap(err, "encode sessions")
}

func decodeSessions(payload []byte) (records []sessions.Record, err error) {
	err = gob.NewDecoder(bytes.NewReader(payload)).Decode(&records)
	return records, errors.Wrap(err, "decode sessions")
}

// runSessionStore writes snapshots until the process ends.
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

// write stores a snapshot in a new file of the ring.
func (store *sessionStore) write(records []sessions.Record) error {
	payload, err := encodeSessions(records)
	if err != nil {
		return err
	}
	return store.ring.Append([]ringlog.Record{{Payload: payload, Rotate: true}})
}
