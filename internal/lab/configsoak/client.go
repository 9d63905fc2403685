package configsoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/pause"
)

const (
	clientTimeout    = 4 * time.Second
	maxRequestPause  = 60 * time.Millisecond
	reconnectPause   = 20 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	slowBodyFraction = 0.05
	// maxBodyPause bounds the time between the head and the body of a slow request.
	maxBodyPause  = 900 * time.Millisecond
	requestBody   = "a body that is sent after its head"
	markFraction  = 0.3
	recentChanges = 3
)

// client sends requests to one proxy. It uses a connection until that ends, also while the proxy stops.
type client struct {
	name     string
	proxy    *localprocess.Process
	recorder *recorder
	ledger   *ledger
	random   *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	number   int
}

// run sends requests until done is closed.
func (c *client) run(done <-chan struct{}) {
	defer c.disconnect()
	for pause.For(done, rand.N(maxRequestPause)) {
		if !c.connect() {
			pause.For(done, reconnectPause)
			continue
		}
		c.request(c.drawPath())
	}
}

// drawPath returns a path whose route may have changed.
func (c *client) drawPath() string {
	switch {
	case c.random.Float64() < markFraction:
		return markPath(max(1, c.ledger.current().id-c.random.IntN(recentChanges)))
	case c.random.IntN(2*slotCount) == 0:
		return keptPath
	}
	return slotPath(c.random.IntN(slotCount))
}

func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.proxy.Public, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends a request and records its outcome.
func (c *client) request(path string) {
	c.number++
	o := Observation{Proxy: c.proxy.Name, Path: path, Outcome: undecided}
	c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if !c.send(path, &o) {
		c.disconnect()
		return
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.disconnect()
		return
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	o.EndedAt, o.Status = c.recorder.now(), response.StatusCode
	switch {
	case response.StatusCode == http.StatusNotFound:
		o.Outcome = noRoute
	case response.StatusCode == http.StatusOK && err == nil:
		o.Outcome = outcome(body)
	}
	c.recorder.addObservation(o)
	if err != nil || response.Close {
		c.disconnect()
	}
}

// send writes a request, sometimes with a pause between its head and its body, and records when its last byte was sent.
func (c *client) send(path string, o *Observation) bool {
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, routeHost, c.name, c.number, clientTimeout.Milliseconds(), len(requestBody))
	o.BegunAt = c.recorder.now()
	if c.random.Float64() < slowBodyFraction {
		if _, err := io.WriteString(c.conn, head); err != nil {
			return false
		}
		time.Sleep(rand.N(maxBodyPause))
		head = ""
	}
	o.SentAt = c.recorder.now()
	_, err := io.Copy(c.conn, strings.NewReader(head+requestBody))
	return err == nil
}
