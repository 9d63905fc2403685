package coordinationload

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestRecorded = time.Minute // what took longer is recorded as that
	histogramDigits = 3           // significant decimal digits of a recorded time
)

// operation is a call as the table names it.
type operation string

const (
	putKey     operation = "put"
	readKey    operation = "read"
	takeLock   operation = "take lock"
	returnLock operation = "return lock"
	nextNumber operation = "number"
)

// operations are all rows of the table, in order.
var operations = []operation{putKey, readKey, takeLock, returnLock, nextNumber}

// noAnswer is the status of a call without an answer.
const noAnswer = 0

// counts are the calls of one operation.
type counts struct {
	// times has the time of each call that succeeded, in microseconds.
	times    *hdrhistogram.Histogram
	failures map[int]int // by status
}

// tally records calls. It is safe for use by several goroutines.
type tally struct {
	mu          sync.Mutex
	byOperation map[operation]*counts
}

func newTally() *tally {
	t := &tally{byOperation: map[operation]*counts{}}
	for _, name := range operations {
		t.byOperation[name] = &counts{
			times: hdrhistogram.New(1, longestRecorded.Microseconds(), histogramDigits), failures: map[int]int{},
		}
	}
	return t
}

// add records a call.
func (t *tally) add(name operation, status int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.byOperation[name]
	if !succeeded(name, status) {
		counts.failures[status]++
		return
	}
	counts.times.RecordValue(min(took, longestRecorded).Microseconds())
}

// succeeded reports whether a status is an answer. A read of a key that was never put is answered with 404.
func succeeded(name operation, status int) bool {
	return status == http.StatusOK || name == readKey && status == http.StatusNotFound
}
