package gossip

import (
	"bytes"
	"io"
	"strings"
	"sync"

	"go.uber.org/zap"
)

// maxPartialLine bounds, in bytes, a line that has no end yet.
const maxPartialLine = 4096

// logWriter is the output of memberlist's own log: its warnings and errors become warnings, the rest debug lines.
type logWriter struct {
	log     *zap.Logger
	mu      sync.Mutex
	partial []byte // what has been written of a line
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
