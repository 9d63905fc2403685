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
	saveEvery      = time.Second
	sessionFiles   = 2
	sessionFileMin = 256 << 10
)

// sessionSaver keeps a copy of the sessions on disk, so that a control sidecar which starts again knows the endpoints
// before their next heartbeats. Its goroutine alone touches the ring; a copy that cannot be written is left out.
type sessionSaver struct {
	ring   *ringlog.Ring
	log    *slog.Logger
	copies chan []sessions.Record // holds one
	saved  uint64                 // revision of the table; the owner's
	dueAt  time.Duration          // the owner's
}

// restoreSessions reads the copy on disk into the table.
func (p *Process) restoreSessions() *sessionSaver {
	s := &sessionSaver{log: p.log, copies: make(chan []sessions.Record, 1)}
	options := ringlog.Options{Directory: filepath.Join(p.settings.DataDirectory, "sessions"), Files: sessionFiles, FileSize: sessionFileMin}
	ring, payloads, err := ringlog.Open(options)
	if err != nil {
		p.log.Warn("sessions.not_restored", "error", err)
		return s
	}
	s.ring = ring
	if len(payloads) == 0 {
		return s
	}
	records, err := decodeSessions(payloads[len(payloads)-1])
	if err != nil {
		p.log.Warn("sessions.not_restored", "error", err)
		return s
	}
	for _, record := range records {
		record.Age = 0 // how long this process was away is not known
		p.table.Merge(p.sessionClock, record)
	}
	return s
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
func (p *Process) saveSessions(now time.Duration) {
	s := p.saver
	if s.ring == nil || p.table.Revision() == s.saved || now < s.dueAt {
		return
	}
	select {
	case s.copies <- p.table.All(p.sessionClock):
		s.saved, s.dueAt = p.table.Revision(), now+saveEvery
	default: // the disk is slow: the next copy has it all
	}
}

// run writes the copies until done is closed.
func (s *sessionSaver) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case records := <-s.copies:
			payload, err := encodeSessions(records)
			if err == nil {
				err = s.ring.Append([]ringlog.Record{{Payload: payload, Rotate: true}})
			}
			if err != nil {
				s.log.Warn("sessions.not_saved", "error", err)
			}
		}
	}
}
