package ringlog

import (
	"bytes"
	"encoding/binary"
	"io"
	"os"

	"github.com/pkg/errors"
)

// scanAhead is how far behind an unreadable copy the next readable one is looked for, where the log may just end there.
const maxScanDistance = 256 << 10

// recover finds the newest file and reads its records.
func (r *Ring) recover() ([][]byte, error) {
	newest, first := -1, locatedRecord{}
	for i, file := range r.files {
		found, err := findFirstRecord(file)
		if err != nil {
			return nil, err
		}
		if found.ok && (newest < 0 || found.record.seq > first.record.seq) {
			newest, first = i, found
		}
	}
	if newest < 0 {
		r.current = len(r.files) - 1 // the first snapshot begins the first file
		return nil, nil
	}
	r.current = newest
	records, err := r.readFile(r.files[newest], first)
	if err != nil {
		return nil, err
	}
	for i, file := range r.files {
		if i != newest && hasLostBeginning(file, r.seq) {
			return nil, ErrDamaged
		}
	}
	return records, nil
}

// place is a copy of a record, and the place behind all copies of it.
type locatedRecord struct {
	record storedRecord
	end    int64
	ok     bool
}

// findFirst finds the record that begins a file: at its beginning, or, where that cannot be read, its other copy.
func findFirstRecord(file *os.File) (locatedRecord, error) {
	limit, err := fileSize(file)
	if err != nil {
		return locatedRecord{}, err
	}
	if record, ok := readCopy(file, 0, limit); ok {
		return locatedRecord{record: record, end: record.end(0, copiesPerRecord-1), ok: true}, nil
	}
	if isUnwritten(file) {
		return locatedRecord{}, nil
	}
	var found locatedRecord
	scanCopies(file, 1, limit, limit, func(at int64, record storedRecord) bool {
		if record.magic == magicFirst && at == copySize(record.payload) {
			found = locatedRecord{record: record, end: record.end(at, 0), ok: true}
		}
		return !found.ok
	})
	return found, nil
}

// empty tells whether a file has never been written at its beginning.
func isUnwritten(file io.ReaderAt) bool {
	var header [headerSize]byte
	_, err := file.ReadAt(header[:], 0)
	return err != nil || header == [headerSize]byte{}
}

// beginningLost tells whether a file whose first record cannot be read has records that were written when one behind the
// last that was read elsewhere was stored already.
func hasLostBeginning(file *os.File, last uint64) bool {
	limit, err := fileSize(file)
	if err != nil {
		return true
	}
	if _, ok := readCopy(file, 0, limit); ok || isUnwritten(file) {
		return false
	}
	lost := false
	scanCopies(file, 1, limit, limit, func(_ int64, record storedRecord) bool {
		lost = record.seq > last && record.synced > last
		return !lost
	})
	return lost
}

func fileSize(file *os.File) (int64, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "ring")
	}
	return info.Size(), nil
}

// readFile reads the records of a file whose first one was found.
func (r *Ring) readFile(file *os.File, first locatedRecord) ([][]byte, error) {
	limit, err := fileSize(file)
	if err != nil {
		return nil, err
	}
	ahead := &bufferedReaderAt{file: file}
	var records [][]byte
	next := first
	for next.ok {
		records = append(records, next.record.payload)
		r.seq, r.synced, r.offset = next.record.seq, next.record.seq, next.end
		if next, err = findNextRecord(ahead, file, r.offset, limit, r.seq); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// nextRecord finds the record behind the last one: at an offset, or, where that cannot be read, its other copy. None ends
// the log; one further on that was written when a lost one was stored already proves damage.
func findNextRecord(ahead, file io.ReaderAt, offset, limit int64, last uint64) (locatedRecord, error) {
	if record, ok := readCopy(ahead, offset, limit); ok && record.seq == last+1 {
		return locatedRecord{record: record, end: record.end(offset, copiesPerRecord-1), ok: true}, nil
	}
	var found locatedRecord
	damaged := false
	scanCopies(file, offset+1, min(limit, offset+maxScanDistance), limit, func(at int64, record storedRecord) bool {
		switch {
		case record.seq == last+1 && record.magic == magicDouble:
			found = locatedRecord{record: record, end: record.end(at, 0), ok: true}
		case record.seq > last+1 && record.synced > last:
			damaged = true
		}
		return !found.ok && !damaged
	})
	if damaged {
		return locatedRecord{}, ErrDamaged
	}
	return found, nil
}

// scan looks for copies of records that begin between two offsets and can be read, until it is told to stop. The file ends
// at a limit.
func scanCopies(file io.ReaderAt, from, until, limit int64, found func(at int64, record storedRecord) (goOn bool)) {
	var mark [4]byte
	binary.BigEndian.PutUint32(mark[:], magicSingle)
	prefix := mark[:3] // that all marks share
	piece := make([]byte, readBufferSize)
	for at := from; at < until; {
		n, _ := file.ReadAt(piece[:min(int64(len(piece)), until-at)], at)
		if n < len(mark) {
			return
		}
		i := bytes.Index(piece[:n], prefix)
		if i < 0 {
			at += int64(n - len(prefix))
			continue
		}
		at += int64(i)
		if record, ok := readCopy(file, at, limit); ok && !found(at, record) {
			return
		}
		at++
	}
}

// readAhead reads a file in larger pieces than it is asked for.
type bufferedReaderAt struct {
	file   io.ReaderAt
	start  int64 // where the piece begins
	buffer []byte
}

const readBufferSize = 64 << 10

func (r *bufferedReaderAt) ReadAt(b []byte, offset int64) (int, error) {
	if offset < r.start || offset+int64(len(b)) > r.start+int64(len(r.buffer)) {
		if len(b) > readBufferSize {
			return r.file.ReadAt(b, offset)
		}
		piece := make([]byte, readBufferSize)
		n, err := r.file.ReadAt(piece, offset)
		r.start, r.buffer = offset, piece[:n]
		if n < len(b) {
			return copy(b, r.buffer), err
		}
	}
	return copy(b, r.buffer[offset-r.start:]), nil
}
