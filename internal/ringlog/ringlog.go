// Package ringlog stores records in a ring of preallocated files. Each file begins with a snapshot, so that the files
// before it may be written over. A record carries its sequence number, the one up to which all was known to be stored
// when it was written, and a checksum, and is written twice: what a loss of power has torn ends the log, a record of which
// one copy can no longer be read is read from the other, and what was stored and cannot be read at all is told as damage.
package ringlog

import (
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"
)

const fileMode = 0o644

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
	options  Options
	files    []*os.File
	current  int   // index of the file that is written
	offset   int64 // in it
	seq      uint64
	synced   uint64
	unsynced map[int]bool
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
	r := &Ring{options: options, unsynced: map[int]bool{}}
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
		for _, directory := range []string{options.Directory, filepath.Dir(options.Directory)} {
			if err := syncDirectory(directory); err != nil {
				r.Close()
				return nil, nil, err
			}
		}
	}
	records, err := r.recover()
	if err != nil {
		r.Close()
		return nil, nil, err
	}
	return r, records, nil
}

func openFile(path string, size int64) (file *os.File, created bool, err error) {
	file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, false, errors.Wrap(err, "ring")
	}
	info, err := file.Stat()
	if err == nil && info.Size() < size {
		created = true
		err = file.Truncate(size)
		if err == nil {
			err = file.Sync()
		}
	}
	if err != nil {
		file.Close()
		return nil, false, errors.Wrap(err, "ring")
	}
	return file, created, nil
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

// FileCapacity is how many bytes of records a file is meant for.
func (r *Ring) FileCapacity() int64 { return r.options.FileSize }

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
		r.unsynced[r.current] = true
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
		buffer = appendRecord(buffer, r.seq, r.synced, record)
	}
	return flush()
}

func (r *Ring) sync() error {
	for i := range r.unsynced {
		if err := r.files[i].Sync(); err != nil {
			return errors.Wrap(err, "ring")
		}
		delete(r.unsynced, i)
	}
	return nil
}
