// Package ringlog stores records in a ring of preallocated files. Each file begins with a snapshot, so that the files
// before it may be written over. A record carries its sequence number, the one up to which all was known to be stored
// when it was written, and a checksum: what a loss of power has torn ends the log, and what was stored and can no longer
// be read is told as damage.
package ringlog

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"
)

const (
	magic      = 0x6472_6c31
	headerSize = 4 + 4 + 8 + 8 + 4
	// scanAhead is how far behind an unreadable record one that proves damage is looked for.
	scanAhead = 256 << 10
	fileMode  = 0o644
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged tells that records which were stored can no longer be read: this copy must not be trusted.
var ErrDamaged = errors.New("stored records cannot be read")

// Options of a ring.
type Options struct {
	Directory string
	Files     int
	FileSize  int64 // preallocated for each file
}

// Ring is an open ring. It is used by one goroutine.
type Ring struct {
	options Options
	files   []*os.File
	current int   // index of the file that is written
	offset  int64 // in it
	seq     uint64
	synced  uint64
	dirty   map[int]bool
}

// Record is one to be appended.
type Record struct {
	Payload []byte
	// Rotate begins a new file with this record, that stands for all before it.
	Rotate bool
}

// Open opens a ring, and makes it where there is none. It returns the records since the newest snapshot.
func Open(options Options) (*Ring, [][]byte, error) {
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return nil, nil, errors.Wrap(err, "ring")
	}
	r := &Ring{options: options, dirty: map[int]bool{}}
	created := false
	for i := range options.Files {
		file, fresh, err := openFile(filepath.Join(options.Directory, "ring-"+strconv.Itoa(i)), options.FileSize)
		if err != nil {
			r.Close()
			return nil, nil, err
		}
		created = created || fresh
		r.files = append(r.files, file)
	}
	if created {
		if err := syncDirectory(options.Directory); err != nil {
			r.Close()
			return nil, nil, err
		}
	}
	records, err := r.recover()
	if err != nil {
		r.Close()
		return nil, nil, err
	}
	return r, records, nil
}

func openFile(path string, size int64) (file *os.File, fresh bool, err error) {
	file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, false, errors.Wrap(err, "ring")
	}
	info, err := file.Stat()
	if err == nil && info.Size() < size {
		fresh = true
		err = file.Truncate(size)
		if err == nil {
			err = file.Sync()
		}
	}
	if err != nil {
		file.Close()
		return nil, false, errors.Wrap(err, "ring")
	}
	return file, fresh, nil
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "ring")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "ring")
}

// Close closes the files.
func (r *Ring) Close() {
	for _, file := range r.files {
		file.Close()
	}
}

// Capacity is how many bytes of records a file is meant for.
func (r *Ring) Capacity() int64 { return r.options.FileSize }

// Size is what a payload takes.
func Size(payload []byte) int64 { return headerSize + int64(len(payload)) }

// Append writes records and syncs them. After an error the same records may be appended again.
func (r *Ring) Append(records []Record) error {
	seq, current, offset := r.seq, r.current, r.offset
	err := r.write(records)
	if err == nil {
		err = r.sync()
	}
	if err != nil {
		r.seq, r.current, r.offset = seq, current, offset
		return err
	}
	r.synced = r.seq
	return nil
}

func (r *Ring) write(records []Record) error {
	var buffer []byte
	flush := func() error {
		if len(buffer) == 0 {
			return nil
		}
		r.dirty[r.current] = true
		if _, err := r.files[r.current].WriteAt(buffer, r.offset); err != nil {
			return errors.Wrap(err, "ring")
		}
		r.offset += int64(len(buffer))
		buffer = buffer[:0]
		return nil
	}
	for _, record := range records {
		if record.Rotate {
			if err := flush(); err != nil {
				return err
			}
			r.current = (r.current + 1) % len(r.files)
			r.offset = 0
		}
		r.seq++
		buffer = appendRecord(buffer, r.seq, r.synced, record.Payload)
	}
	return flush()
}

func (r *Ring) sync() error {
	for i := range r.dirty {
		if err := r.files[i].Sync(); err != nil {
			return errors.Wrap(err, "ring")
		}
		delete(r.dirty, i)
	}
	return nil
}

func appendRecord(buffer []byte, seq, synced uint64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, magic)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint64(buffer, seq)
	buffer = binary.BigEndian.AppendUint64(buffer, synced)
	sum := crc32.Update(crc32.Checksum(buffer[start:], castagnoli), castagnoli, payload)
	buffer = binary.BigEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

// stored is a record as it was read.
type stored struct {
	seq, synced uint64
	payload     []byte
}

// readRecord reads the record at an offset; it is false where there is none that can be read.
func readRecord(file io.ReaderAt, offset, limit int64) (stored, bool) {
	var header [headerSize]byte
	if _, err := file.ReadAt(header[:], offset); err != nil {
		return stored{}, false
	}
	length := int64(binary.BigEndian.Uint32(header[4:]))
	if binary.BigEndian.Uint32(header[:]) != magic || offset+headerSize+length > limit {
		return stored{}, false
	}
	payload := make([]byte, length)
	if _, err := file.ReadAt(payload, offset+headerSize); err != nil {
		return stored{}, false
	}
	sum := crc32.Update(crc32.Checksum(header[:headerSize-4], castagnoli), castagnoli, payload)
	if binary.BigEndian.Uint32(header[headerSize-4:]) != sum {
		return stored{}, false
	}
	return stored{seq: binary.BigEndian.Uint64(header[8:]), synced: binary.BigEndian.Uint64(header[16:]), payload: payload}, true
}

// recover finds the newest file and reads its records.
func (r *Ring) recover() ([][]byte, error) {
	newest, first := -1, stored{}
	for i, file := range r.files {
		limit, err := size(file)
		if err != nil {
			return nil, err
		}
		if record, ok := readRecord(file, 0, limit); ok && (newest < 0 || record.seq > first.seq) {
			newest, first = i, record
		}
	}
	if newest < 0 {
		r.current = len(r.files) - 1 // the first snapshot begins the first file
		return nil, nil
	}
	r.current = newest
	return r.readFile(r.files[newest])
}

func size(file *os.File) (int64, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "ring")
	}
	return info.Size(), nil
}

func (r *Ring) readFile(file *os.File) ([][]byte, error) {
	limit, err := size(file)
	if err != nil {
		return nil, err
	}
	ahead := &readAhead{file: file}
	var records [][]byte
	for {
		record, ok := readRecord(ahead, r.offset, limit)
		if !ok || len(records) > 0 && record.seq != r.seq+1 {
			break
		}
		records = append(records, record.payload)
		r.seq, r.synced = record.seq, record.seq
		r.offset += Size(record.payload)
	}
	if provesDamage(file, r.offset, limit, r.seq) {
		return nil, ErrDamaged
	}
	return records, nil
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

// provesDamage looks behind the end of the log for a record that was written when a lost one was stored already.
func provesDamage(file io.ReaderAt, offset, limit int64, last uint64) bool {
	ahead := make([]byte, min(scanAhead, max(limit-offset, 0)))
	n, _ := file.ReadAt(ahead, offset)
	ahead = ahead[:n]
	var mark [4]byte
	binary.BigEndian.PutUint32(mark[:], magic)
	for at := 1; at+headerSize <= len(ahead); at++ {
		if ahead[at] != mark[0] || string(ahead[at:at+4]) != string(mark[:]) {
			continue
		}
		record, ok := readRecord(file, offset+int64(at), limit)
		if ok && record.seq > last+1 && record.synced > last {
			return true
		}
	}
	return false
}
