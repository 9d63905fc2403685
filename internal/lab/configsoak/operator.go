package configsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dykering/internal/lab/pause"
)

const (
	// operatorTimeout is how long an operator waits for an answer before it goes on to another control process.
	operatorTimeout = time.Second
	// maxSends bounds how often a change is sent without a clear answer.
	maxSends        = 12
	minResendPause  = 50 * time.Millisecond
	maxResendPause  = 400 * time.Millisecond
	maxChangePause  = 900 * time.Millisecond
	resendFraction  = 0.3
	invalidFraction = 0.15
	readFraction    = 0.5
	// changesPerReplacement is the number of changes of which one replaces the whole configuration.
	changesPerReplacement = 3
)

// ledger is what the operators know of the configuration in force. It is safe for concurrent use.
type ledger struct {
	mu     sync.Mutex
	newest *change // the newest change that is known to be in force
	lastID int
}

// current returns the newest change that is known to be in force.
func (l *ledger) current() *change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// advance records a change that is known to be in force.
func (l *ledger) advance(c *change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.version > l.newest.version {
		l.newest = c
	}
}

// draw returns a new identifier.
func (l *ledger) draw() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return l.lastID
}

// controlProcesses returns the public addresses of the control processes that the operators know, with their names.
type controlProcesses func() []namedAddress

type namedAddress struct{ name, address string }

// operator changes and reads the configuration. Two of them share a ledger.
type operator struct {
	recorder *recorder
	ledger   *ledger
	known    controlProcesses
	random   *rand.Rand
	client   http.Client
}

func newOperator(r *recorder, l *ledger, known controlProcesses, seed, stream uint64) *operator {
	return &operator{
		recorder: r, ledger: l, known: known, random: rand.New(rand.NewPCG(seed, stream)),
		client: http.Client{Timeout: operatorTimeout},
	}
}

// run changes and reads the configuration until done is closed.
func (o *operator) run(done <-chan struct{}) {
	for pause.For(done, rand.N(maxChangePause)) {
		if o.random.Float64() < invalidFraction {
			o.sendInvalid(done)
		}
		o.change(done)
		if o.random.Float64() < readFraction {
			o.read()
		}
	}
}

// change makes one change on top of the newest known version. It returns true once the change is acknowledged.
func (o *operator) change(done <-chan struct{}) bool {
	base := o.ledger.current()
	id := o.ledger.draw()
	c := &change{id: id, base: base.version, version: base.version + 1 + o.random.IntN(3), table: base.table.next(o.random, id)}
	path, body := "/configuration/replace", mustMarshal(c.table.document(c.version))
	if base.version > 0 && o.random.IntN(changesPerReplacement) > 0 {
		path, body = "/configuration/modify", mustMarshal(base.table.modification(c.table, c.version))
	}
	o.recorder.addChange(c)
	status := o.sendUntilClear(done, path, c.base, body)
	o.recorder.settle(c, verdictOf(status))
	switch {
	case status == http.StatusOK:
		o.ledger.advance(c)
		o.resend(c, path, body)
		return true
	case status == http.StatusPreconditionFailed && o.ledger.current() != base, status == 0:
		// Another operator has won, or the answer is not clear.
	case status != http.StatusPreconditionFailed:
		o.recorder.addViolation("REFUSED", "%v, which is valid, was answered with %d", c, status)
	}
	o.read() // tells what is in force
	return false
}

// verdictOf returns the verdict of a clear answer.
func verdictOf(status int) verdict {
	switch {
	case status == http.StatusOK:
		return acknowledged
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return rejected
	}
	return unclear
}

// sendUntilClear sends a change, again and again to random control processes, until the answer is clear. It returns 0 if none was.
func (o *operator) sendUntilClear(done <-chan struct{}, path string, base int, body []byte) int {
	for range maxSends {
		status := o.send(path, base, body)
		if verdictOf(status) != unclear && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return status
		}
		if !pause.For(done, minResendPause+rand.N(maxResendPause)) {
			return 0
		}
	}
	return 0
}

// resend sometimes sends an acknowledged change again. It must not be refused while it is the newest one.
func (o *operator) resend(c *change, path string, body []byte) {
	if o.random.Float64() > resendFraction {
		return
	}
	status := o.send(path, c.base, body)
	if verdictOf(status) == rejected && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
		o.recorder.addViolation("RESENT", "%v was acknowledged, and refused with %d when it was sent again", c, status)
	}
}

// sendInvalid sends an invalid change on top of the newest known version. It must not be acknowledged.
func (o *operator) sendInvalid(done <-chan struct{}) {
	base := o.ledger.current()
	id := o.ledger.draw()
	c := &change{id: id, base: base.version, version: base.version + 1, table: base.table.next(o.random, id), verdict: rejected}
	var body []byte
	body, c.invalid = invalidChange(o.random, c.table.document(c.version))
	o.recorder.addChange(c)
	if status := o.sendUntilClear(done, "/configuration/replace", c.base, body); status == http.StatusOK {
		o.recorder.addViolation("INVALID", "%v was acknowledged, although %s", c, c.invalid)
	}
}

// send sends a change once to a random control process. It returns the status, or 0 without an answer.
func (o *operator) send(path string, base int, body []byte) int {
	request, err := o.newRequest(http.MethodPost, path, body)
	if err != nil {
		return 0
	}
	request.Header.Set("X-Base-Version", fmt.Sprint(base))
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

func (o *operator) newRequest(method, path string, body []byte) (*http.Request, error) {
	known := o.known()
	process := known[rand.IntN(len(known))]
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+process.address+path, bytes.NewReader(body))
	if err == nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, err
}

// read reads the configuration at a random control process, and records what is in force. It returns false without an answer.
func (o *operator) read() bool {
	request, err := o.newRequest(http.MethodGet, "/configuration/read", nil)
	if err != nil {
		return false
	}
	read := configurationRead{process: request.URL.Host, sentAt: o.recorder.now()}
	response, err := o.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&read.document) != nil {
		return false
	}
	read.endedAt = o.recorder.now()
	o.recorder.addRead(read)
	if c := o.recorder.changeByMark(read.document.mark()); c != nil && o.recorder.verdictOf(c) != rejected {
		o.recorder.settle(c, acknowledged)
		o.ledger.advance(c)
	}
	return true
}
