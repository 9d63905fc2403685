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
	// ringFiles is the number of files in the ring of chain records.
	ringFiles = 3
	// minRingFileMB and maxRingFileMB bound the size of a ring file, in MB. Between these bounds the size is the disk
	// limit divided by ringFileDivisor.
	minRingFileMB   = 2
	maxRingFileMB   = 8
	ringFileDivisor = 16
	// maxFileRecords is the number of records after which the next file begins. It bounds the number of records to read
	// at a start.
	maxFileRecords = 64
	// storeQueueLength bounds the jobs that wait for the disk. Server.persist handles a full queue.
	storeQueueLength = 4096
	// storeRetryInterval is the pause after a failed write.
	storeRetryInterval = 100 * time.Millisecond
)

// ringOptions returns the options of the ring of chain records, for a data directory and its disk limit in MB.
func ringOptions(directory string, diskMB int) ringlog.Options {
	fileMB := min(max(diskMB/ringFileDivisor, minRingFileMB), maxRingFileMB)
	return ringlog.Options{Directory: filepath.Join(directory, "chain"), Files: ringFiles, FileSize: int64(fileMB) << 20}
}

// recordBox is the stored form of a record, because gob can encode an interface value only as a struct field. The name
// of the field is part of the stored format.
type recordBox struct{ Record any }

// recordEncoder encodes the records of one file. gob writes the description of a type once per stream, so a record can
// be decoded only after the records before it in its file.
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
		return nil, errors.Wrap(err, "encode record")
	}
	return bytes.Clone(e.buffer.Bytes()), nil
}

// decodeRecords decodes the records of one file.
func decodeRecords(payloads [][]byte) ([]any, error) {
	decoder := gob.NewDecoder(bytes.NewReader(bytes.Join(payloads, nil)))
	var records []any
	for range payloads {
		var box recordBox
		if err := decoder.Decode(&box); err != nil {
			return nil, errors.Wrap(err, "decode record")
		}
		records = append(records, box.Record)
	}
	return records, nil
}

// storeJob holds records to store and the messages that may be sent once the records are durable.
type storeJob struct {
	records  []ringlog.Record
	messages []chain.Envelope
}

// chainStore writes the chain's records to disk in order. Only run accesses the ring.
type chainStore struct {
	ring         *ringlog.Ring
	log          *slog.Logger
	jobs         chan storeJob
	onStored     func([]chain.Envelope) // called by run once the records of these messages are durable
	origin       time.Time
	writingSince atomic.Int64 // start of the write in progress, in nanoseconds since origin plus 1; 0 if there is none

	// Owned by the event loop: the file that records are encoded for. It may be ahead of the file being written.
	encoder     *recordEncoder // nil if the next record begins a new file
	fileSize    int64          // bytes
	fileRecords int
}

func newChainStore(ring *ringlog.Ring, log *slog.Logger, onStored func([]chain.Envelope)) *chainStore {
	return &chainStore{ring: ring, log: log, jobs: make(chan storeJob, storeQueueLength), onStored: onStored, origin: time.Now()}
}

// startNewFile makes the next record begin a new file, with a snapshot that replaces all records before it.
func (cs *chainStore) startNewFile() { cs.encoder = nil }

// encode returns the stored form of a record. If the file is full, or if this process has not begun a file yet, a new
// file begins with a snapshot in place of the record. The node has already applied the record, so the snapshot includes
// it.
func (cs *chainStore) encode(record any, snapshot func() chain.Snapshot) (ringlog.Record, error) {
	_, isSnapshot := record.(chain.Snapshot)
	if !isSnapshot && cs.encoder != nil && cs.fileRecords < maxFileRecords {
		payload, err := cs.encoder.encode(record)
		if err != nil || cs.fileSize+ringlog.RecordSize(payload) <= cs.ring.FileCapacity() {
			cs.fileRecords++
			cs.fileSize += ringlog.RecordSize(payload)
			return ringlog.Record{Payload: payload}, err
		}
	}
	if !isSnapshot {
		record = snapshot()
	}
	cs.encoder = newRecordEncoder()
	payload, err := cs.encoder.encode(record)
	cs.fileRecords, cs.fileSize = 1, ringlog.RecordSize(payload)
	return ringlog.Record{Payload: payload, Rotate: true}, err
}

// run writes the queued jobs until done is closed.
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

// batch merges the jobs that are already queued into one job, so that one sync covers all of them.
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

// write stores the records of a job, retries until it succeeds, and then releases the messages of the job. It never
// gives up, because a message must not be sent before its record is durable. Meanwhile the chain continues without this
// member: a long writeDuration marks its disk as unhealthy.
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

// writeDuration returns how long the write in progress has taken, or 0 if there is none. It is safe for concurrent use.
func (cs *chainStore) writeDuration() time.Duration {
	since := cs.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(cs.origin) - time.Duration(since)
}
