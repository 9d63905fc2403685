package requestsoak

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// streamEvents is the number of events of a stream, and maxEventGap bounds the time between two of them.
	streamEvents = 5
	maxEventGap  = 40 * time.Millisecond
)

// streamEnd is how an endpoint ends a stream.
type streamEnd int

const (
	streamComplete      streamEnd = iota
	streamClosed                  // the connection is closed in the middle of an event, as the kernel does for a killed process
	streamReset                   // the connection is reset in the middle of an event
	streamResetAfterEnd           // the connection is reset after the last event
)

// streamPlan is what an endpoint does with a stream.
type streamPlan struct {
	unframed    bool // the stream has no length and no chunks, and ends with the connection
	end         streamEnd
	truncatedAt int // the event that is cut, if end says so
}

// drawStreamPlan draws what an endpoint does with a stream whose events begin after a given one. A stream with a length of its own
// is not reset after its last event: its end is its last chunk.
func (d *dice) drawStreamPlan(after int) streamPlan {
	plan := streamPlan{unframed: d.happens(unframedStreamProbability)}
	if after >= streamEvents || !d.happens(streamTruncationProbability) {
		return plan
	}
	ends := []streamEnd{streamClosed, streamReset}
	if plan.unframed {
		ends = append(ends, streamResetAfterEnd)
	}
	plan.end = ends[d.number(len(ends))]
	plan.truncatedAt = after + 1 + d.number(streamEvents-after)
	return plan
}

// event returns an event of a run's stream. The events of a stream that can be resumed are the same at all endpoints.
func (run *Run) event(number int, resumable bool) string {
	text := run.Request
	if !resumable {
		text += " " + run.Signature
	}
	return fmt.Sprintf("id: %d\ndata: %d of %d, %s\n\n", number, number, streamEvents, text)
}

// completeStream returns the complete stream of a request that can be resumed.
func completeStream(request string) string {
	run := Run{Request: request}
	var b strings.Builder
	for number := range streamEvents {
		b.WriteString(run.event(number+1, true))
	}
	return b.String()
}

// lastEventOf returns the number of the last event that the client of a resumed stream has, or 0 for a stream from its beginning.
func lastEventOf(r *http.Request) int {
	number, err := strconv.Atoi(r.Header.Get(lastEventHeader))
	if err != nil {
		return 0
	}
	return number
}

// stream ends a run with a stream of events. It returns false if the connection must be closed.
func (c *endpointConn) stream(r *http.Request, run *Run) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.wroteLast {
		return false
	}
	after, resumable := lastEventOf(r), strings.HasPrefix(r.URL.Path, resumePath)
	plan := c.dice.drawStreamPlan(after)
	c.wroteLast = plan.unframed || plan.end != streamComplete
	run.Status = http.StatusOK
	if !c.writeStreamHead(run, plan) {
		return false
	}
	for number := after + 1; number <= streamEvents; number++ {
		if !c.work(c.dice.duration(0, maxEventGap)) {
			// Nothing tells an unframed stream that is closed between two events from a complete one.
			c.reset(c.conn)
			return false
		}
		event := run.event(number, resumable)
		if number == plan.truncatedAt && plan.end != streamResetAfterEnd {
			c.truncateStream(r, run, plan, event)
			return false
		}
		run.Body += event
		if !c.writeStreamChunk(plan, event) {
			return false
		}
	}
	return c.endStream(r, run, plan)
}

func (c *endpointConn) writeStreamHead(run *Run, plan streamPlan) bool {
	head := c.signed(run, http.StatusOK, "")
	framing := "Transfer-Encoding: chunked"
	if plan.unframed {
		framing = "Connection: close"
	}
	head.header = append(head.header, "Content-Type: text/event-stream", framing)
	_, err := c.conn.Write(head.encodeHead())
	return err == nil
}

// writeStreamChunk writes a chunk of a stream.
func (c *endpointConn) writeStreamChunk(plan streamPlan, chunk string) bool {
	if !plan.unframed {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	}
	_, err := io.WriteString(c.conn, chunk)
	return err == nil
}

// truncateStream writes a part of an event and breaks off.
func (c *endpointConn) truncateStream(r *http.Request, run *Run, plan streamPlan, event string) {
	run.BrokenOff = true
	part := event[:1+c.dice.number(len(event)-1)]
	run.Body += part
	c.recordEvent(r, fmt.Sprintf("breaks the stream off after %d bytes of event %d (unframed %t, reset %t)", len(part), plan.truncatedAt, plan.unframed,
		plan.end == streamReset))
	c.writeStreamChunk(plan, part)
	if plan.end == streamReset {
		c.reset(c.conn)
	}
}

// endStream ends a stream after its last event. It returns false if the connection must be closed.
func (c *endpointConn) endStream(r *http.Request, run *Run, plan streamPlan) bool {
	if plan.end == streamResetAfterEnd {
		run.BrokenOff = true
		c.recordEvent(r, "resets the connection after the last event")
		c.reset(c.conn)
		return false
	}
	run.Complete = true
	c.recordEvent(r, fmt.Sprintf("ends the stream (unframed %t)", plan.unframed))
	if plan.unframed {
		// Nothing tells a stream without any event from one that is broken off before its first event.
		run.BrokenOff = run.Body == ""
		return false
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err == nil
}
