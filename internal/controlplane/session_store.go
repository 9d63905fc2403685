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
// before their next heartbeats, and those that leave. Its goroutine alone touches the ring.
type sessionSaver struct {
	ring   *ringlog.Ring // nil where it cannot be opened
	log    *slog.Logger
	copies chan sessionCopy // holds one

	// Of the owner of the tables.
	saved   uint64 // revision of the table
	dueAt   time.Duration
	waiting []func() // called once what the table has now is on disk
	retryAt time.Duration
}

// sessionCopy is a copy of the sessions to be written, and what is called once it is on disk.
type sessionCopy struct {
	records []sessions.Record
	stored  []func()
}

// afterSaved calls a function of the owner once the sessions as they are now are on disk. What cannot be written is tried
// again with the next copy.
func (p *Process) afterSaved(stored func()) {
	if p.saver.ring == nil || len(p.saver.waiting) >= mostLeaves {
		return
	}
	p.saver.waiting = append(p.saver.waiting, stored)
}

// restoreSessions reads the copy on disk into the table.
func (p *Process) restoreSessions() *sessionSaver {
	s := &sessionSaver{log: p.log, copies: make(chan sessionCopy, 1)}
	options := ringlog.Options{Directory: filepath.Join(p.settings.DataDirectory, "sessions"), Files: sessionFiles, FileSize: sessionFileMin}
	ring, payloads, _, err := openRing(options, p.log)
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
	due := p.table.ModifyIndex() != s.saved && now >= s.dueAt
	if s.ring == nil || !due && len(s.waiting) == 0 || now < s.retryAt {
		return
	}
	select {
	case s.copies <- sessionCopy{records: p.table.AllRecords(p.sessionClock), stored: s.waiting}:
		s.saved, s.dueAt, s.waiting = p.table.ModifyIndex(), now+saveEvery, nil
	default: // the disk is slow: the next copy has it all
	}
}

// writeSessions writes the copies until the process ends, and hands the owner what waited for each.
func (p *Process) writeSessions() {
	s := p.saver
	for {
		select {
		case <-p.ctx.Done():
			return
		case c := <-s.copies:
			err := s.write(c.records)
			if err != nil {
				s.log.Warn("sessions.not_saved", "error", err)
			}
			if len(c.stored) > 0 {
				p.post(func() { p.onSessionsWritten(c.stored, err) })
			}
		}
	}
}

func (s *sessionSaver) write(records []sessions.Record) error {
	payload, err := encodeSessions(records)
	if err != nil {
		return err
	}
	return s.ring.Append([]ringlog.Record{{Payload: payload, Rotate: true}})
}

// onSessionsWritten calls what waited for a copy, or has it wait for the next one where this one could not be written.
func (p *Process) onSessionsWritten(stored []func(), err error) {
	for _, call := range stored {
		if err != nil {
			p.afterSaved(call)
			continue
		}
		call()
	}
	if err != nil {
		p.saver.retryAt = p.now() + diskRetry
	}
}
