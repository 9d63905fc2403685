package controlplane

import (
	"bytes"
	"encoding/gob"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/ringlog"
)

const (
	ringFiles     = 3
	minRingFileMB = 2
	maxRingFileMB = 8
	// ringFileShare is the part of the disk that one file of the ring takes at the most.
	ringFileDivisor    = 16
	storeQueueLength   = 4096
	storeRetryInterval = 100 * time.Millisecond
)

func ringOptions(directory string, diskMB int) ringlog.Options {
	fileMB := min(max(diskMB/ringFileDivisor, minRingFileMB), maxRingFileMB)
	return ringlog.Options{Directory: filepath.Join(directory, "chain"), Files: ringFiles, FileSize: int64(fileMB) << 20}
}

// recordBox is how a record is stored: gob needs a struct around an interface value.
type recordBox struct{ Record any }

// recordEncoder encodes the records of one file. A record rests on those before it in its file: what types there are is
// written once.
type recordEncoder struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func newRecordEncoder() *recordEncoder {
	e := &recordEncoder{}
	e.encoder = gob.NewEncoder(&e.buffer)
	return e
}

func (e *recordEncoder) encode(record any) ([]byte, error) {
	e.buffer.Reset()
	if err := e.encoder.Encode(recordBox{record}); err != nil {
		return nil, errors.Wrap(err, "record")
	}
	return bytes.Clone(e.buffer.Bytes()), nil
}

// decodeRecords reads the records of one file.
func decodeRecords(payloads [][]byte) ([]any, error) {
	decoder := gob.NewDecoder(bytes.NewReader(bytes.Join(payloads, nil)))
	var records []any
	for range payloads {
		var box recordBox
		if err := decoder.Decode(&box); err != nil {
			return nil, errors.Wrap(err, "record")
		}
		records = append(records, box.Record)
	}
	return records, nil
}

// diskJob is records to be stored, and messages that may go out once they are.
type storeJob struct {
	records  []ringlog.Record
	messages []chain.Envelope
}

// disk stores records in order. Its goroutine is the only one that touches the ring.
type chainStore struct {
	ring         *ringlog.Ring
	log          *slog.Logger
	jobs         chan storeJob
	onStored     func([]chain.Envelope)
	writingSince atomic.Int64 // Unix nanoseconds of the steady clock's reading; 0 while nothing is written
	origin       time.Time
	fileSize     int64 // of the current file, as jobs were handed over; the owner's
	fileRecords  int   // in it; the owner's
	encoder      *recordEncoder
}

// mostRecords is how many records a file holds before the next one is begun: so many are read at a start.
const maxFileRecords = 64

// startNewFile has the next record begin a new file, with a snapshot that stands for all records before it.
func (cs *chainStore) startNewFile() { cs.encoder = nil }

// encode makes what is written of a record. Where the file is full, or was begun by another process, the snapshot, that
// stands for the record too, begins the next one.
func (cs *chainStore) encode(record any, snapshot func() chain.Snapshot) (ringlog.Record, error) {
	_, begins := record.(chain.Snapshot)
	if !begins && cs.encoder != nil && cs.fileRecords < maxFileRecords {
		payload, err := cs.encoder.encode(record)
		if err != nil || cs.fileSize+ringlog.RecordSize(payload) <= cs.ring.FileCapacity() {
			cs.fileRecords++
			cs.fileSize += ringlog.RecordSize(payload)
			return ringlog.Record{Payload: payload}, err
		}
	}
	if !begins {
		record = snapshot()
	}
	cs.encoder = newRecordEncoder()
	payload, err := cs.encoder.encode(record)
	cs.fileRecords, cs.fileSize = 1, ringlog.RecordSize(payload)
	return ringlog.Record{Payload: payload, Rotate: true}, err
}

func newChainStore(ring *ringlog.Ring, log *slog.Logger, stored func([]chain.Envelope)) *chainStore {
	return &chainStore{ring: ring, log: log, jobs: make(chan storeJob, storeQueueLength), onStored: stored, origin: time.Now()}
}

// run stores what is handed over until done is closed.
func (cs *chainStore) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case job := <-cs.jobs:
			cs.write(cs.batch(job), done)
		}
	}
}

// gather takes along what else waits, so that one sync serves all.
func (cs *chainStore) batch(job storeJob) storeJob {
	for {
		select {
		case more := <-cs.jobs:
			job.records = append(job.records, more.records...)
			job.messages = append(job.messages, more.messages...)
		default:
			return job
		}
	}
}

func (cs *chainStore) write(job storeJob, done <-chan struct{}) {
	if len(job.records) > 0 {
		cs.writingSince.Store(int64(time.Since(cs.origin)) + 1)
		defer cs.writingSince.Store(0)
	}
	for attempt := 0; len(job.records) > 0; attempt++ {
		err := cs.ring.Append(job.records)
		if err == nil {
			break
		}
		if attempt == 0 {
			cs.log.Error("disk.write_failed", "error", err)
		}
		select {
		case <-done:
			return
		case <-time.After(storeRetryInterval):
		}
	}
	cs.onStored(job.messages)
}

// behind is how long the write that is under way has taken.
func (cs *chainStore) writeDuration() time.Duration {
	since := cs.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(cs.origin) - time.Duration(since)
}
