package coordinationload

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestRecorded = time.Minute // longer times are recorded as this value
	histogramDigits = 3           // significant decimal digits of a recorded time
)

// operation is the name of a call in the table.
type operation string

const (
	putKey     operation = "put"
	readKey    operation = "read"
	takeLock   operation = "take lock"
	returnLock operation = "return lock"
	nextNumber operation = "number"
)

// operations lists the rows of the table in order.
var operations = []operation{putKey, readKey, takeLock, returnLock, nextNumber}

// noAnswer is the status of a call that got no complete answer.
const noAnswer = 0

// counts holds the results of the calls of one operation.
type counts struct {
	// times holds the latency of each successful call, in microseconds.
	times    *hdrhistogram.Histogram
	failures map[int]int // number of failed calls by status
}

// tally records the results of calls. It is safe for concurrent use.
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

// add records the status and latency of a call.
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

// succeeded reports whether a status is a success. A read of a key that was never put succeeds with 404.
func succeeded(name operation, status int) bool {
	return status == http.StatusOK || name == readKey && status == http.StatusNotFound
}
