package requestsoak

import (
	"bytes"
	"fmt"
	"net/http"
)

// message is a response of a fake endpoint.
type message struct {
	status   int
	header   []string
	body     string
	unframed bool // the body has no length, and ends with the connection
}

// encodeHead returns the bytes of the head.
func (m message) encodeHead() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\n", m.status)
	for _, line := range m.header {
		fmt.Fprintf(&b, "%s\r\n", line)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// encode returns the bytes of the response.
func (m message) encode() []byte {
	if !m.unframed {
		m.header = append(m.header[:len(m.header):len(m.header)], fmt.Sprintf("Content-Length: %d", len(m.body)))
	}
	return append(m.encodeHead(), m.body...)
}

// respond writes a response. In a share of the cases, it sends it once more later. It returns false if the connection must be closed.
func (c *endpointConn) respond(r *http.Request, m message) bool {
	closes := m.unframed || c.isDraining() || c.dice.happens(closeHeaderProbability)
	if closes {
		m.header = append(m.header, "Connection: close")
	}
	text := m.encode()
	if closes {
		c.writeLast(text)
		return false
	}
	if !c.write(text) {
		return false
	}
	if c.dice.happens(surplusProbability) {
		c.repeat(r, text)
	}
	return true
}

// write writes bytes while no other response is being written.
func (c *endpointConn) write(text []byte) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.wroteLast {
		return false
	}
	_, err := c.conn.Write(text)
	return err == nil
}

// writeLast writes the last response on the connection. Nothing follows it, as it may end with the connection: surplus bytes would
// belong to it.
func (c *endpointConn) writeLast(text []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.wroteLast = true
	_, _ = c.conn.Write(text) // the connection is closed in any case
}

// surplus is a response that an endpoint sends once more, or its beginning.
type surplus struct {
	request *http.Request
	text    []byte
}

// repeat sends a response once more: after some time, or where the response to the next request on the connection is due.
func (c *endpointConn) repeat(r *http.Request, text []byte) {
	if c.dice.happens(fragmentProbability) {
		length := len(text)
		if c.dice.happens(headFragmentProbability) {
			length = bytes.Index(text, []byte("\r\n\r\n"))
		}
		text = text[:1+c.dice.number(length)]
	}
	again := surplus{request: r, text: text}
	if c.dice.happens(delayedProbability) {
		c.repeats.Go(func() {
			if c.work(c.dice.duration(0, maxSurplusDelay)) {
				c.sendSurplus(again)
			}
		})
		return
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.nextSurplus = append(c.nextSurplus, again)
}

// takeNextSurplus returns the surplus that is sent while the next request runs.
func (c *endpointConn) takeNextSurplus() []surplus {
	c.writing.Lock()
	defer c.writing.Unlock()
	taken := c.nextSurplus
	c.nextSurplus = nil
	return taken
}

func (c *endpointConn) sendSurplus(again surplus) {
	c.recordEvent(again.request, fmt.Sprintf("sends %d bytes of its response once more (%s)", len(again.text), firstLine(again.text)))
	c.write(again.text)
}

// firstLine returns the first line of a response.
func firstLine(text []byte) string {
	line, _, _ := bytes.Cut(text, []byte("\r\n"))
	return string(line)
}

// responseOf is the request that http.ReadResponse needs to know the framing of a response.
var responseOf = &http.Request{Method: http.MethodPost}
