package ringlog

import (
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"
)

const (
	fileMode      = 0o644
	directoryMode = 0o755
)

// ErrDamaged is returned by Open if synced records can no longer be read. The caller must not use the remaining records.
var ErrDamaged = errors.New("ring log is damaged: synced records cannot be read")

// Options configures a Ring. The options must be the same each time that the ring is opened.
type Options struct {
	// Directory has the files of the ring. Open creates the directory if it does not exist.
	Directory string
	// Files is the number of files. It is at least 2, as the newest snapshot must survive while the next one is written.
	Files int
	// FileSize is the number of bytes preallocated for each file.
	FileSize int64
}

// Ring is an open log. It is not safe for concurrent use.
type Ring struct {
	options Options
	files   []*os.File
	// current is the index of the file to which records are appended.
	current int
	// offset is the offset of the next record in the current file.
	offset int64
	// seq is the sequence number of the last written record.
	seq uint64
	// synced is the sequence number of the last synced record.
	synced uint64
	// unsynced are the indexes of the files that were written since the last sync.
	unsynced map[int]bool
}

// Record is a record to append.
type Record struct {
	Payload []byte
	// Rotate is set for a snapshot: the record begins the next file and replaces all records before it. The first record of
	// a log must be a snapshot.
	Rotate bool
}

// Open opens the ring in a directory, or creates it if there is none. It returns the payloads of the newest snapshot and of
// all records after it. A new ring has no records. The error is ErrDamaged if synced records cannot be read.
func Open(options Options) (*Ring, [][]byte, error) {
	if err := os.MkdirAll(options.Directory, directoryMode); err != nil {
		return nil, nil, errors.Wrap(err, "create directory of ring log")
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

// openFile opens a file of the ring. If the file is shorter than size, openFile extends it, and created is true.
func openFile(path string, size int64) (file *os.File, created bool, err error) {
	file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, false, errors.Wrap(err, "open file of ring log")
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
		return nil, false, errors.Wrap(err, "preallocate file of ring log")
	}
	return file, created, nil
}

// syncDirectory syncs a directory, so that new files in it survive a power loss.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open directory of ring log")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "sync directory of ring log")
}

// Close closes the files. It does not sync them, as Append has synced all records.
func (r *Ring) Close() {
	for _, file := range r.files {
		file.Close()
	}
}

// FileCapacity returns the intended size of the records in one file, which is Options.FileSize. The caller appends a snapshot
// before the records of a file exceed it, as the ring begins a new file only for a snapshot.
func (r *Ring) FileCapacity() int64 { return r.options.FileSize }

// Append writes records and syncs them. After an error, it is unknown whether the records survive a power loss. The caller may
// append the same records again; they take the same place in the log.
func (r *Ring) Append(records []Record) error {
	seq, current, offset := r.seq, r.current, r.offset
	err := r.write(records)
	if err == nil {
		err = r.sync()
	}
	if err != nil {
		r.seq = seq
		r.current = current
		r.offset = offset
		return err
	}
	r.synced = r.seq
	return nil
}

// write writes records without syncing them. It writes consecutive records in one file with a single call.
func (r *Ring) write(records []Record) error {
	var buffer []byte
	flush := func() error {
		if len(buffer) == 0 {
			return nil
		}
		r.unsynced[r.current] = true
		if _, err := r.files[r.current].WriteAt(buffer, r.offset); err != nil {
			return errors.Wrap(err, "write records to ring log")
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

// sync syncs the files that were written since the last sync. A file whose sync fails stays in r.unsynced.
func (r *Ring) sync() error {
	for i := range r.unsynced {
		if err := r.files[i].Sync(); err != nil {
			return errors.Wrap(err, "sync file of ring log")
		}
		delete(r.unsynced, i)
	}
	return nil
}
