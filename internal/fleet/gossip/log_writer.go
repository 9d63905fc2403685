package gossip

import (
	"bytes"
	"io"
	"strings"
	"sync"

	"go.uber.org/zap"
)

// maxPartialLine bounds the bytes that are kept of an unfinished line; a longer one is discarded.
const maxPartialLine = 4096

// logWriter forwards memberlist's own log to the process's log. Warnings and errors are logged as warnings, other lines
// at debug level.
type logWriter struct {
	log     *zap.Logger
	mu      sync.Mutex
	partial []byte // the beginning of a line that has not ended yet
}

var _ io.Writer = (*logWriter)(nil)

// Write logs each complete line.
func (w *logWriter) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partial = append(w.partial, text...)
	for {
		end := bytes.IndexByte(w.partial, '\n')
		if end < 0 {
			break
		}
		line := strings.TrimSpace(string(w.partial[:end]))
		w.partial = w.partial[end+1:]
		w.writeLine(line)
	}
	if len(w.partial) > maxPartialLine {
		w.partial = w.partial[:0]
	}
	return len(text), nil
}

func (w *logWriter) writeLine(line string) {
	if strings.Contains(line, "[ERR]") || strings.Contains(line, "[WARN]") {
		w.log.Warn("fleet.memberlist", zap.String("said", line))
		return
	}
	w.log.Debug("fleet.memberlist", zap.String("said", line))
}
