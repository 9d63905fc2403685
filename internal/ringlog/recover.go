package ringlog

import (
	"bytes"
	"encoding/binary"
	"io"
	"os"

	"github.com/pkg/errors"
)

// scanAhead is how far behind an unreadable copy the next readable one is looked for, where the log may just end there.
const scanAhead = 256 << 10

// recover finds the newest file and reads its records.
func (r *Ring) recover() ([][]byte, error) {
	newest, first := -1, place{}
	for i, file := range r.files {
		found, err := findFirst(file)
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
		if i != newest && beginningLost(file, r.seq) {
			return nil, ErrDamaged
		}
	}
	return records, nil
}

// place is a copy of a record, and the place behind all copies of it.
type place struct {
	record stored
	behind int64
	ok     bool
}

// findFirst finds the record that begins a file: at its beginning, or, where that cannot be read, its other copy.
func findFirst(file *os.File) (place, error) {
	limit, err := size(file)
	if err != nil {
		return place{}, err
	}
	if record, ok := readRecord(file, 0, limit); ok {
		return place{record: record, behind: record.behind(0, copies-1), ok: true}, nil
	}
	if empty(file) {
		return place{}, nil
	}
	var found place
	scan(file, 1, limit, limit, func(at int64, record stored) bool {
		if record.mark == markFirst && at == copySize(record.payload) {
			found = place{record: record, behind: record.behind(at, 0), ok: true}
		}
		return !found.ok
	})
	return found, nil
}

// empty tells whether a file has never been written at its beginning.
func empty(file io.ReaderAt) bool {
	var header [headerSize]byte
	_, err := file.ReadAt(header[:], 0)
	return err != nil || header == [headerSize]byte{}
}

// beginningLost tells whether a file whose first record cannot be read has records that were written when one behind the
// last that was read elsewhere was stored already.
func beginningLost(file *os.File, last uint64) bool {
	limit, err := size(file)
	if err != nil {
		return true
	}
	if _, ok := readRecord(file, 0, limit); ok || empty(file) {
		return false
	}
	lost := false
	scan(file, 1, limit, limit, func(_ int64, record stored) bool {
		lost = record.seq > last && record.synced > last
		return !lost
	})
	return lost
}

func size(file *os.File) (int64, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "ring")
	}
	return info.Size(), nil
}

// readFile reads the records of a file whose first one was found.
func (r *Ring) readFile(file *os.File, first place) ([][]byte, error) {
	limit, err := size(file)
	if err != nil {
		return nil, err
	}
	ahead := &readAhead{file: file}
	var records [][]byte
	next := first
	for next.ok {
		records = append(records, next.record.payload)
		r.seq, r.synced, r.offset = next.record.seq, next.record.seq, next.behind
		if next, err = nextRecord(ahead, file, r.offset, limit, r.seq); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// nextRecord finds the record behind the last one: at an offset, or, where that cannot be read, its other copy. None ends
// the log; one further on that was written when a lost one was stored already proves damage.
func nextRecord(ahead, file io.ReaderAt, offset, limit int64, last uint64) (place, error) {
	if record, ok := readRecord(ahead, offset, limit); ok && record.seq == last+1 {
		return place{record: record, behind: record.behind(offset, copies-1), ok: true}, nil
	}
	var found place
	damaged := false
	scan(file, offset+1, min(limit, offset+scanAhead), limit, func(at int64, record stored) bool {
		switch {
		case record.seq == last+1 && record.mark == markTwice:
			found = place{record: record, behind: record.behind(at, 0), ok: true}
		case record.seq > last+1 && record.synced > last:
			damaged = true
		}
		return !found.ok && !damaged
	})
	if damaged {
		return place{}, ErrDamaged
	}
	return found, nil
}

// scan looks for copies of records that begin between two offsets and can be read, until it is told to stop. The file ends
// at a limit.
func scan(file io.ReaderAt, from, until, limit int64, found func(at int64, record stored) (goOn bool)) {
	var mark [4]byte
	binary.BigEndian.PutUint32(mark[:], markSingle)
	prefix := mark[:3] // that all marks share
	piece := make([]byte, readAheadSize)
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
		if record, ok := readRecord(file, at, limit); ok && !found(at, record) {
			return
		}
		at++
	}
}

// readAhead reads a file in larger pieces than it is asked for.
type readAhead struct {
	file  io.ReaderAt
	at    int64 // where the piece begins
	piece []byte
}

const readAheadSize = 64 << 10

func (r *readAhead) ReadAt(b []byte, offset int64) (int, error) {
	if offset < r.at || offset+int64(len(b)) > r.at+int64(len(r.piece)) {
		if len(b) > readAheadSize {
			return r.file.ReadAt(b, offset)
		}
		piece := make([]byte, readAheadSize)
		n, err := r.file.ReadAt(piece, offset)
		r.at, r.piece = offset, piece[:n]
		if n < len(b) {
			return copy(b, r.piece), err
		}
	}
	return copy(b, r.piece[offset-r.at:]), nil
}
