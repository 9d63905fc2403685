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
	// ringFiles is the number of files of the ring of the chain's records.
	ringFiles = 3
	// minRingFileMB and maxRingFileMB bound the size of a file, in MB; between them it is the disk's limit divided by
	// ringFileDivisor.
	minRingFileMB   = 2
	maxRingFileMB   = 8
	ringFileDivisor = 16
	// maxFileRecords is how many records a file holds before the next one is begun. So many are read at a start, at most.
	maxFileRecords = 64
	// storeQueueLength bounds the jobs that wait for the disk; see Server.persist for what happens beyond.
	storeQueueLength = 4096
	// storeRetryInterval is the pause after a failed write.
	storeRetryInterval = 100 * time.Millisecond
)

// ringOptions are the options of the ring of the chain's records, in a data directory with a limit in MB.
func ringOptions(directory string, diskMB int) ringlog.Options {
	fileMB := min(max(diskMB/ringFileDivisor, minRingFileMB), maxRingFileMB)
	return ringlog.Options{Directory: filepath.Join(directory, "chain"), Files: ringFiles, FileSize: int64(fileMB) << 20}
}

// recordBox is the stored form of a record: gob needs a struct around an interface value. Its field name is fixed by what
// is on disk.
type recordBox struct{ Record any }

// recordEncoder encodes the records of one file. A record can be decoded only after those before it in its file, as gob
// writes the description of a type once.
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

// decodeRecords decodes the records of one file.
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

// storeJob is records to be stored, and messages that may leave once they are.
type storeJob struct {
	records  []ringlog.Record
	messages []chain.Envelope
}

// chainStore stores the chain's records in order. Only run touches the ring.
type chainStore struct {
	ring         *ringlog.Ring
	log          *slog.Logger
	jobs         chan storeJob
	onStored     func([]chain.Envelope) // called by run
	origin       time.Time
	writingSince atomic.Int64 // nanoseconds since origin, and 1, when the write in progress began; 0 while there is none

	// Of the event loop: the file that jobs are encoded for, ahead of what is written.
	encoder     *recordEncoder // nil where the next record begins a file
	fileSize    int64          // bytes
	fileRecords int
}

func newChainStore(ring *ringlog.Ring, log *slog.Logger, onStored func([]chain.Envelope)) *chainStore {
	return &chainStore{ring: ring, log: log, jobs: make(chan storeJob, storeQueueLength), onStored: onStored, origin: time.Now()}
}

// startNewFile has the next record begin a new file, with a snapshot that stands for all records before it.
func (cs *chainStore) startNewFile() { cs.encoder = nil }

// encode returns the stored form of a record. Where the file is full, or was begun by another process, a snapshot begins the
// next one instead; it stands for the record too, which the node has applied already.
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

// run stores the jobs until done is closed.
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

// batch adds the jobs that are queued already, so that one sync serves all.
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

// write stores the records of a job, with retries until it succeeds, and then releases its messages. It never gives up: a
// message whose record is not on disk must not leave. The chain goes on without this member meanwhile; see writeDuration.
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

// writeDuration is how long the write in progress has taken; 0 where there is none. Any goroutine may call it.
func (cs *chainStore) writeDuration() time.Duration {
	since := cs.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(cs.origin) - time.Duration(since)
}
