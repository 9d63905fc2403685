package requestsoak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"dykering/internal/lab/pause"
)

const (
	// operationTimeout is the time that a client has for an operation with its retries.
	operationTimeout = 2500 * time.Millisecond
	// maxTries bounds the tries of an operation. Impatient clients make more.
	maxTries          = 2
	maxImpatientTries = 4
	// retryAfterFraction is the share of its time left for which a client waits as it is told.
	retryAfterFraction         = 1.0 / 3
	meanPause                  = 40 * time.Millisecond
	maxPause                   = 400 * time.Millisecond
	impatientProbability       = 0.2 // clients that retry at once, and more often
	keepingProbability         = 0.6 // clients that use a connection for many requests
	libraryProbability         = 0.2 // clients that use the standard library, which retries by itself
	chunkedProbability         = 0.3 // requests whose body comes in chunks
	longBodyRequestProbability = 0.02
	longestBodyProbability     = 0.03
	slowSendProbability        = 0.1 // requests that are sent in two parts
	onceProbability            = 0.5 // requests that may run once
	streamProbability          = 0.3
	resumableProbability       = 0.5 // streams that can be resumed
)

// bodyByte is the byte that all bodies of requests consist of.
const bodyByte = 'b'

// client sends operations one after another. It is not safe for concurrent use.
type client struct {
	name      string
	system    *system
	dice      *dice
	keeps     bool // uses a connection for many requests
	impatient bool
	conn      *clientConn
	library   *libraryClient // nil for a client that uses conn
	count     int
}

func newClient(s *system, index int) *client {
	d := newDice(s.Seed, clientStream+uint64(index))
	c := &client{
		name: fmt.Sprintf("c%d", index), system: s, dice: d, keeps: d.happens(keepingProbability), impatient: d.happens(impatientProbability),
	}
	if d.happens(libraryProbability) {
		c.library = newLibraryClient()
	}
	return c
}

// run sends operations until the clients must stop.
func (c *client) run() {
	defer c.disconnect()
	for pause.For(c.system.clientsDone, c.dice.exponential(meanPause, maxPause)) {
		c.operate()
	}
}

func (c *client) disconnect() {
	if c.library != nil {
		c.library.disconnect()
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// drawKind draws the kind of an operation.
func (c *client) drawKind() RouteKind {
	switch {
	case c.dice.happens(onceProbability):
		return NonIdempotent
	case c.dice.happens(streamProbability / (1 - onceProbability)):
		return lo.Ternary(c.dice.happens(resumableProbability), Resumable, Streaming)
	}
	return Idempotent
}

func (c *client) drawBody() string {
	length := c.dice.number(maxRequestBody)
	switch {
	case c.dice.happens(longestBodyProbability):
		length = longRequestBody - c.dice.number(longRequestBody/longestBodyParts)
	case c.dice.happens(longBodyRequestProbability):
		length = c.dice.number(longRequestBody)
	}
	return strings.Repeat(string(bodyByte), length)
}

// operate performs an operation. It retries as the platform's clients do: idempotent requests after any failure, others only
// after a promise that they have not run, or when the connection ended before the proxy had read the request.
func (c *client) operate() {
	c.count++
	operation, kind, deadline := fmt.Sprintf("%s-%d", c.name, c.count), c.drawKind(), time.Now().Add(operationTimeout)
	body := c.drawBody()
	tries := maxTries
	if c.impatient {
		tries = maxImpatientTries
	}
	for i := range tries {
		try := &Try{ID: fmt.Sprintf("%s-%d", operation, i), Operation: operation, Kind: kind}
		header := c.send(try, body, deadline)
		if !mayRetry(try) || time.Until(deadline) <= 0 {
			return
		}
		c.disconnect() // a retry uses a new connection
		if !pause.For(c.system.clientsDone, c.retryPause(header, deadline)) {
			return
		}
	}
}

// mayRetry reports whether a client may retry an operation after a try.
func mayRetry(try *Try) bool {
	isSuccess := try.Status >= 200 && try.Status < 300 && try.End == NotEnded
	switch {
	case isSuccess:
		return false
	case !try.Kind.runsOnce():
		return try.Status < http.StatusBadRequest || try.Status >= http.StatusInternalServerError || promisesNotRun(try.Status)
	case try.End == Unreachable || try.End == NotSent || try.End == Reset:
		return true
	}
	return try.End == NotEnded && promisesNotRun(try.Status)
}

// retryPause returns how long a client waits before its next try.
func (c *client) retryPause(header http.Header, deadline time.Time) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || c.impatient {
		return 0
	}
	most := time.Duration(retryAfterFraction * float64(time.Until(deadline)))
	return min(time.Duration(seconds*float64(time.Second)), most)
}

// send makes a try and records it. It returns the header of the response, or nil.
func (c *client) send(try *Try, body string, deadline time.Time) http.Header {
	recorder := c.system.recorder
	if c.library != nil {
		proxy := c.system.platform.proxyFor(c.dice)
		try.Proxy, try.Sent, try.Deadline = proxy.Name, recorder.now(), recorder.now()+time.Until(deadline)
		header := c.library.exchange(try, proxy.Public, body, deadline)
		try.Ended = recorder.now()
		recorder.addTry(try)
		return header
	}
	if c.conn == nil {
		proxy := c.system.platform.proxyFor(c.dice)
		conn, err := connect(proxy.Name, proxy.Public)
		if err != nil {
			return nil
		}
		c.conn = conn
	}
	try.Proxy, try.Sent, try.Deadline = c.conn.proxy, recorder.now(), recorder.now()+time.Until(deadline)
	header, reusable := c.conn.exchange(try, c.parts(try, body, deadline), c.dice.duration(0, maxSendPause), deadline)
	try.Ended = recorder.now()
	recorder.addTry(try)
	if !reusable || !c.keeps {
		c.disconnect()
	}
	return header
}

// parts returns a request in the two parts in which it is sent. The second is empty unless it is sent slowly.
func (c *client) parts(try *Try, body string, deadline time.Time) (parts [2]string) {
	text := encodeRequest(try, time.Until(deadline), body, c.dice.happens(chunkedProbability))
	split := len(text)
	if c.dice.happens(slowSendProbability) {
		split = c.dice.number(len(text))
	}
	return [2]string{text[:split], text[split:]}
}
