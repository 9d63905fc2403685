package ringlog

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// maxScanDistance is the number of bytes after an unreadable copy in which recovery searches for the second copy of the record
// and for evidence of damage. It bounds the time to open a log that ends there without damage.
const maxScanDistance = 256 << 10

// locatedRecord is a record with the offset of the end of its last copy.
type locatedRecord struct {
	record storedRecord
	end    int64
}

// recover finds the newest file, reads its records and prepares the ring for appending after them.
func (r *Ring) recover() ([][]byte, error) {
	newest, first, err := r.findNewestFile()
	if err != nil {
		return nil, err
	}
	if first == nil {
		// The log is empty. Its first snapshot goes to the file after the last one, which is the first file.
		r.current = len(r.files) - 1
		return nil, nil
	}
	r.current = newest
	records, err := r.readRecords(r.files[newest], first)
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

// findNewestFile returns the index and the first record of the most recently started file. The record is nil if no file has a
// readable first record.
func (r *Ring) findNewestFile() (newest int, first *locatedRecord, err error) {
	for i, file := range r.files {
		found, err := findFirstRecord(file)
		if err != nil {
			return 0, nil, err
		}
		if found != nil && (first == nil || found.record.seq > first.record.seq) {
			newest, first = i, found
		}
	}
	return newest, first, nil
}

// findFirstRecord returns the first record of a file. It uses the second copy if the first one cannot be read. It returns nil
// if there is no readable copy.
func findFirstRecord(file *os.File) (*locatedRecord, error) {
	limit, err := fileSize(file)
	if err != nil {
		return nil, err
	}
	if record, ok := readCopy(file, 0, limit); ok {
		return &locatedRecord{record: record, end: record.endOfFirstCopy(0)}, nil
	}
	if isUnwritten(file) {
		return nil, nil
	}
	var found *locatedRecord
	scanCopies(file, 1, limit, limit, func(offset int64, record storedRecord) bool {
		if record.magic == magicFirst && offset == copySize(record.payload) {
			found = &locatedRecord{record: record, end: record.endOfLastCopy(offset)}
		}
		return found == nil
	})
	return found, nil
}

// isUnwritten reports whether a file begins with zeros, which means that no record was ever written to it.
func isUnwritten(file io.ReaderAt) bool {
	var header [headerSize]byte
	_, err := file.ReadAt(header[:], 0)
	return err != nil || header == [headerSize]byte{}
}

// hasLostBeginning reports whether a file lost its first record although that record was synced and is newer than the last
// recovered record. Without this check, recovery would fall back to an older file and not notice the loss.
func hasLostBeginning(file *os.File, lastSeq uint64) bool {
	limit, err := fileSize(file)
	if err != nil {
		return true
	}
	if _, ok := readCopy(file, 0, limit); ok || isUnwritten(file) {
		return false
	}
	lost := false
	scanCopies(file, 1, limit, limit, func(_ int64, record storedRecord) bool {
		lost = provesLoss(record, lastSeq)
		return !lost
	})
	return lost
}

// provesLoss reports whether a record states that records after the last recovered one had been synced when it was written.
func provesLoss(record storedRecord, lastSeq uint64) bool {
	return record.seq > lastSeq && record.synced > lastSeq
}

// readRecords returns the payloads of a file's records, given the first record. It sets the position at which the next record
// is appended.
func (r *Ring) readRecords(file *os.File, first *locatedRecord) ([][]byte, error) {
	limit, err := fileSize(file)
	if err != nil {
		return nil, err
	}
	reader := &bufferedReaderAt{file: file}
	var payloads [][]byte
	for next := first; next != nil; {
		payloads = append(payloads, next.record.payload)
		r.seq = next.record.seq
		r.synced = next.record.seq
		r.offset = next.end
		if next, err = findNextRecord(reader, file, r.offset, limit, r.seq); err != nil {
			return nil, err
		}
	}
	return payloads, nil
}

// findNextRecord returns the record that follows the record with the sequence number lastSeq. It reads the copy at the offset
// or, if that copy cannot be read, the second copy. It returns nil at the end of the log, and ErrDamaged if a later record
// proves that the next record had been synced.
func findNextRecord(reader, file io.ReaderAt, offset, limit int64, lastSeq uint64) (*locatedRecord, error) {
	if record, ok := readCopy(reader, offset, limit); ok && record.seq == lastSeq+1 {
		return &locatedRecord{record: record, end: record.endOfFirstCopy(offset)}, nil
	}
	var found *locatedRecord
	damaged := false
	scanEnd := min(limit, offset+maxScanDistance)
	scanCopies(file, offset+1, scanEnd, limit, func(at int64, record storedRecord) bool {
		switch {
		case record.seq == lastSeq+1 && record.magic == magicDouble:
			found = &locatedRecord{record: record, end: record.endOfLastCopy(at)}
		case record.seq > lastSeq+1 && provesLoss(record, lastSeq):
			damaged = true
		}
		return found == nil && !damaged
	})
	if damaged {
		return nil, ErrDamaged
	}
	return found, nil
}

func fileSize(file *os.File) (int64, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "get size of ring log file")
	}
	return info.Size(), nil
}
