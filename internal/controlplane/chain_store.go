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
	ringFiles       = 3
	leastRingFileMB = 2
	mostRingFileMB  = 8
	// ringFileShare is the part of the disk that one file of the ring takes at the most.
	ringFileShare = 16
	diskQueue     = 4096
	diskRetry     = 100 * time.Millisecond
)

func ringOptions(directory string, diskMB int) ringlog.Options {
	fileMB := min(max(diskMB/ringFileShare, leastRingFileMB), mostRingFileMB)
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
type diskJob struct {
	records  []ringlog.Record
	messages []chain.Envelope
}

// disk stores records in order. Its goroutine is the only one that touches the ring.
type disk struct {
	ring      *ringlog.Ring
	log       *slog.Logger
	jobs      chan diskJob
	stored    func([]chain.Envelope)
	busySince atomic.Int64 // Unix nanoseconds of the steady clock's reading; 0 while nothing is written
	origin    time.Time
	size      int64 // of the current file, as jobs were handed over; the owner's
	records   int   // in it; the owner's
	encoder   *recordEncoder
}

// mostRecords is how many records a file holds before the next one is begun: so many are read at a start.
const mostRecords = 64

// encode makes what is written of a record. Where the file is full, or was begun by another process, the snapshot, that
// stands for the record too, begins the next one.
func (d *disk) encode(record any, snapshot func() chain.Snapshot) (ringlog.Record, error) {
	_, begins := record.(chain.Snapshot)
	if !begins && d.encoder != nil && d.records < mostRecords {
		payload, err := d.encoder.encode(record)
		if err != nil || d.size+ringlog.Size(payload) <= d.ring.Capacity() {
			d.records++
			d.size += ringlog.Size(payload)
			return ringlog.Record{Payload: payload}, err
		}
	}
	if !begins {
		record = snapshot()
	}
	d.encoder = newRecordEncoder()
	payload, err := d.encoder.encode(record)
	d.records, d.size = 1, ringlog.Size(payload)
	return ringlog.Record{Payload: payload, Rotate: true}, err
}

func newDisk(ring *ringlog.Ring, log *slog.Logger, stored func([]chain.Envelope)) *disk {
	return &disk{ring: ring, log: log, jobs: make(chan diskJob, diskQueue), stored: stored, origin: time.Now()}
}

// run stores what is handed over until done is closed.
func (d *disk) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case job := <-d.jobs:
			d.store(d.gather(job), done)
		}
	}
}

// gather takes along what else waits, so that one sync serves all.
func (d *disk) gather(job diskJob) diskJob {
	for {
		select {
		case more := <-d.jobs:
			job.records = append(job.records, more.records...)
			job.messages = append(job.messages, more.messages...)
		default:
			return job
		}
	}
}

func (d *disk) store(job diskJob, done <-chan struct{}) {
	if len(job.records) > 0 {
		d.busySince.Store(int64(time.Since(d.origin)) + 1)
		defer d.busySince.Store(0)
	}
	for attempt := 0; len(job.records) > 0; attempt++ {
		err := d.ring.Append(job.records)
		if err == nil {
			break
		}
		if attempt == 0 {
			d.log.Error("disk.write_failed", "error", err)
		}
		select {
		case <-done:
			return
		case <-time.After(diskRetry):
		}
	}
	d.stored(job.messages)
}

// behind is how long the write that is under way has taken.
func (d *disk) behind() time.Duration {
	since := d.busySince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(d.origin) - time.Duration(since)
}
