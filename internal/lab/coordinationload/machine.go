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

// meanSyncTime returns the mean time to write and sync a small record in a file of the directory.
func meanSyncTime(directory string) (time.Duration, error) {
	file, err := os.OpenFile(filepath.Join(directory, "sync-probe"), os.O_CREATE|os.O_WRONLY, syncFileMode)
	if err != nil {
		return 0, errors.Wrap(err, "measure the sync time")
	}
	defer file.Close()
	// The file gets its final size first, like the record files of control processes, so that a sync writes no new file size.
	if err := file.Truncate(syncCount * syncRecordBytes); err != nil {
		return 0, errors.Wrap(err, "measure the sync time")
	}
	if err := file.Sync(); err != nil {
		return 0, errors.Wrap(err, "measure the sync time")
	}
	record := make([]byte, syncRecordBytes)
	began := time.Now()
	for i := range syncCount {
		if _, err := file.WriteAt(record, int64(i*syncRecordBytes)); err != nil {
			return 0, errors.Wrap(err, "measure the sync time")
		}
		if err := file.Sync(); err != nil {
			return 0, errors.Wrap(err, "measure the sync time")
		}
	}
	return time.Since(began) / syncCount, nil
}

// loadAverage returns the one-minute load average of the machine.
func loadAverage() string {
	text, err := os.ReadFile(loadAverageFile)
	if err != nil {
		return unknownLoad
	}
	minute, _, _ := strings.Cut(string(text), " ")
	return minute
}
