package coordinationload

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	syncCount       = 50
	syncRecordBytes = 256
	syncFileMode    = 0o600
	loadAverageFile = "/proc/loadavg"
	unknownLoad     = "unknown"
)

// meanSyncTime returns the mean time of a write of a small record with its sync, in a file of a directory.
func meanSyncTime(directory string) (time.Duration, error) {
	file, err := os.OpenFile(filepath.Join(directory, "sync-probe"), os.O_CREATE|os.O_WRONLY, syncFileMode)
	if err != nil {
		return 0, errors.Wrap(err, "sync")
	}
	defer file.Close()
	// As with the records of control processes, the file has its size before, so that a sync writes no new size.
	if err := file.Truncate(syncCount * syncRecordBytes); err != nil {
		return 0, errors.Wrap(err, "sync")
	}
	if err := file.Sync(); err != nil {
		return 0, errors.Wrap(err, "sync")
	}
	record := make([]byte, syncRecordBytes)
	began := time.Now()
	for i := range syncCount {
		if _, err := file.WriteAt(record, int64(i*syncRecordBytes)); err != nil {
			return 0, errors.Wrap(err, "sync")
		}
		if err := file.Sync(); err != nil {
			return 0, errors.Wrap(err, "sync")
		}
	}
	return time.Since(began) / syncCount, nil
}

// loadAverage returns the machine's load average over a minute.
func loadAverage() string {
	text, err := os.ReadFile(loadAverageFile)
	if err != nil {
		return unknownLoad
	}
	minute, _, _ := strings.Cut(string(text), " ")
	return minute
}
