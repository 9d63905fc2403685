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

// NewRecorder returns a recorder whose history begins now.
func NewRecorder() *Recorder { return &Recorder{began: time.Now()} }

// Now is the time since the history's beginning, by the steady clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.began) }

// Began is when the history began.
func (r *Recorder) Began() time.Time { return r.began }

// Add adds a call that has ended.
func (r *Recorder) Add(call Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

// Calls returns the calls in the order in which they ended.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// Write writes the calls, a line of JSON each.
func Write(out io.Writer, calls []Call) error {
	encoder := json.NewEncoder(out)
	for _, call := range calls {
		if err := encoder.Encode(call); err != nil {
			return err
		}
	}
	return nil
}
