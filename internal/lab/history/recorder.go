package history

import (
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"
)

// Recorder collects the calls of concurrent clients.
type Recorder struct {
	began time.Time
	mu    sync.Mutex
	calls []Call
}

// NewRecorder returns a recorder with an empty history that begins now.
func NewRecorder() *Recorder { return &Recorder{began: time.Now()} }

// Now returns the time since the beginning of the history, by the monotonic clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.began) }

// Began returns the time at which the history began.
func (r *Recorder) Began() time.Time { return r.began }

// Add records a completed call.
func (r *Recorder) Add(call Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

// Calls returns a copy of the calls, in the order of their completion.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// Write writes the calls as JSON, one call a line.
func Write(out io.Writer, calls []Call) error {
	encoder := json.NewEncoder(out)
	for _, call := range calls {
		if err := encoder.Encode(call); err != nil {
			return err
		}
	}
	return nil
}
