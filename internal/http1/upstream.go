package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/settings"
)

const (
	maxBody       = 64 << 10 // of a body that is held whole
	maxLong       = 32 << 20 // of one that is passed on as it comes
	maxAnswerHead = 16 << 10
	// answerStart is what is held of an answer that is passed on as it comes, until that begins.
	answerStart = 4 << 10
	// answerPatience is how long an answer of unknown length may take to come before it is passed on as it does.
	answerPatience = 250 * time.Millisecond
	// skipPatience is how long a body that nobody wants may take.
	skipPatience = 20 * time.Millisecond
	// relayStall is how long an endpoint may take no more of a body, or give no more of an answer.
	relayStall     = 10 * time.Second
	maxInformation = 16 // 1xx responses before the final one
	// resetsSpread is how long a process that dies may take to reset all its connections.
	resetsSpread = 3 * time.Millisecond
)

// conn is a connection to an endpoint; it carries one attempt at a time.
type conn struct {
	net.Conn
	core.Idle
	reader *bufio.Reader // of what Read gives
	input  []byte        // what another process has read of it
	to     *core.Endpoint
	left   int // bytes that may still be read
}

func newConn(raw net.Conn, to *core.Endpoint) *conn {
	c := &conn{Conn: raw, to: to}
	c.reader = bufio.NewReader(c)
	return c
}

// Read never brings more than was allowed: an endpoint may go on without end.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.input) > 0 {
		n := copy(b, c.input)
		c.input = c.input[n:]
		return n, nil
	}
	if c.left <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// Alive tells whether an idle connection can carry a request: its peer has neither closed it nor sent what
// nobody asked for.
func (c *conn) Alive() bool {
	n, peek := peekConn(c.Conn)
	if n > 0 {
		c.to.SentBeyond()
	}
	return n < 0 && (peek == syscall.EAGAIN || peek == syscall.EINTR)
}

// peekByte looks for a byte to read, without taking it or waiting.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// Not raw.Read: that would wait for another goroutine's Read to end.
	if fault := raw.Control(func(fd uintptr) { n, err = peek(fd) }); fault != nil {
		return -1, fault
	}
	return n, err
}

// peek looks for a byte to read; 0 without an error is the end.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// upstream carries attempts out over HTTP/1.1.
type upstream struct {
	network        Network
	memory         *core.Memory
	connectTimeout time.Duration
	entered        [core.AttemptPhases]atomic.Uint64 // how many attempts have come so far
}

// Send makes an attempt.
func (u *upstream) Send(a *core.Attempt, over core.Conn) core.Result {
	c, _ := over.(*conn)
	t := newAttempt(a, u.network)
	t.entered = &u.entered
	t.enter(core.Connecting)
	res := t.run(c, u.connectTimeout, u.memory)
	told := core.Result{Status: res.status, Took: res.took, Load: res.load, Spent: res.spent}
	if res.conn != nil {
		told.Conn = res.conn
	}
	if res.response != nil && res.response.more == nil {
		told.Response = res.response
	}
	return told
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	*core.Attempt
	network Network
	in      *inbound
	longest int64                              // that an answer may be
	out     chan struct{}                      // closed when the last byte of a long body is out
	ear     *ear                               // see ear
	entered *[core.AttemptPhases]atomic.Uint64 // nil for nobody who counts
}

// enter notes how far the attempt has come.
func (a *attempt) enter(p core.AttemptPhase) {
	a.At(p)
	if a.entered != nil {
		a.entered[p].Add(1)
	}
}

func newAttempt(a *core.Attempt, n Network) *attempt {
	return &attempt{Attempt: a, network: n, in: a.Call.Message.(*inbound), longest: maxLong, out: make(chan struct{}), ear: newEar()}
}

// result is how an attempt ended. Its connection is nil unless it can carry another attempt.
type result struct {
	status   decision.Status
	took     time.Duration
	response *response
	load     *decision.Load
	conn     *conn
	spent    bool // what was sent can't be sent again
}

// response is an endpoint's answer: the whole of it, or its beginning and where there is more.
type response struct {
	header http.Header
	body   []byte
	more   *download
	memory *core.Memory // that it takes of
}

// Discard lets go of it.
func (r *response) Discard() {
	r.memory.Bodies.Give(len(r.body))
	if r.more != nil {
		select {
		case r.more.done <- errCallerGone: // nobody has passed it on
		default:
		}
	}
}

// download is the part of a long answer that is still to come. Who passes it on reads it, and tells at done how
// that ended: nil, what the endpoint's side broke with, or errCallerGone.
type download struct {
	body    *answerBody
	buffers *core.Buffers
	done    chan error
}

// run makes the attempt: one write on one connection, and the answer to it. net/http's Transport would send
// a request again by itself and does not tell whether its last byte was written, so it is not used here.
// When run returns, the connection is either closed or free, so the Balancer may send again.
func (a *attempt) run(c *conn, connectTimeout time.Duration, room *core.Memory) (res result) {
	defer func() {
		if res.took == 0 {
			res.took = a.Elapsed()
		}
	}()
	if c != nil {
		time.Sleep(time.Until(c.Since.Add(a.Endpoint.Settle())))
		if !c.Alive() {
			c.Close()
			c = nil
		}
	}
	if a.in.gone() {
		return result{status: decision.Moot, conn: c}
	}
	if c == nil {
		var err error
		if c, err = a.dial(a.inTime(connectTimeout)); err != nil {
			return result{status: a.unsent()}
		}
	}
	res = a.over(c, room)
	if res.status == decision.Reset {
		a.whatBroke(&res, connectTimeout)
	}
	return res
}

// dial makes a connection. One that fails at once is tried once more: endpoints reset new connections now and
// then, and a dead one does it twice.
func (a *attempt) dial(timeout time.Duration) (*conn, error) {
	raw, err := a.network.Dial(a.Ctx, a.Endpoint.Address, timeout)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		raw, err = a.network.Dial(a.Ctx, a.Endpoint.Address, timeout)
	}
	if err != nil {
		return nil, err
	}
	return newConn(raw, a.Endpoint), nil
}

// whatBroke tells a connection that alone broke from an endpoint that did: one that ends takes all its
// connections along and accepts no new ones. Taken for that, one connection would cost a sound endpoint its
// place, and then a slow start. The new connection takes the broken one's place.
func (a *attempt) whatBroke(res *result, connectTimeout time.Duration) {
	time.Sleep(resetsSpread)
	if a.Endpoint.Waiting.Load() > 0 {
		res.status = decision.Spoilt
		return
	}
	if c, err := a.dial(connectTimeout); err == nil {
		res.status, res.conn = decision.Spoilt, c
	}
}

// over makes the attempt over a connection.
func (a *attempt) over(c *conn, room *core.Memory) result {
	release := context.AfterFunc(a.Ctx, func() {
		c.Close()
		if a.in.more != nil {
			a.in.more.caller.stop()
		}
	})
	res := a.exchange(c, room)
	if !release() || res.conn == nil {
		c.Close()
		res.conn = nil
	}
	return res
}

// unsent is the status of an attempt whose last byte was certainly not written.
func (a *attempt) unsent() decision.Status {
	if a.Ctx.Err() != nil || a.late() {
		return decision.Moot
	}
	return decision.ConnectFailed
}

// late tells whether the time has passed by which the request's last byte had to be out.
func (a *attempt) late() bool { return !a.OutBy.IsZero() && !time.Now().Before(a.OutBy) }

// inTime is what of a time may be used before that.
func (a *attempt) inTime(d time.Duration) time.Duration {
	if a.OutBy.IsZero() {
		return d
	}
	return min(d, max(time.Until(a.OutBy), time.Nanosecond)) // a dialer takes 0 for no bound
}

func (a *attempt) exchange(c *conn, room *core.Memory) result {
	// The dial may have outlasted the endpoint's welcome, the window in which a repeat is dropped, or the caller's patience.
	if !a.Endpoint.Open() || a.Ctx.Err() != nil || a.late() || a.in.gone() {
		return result{status: decision.Moot}
	}
	c.SetWriteDeadline(a.OutBy)
	if a.in.more != nil {
		return a.exchangeLong(c, room)
	}
	a.enter(core.Writing)
	text := a.in.encode(a.Left - a.Elapsed())
	pieces := net.Buffers{text}
	if len(a.in.body) > 0 {
		pieces = append(pieces, a.in.body)
	}
	if n, err := pieces.WriteTo(c.Conn); err != nil && n < int64(len(text)+len(a.in.body)) {
		return result{status: a.unsent()}
	}
	return a.hear(c, room)
}

// hear takes the answer to a request that is written.
func (a *attempt) hear(c *conn, room *core.Memory) result {
	a.enter(core.Awaiting)
	a.Endpoint.Waiting.Add(1)
	res, err := a.read(c, room)
	a.Endpoint.Waiting.Add(-1)
	if err != nil {
		res.status = a.broken(err)
	}
	return res
}

// broken is the status of an attempt that was written and whose answer did not come whole.
func (a *attempt) broken(err error) decision.Status {
	switch cause := context.Cause(a.Ctx); {
	case errors.Is(err, errCallerGone):
		return decision.Cancelled
	case errors.Is(err, errPassedOn):
		return decision.OK // the successor has the rest of the answer, and both connections
	case errors.Is(cause, context.DeadlineExceeded):
		return decision.Timeout
	case cause != nil:
		return decision.Cancelled
	case errors.As(err, new(*net.OpError)), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, io.ErrClosedPipe):
		return decision.Reset
	}
	// The endpoint has run it and is well, but what it says cannot be used.
	return decision.Spoilt
}

// exchangeLong sends a long body as it comes, and listens at the same time: an endpoint may turn it away before
// its end. Until the last byte is out the request has not run.
func (a *attempt) exchangeLong(c *conn, room *core.Memory) (res result) {
	if u := a.in.more; !u.resumed && u.caller.gone() {
		// Nobody has read on while it waited: that its caller has gone stands behind the body.
		u.breakOff(errCallerGone)
		return result{status: decision.Moot, spent: u.spent}
	}
	type ending struct{ caller, write error }
	sent := make(chan ending, 1)
	go func() {
		var e ending
		e.caller, e.write = a.sendLong(c, room)
		switch {
		case e.caller != nil, e.write == errLate:
			a.Cancel()
		case errors.Is(e.write, errPassedOn):
		case e.write != nil:
			c.SetReadDeadline(time.Now().Add(lastWord)) // what it said before it broke off
		}
		sent <- e
	}()
	answer := make(chan result, 1)
	go func() {
		if a.ear.listen(c) != nil {
			return // it is passed on
		}
		answer <- a.hear(c, room)
	}()
	var e ending
	select {
	case e = <-sent:
		if errors.Is(e.write, errPassedOn) {
			return result{status: decision.Cancelled, spent: true}
		}
		res = <-answer
	case res = <-answer:
		select {
		case e = <-sent:
		case <-a.out: // its last byte is out, and its sender about to say so
			e = <-sent
		default:
			a.Cancel() // ends the sending, unless that has just ended: then it has run
			if e = <-sent; e != (ending{}) {
				e = ending{write: errEarly}
			}
		}
	}
	if e == (ending{}) {
		res.spent = true
		return res
	}
	// Its last byte is not out: whatever was answered, it has not run.
	early := res.status
	res = result{status: decision.Moot, spent: a.in.more.spent}
	switch {
	case early == decision.Full:
		res.status = decision.Full
	case e.caller == nil && e.write != errEarly && e.write != errLate:
		res.status = a.unsent()
	}
	return res
}

// errEarly is an answer that comes before the request's last byte is out.
var errEarly = errors.New("answered too early")

// isOut tells whether the last byte of the request is out. Its answer may be here before its sender knows.
func (a *attempt) isOut() bool {
	if a.in.more == nil {
		return true
	}
	select {
	case <-a.out:
		return true
	case <-time.After(lastWord):
		return false
	}
}

// lastWord is how long an endpoint that broke off in the middle of a body may take to say why.
const lastWord = 200 * time.Millisecond

// sendLong writes a request with a long body.
func (a *attempt) sendLong(c *conn, room *core.Memory) (callerErr, writeErr error) {
	u := a.in.more
	if !u.resumed {
		c.SetWriteDeadline(time.Now().Add(relayStall))
		pieces := append(net.Buffers{a.in.encode(a.Left)}, framed(a.in.body, u.body.chunks != nil)...)
		if _, err := pieces.WriteTo(c.Conn); err != nil {
			return nil, err
		}
	}
	buffer := room.Buffers.Get()
	defer room.Buffers.Put(buffer)
	callerErr, writeErr = u.pass(a, c, buffer)
	if callerErr == nil && writeErr == nil {
		a.Written()
		close(a.out)
	}
	return callerErr, writeErr
}

// framed is a piece of a body as it is written: a chunk of it where its length is not known.
func framed(b []byte, chunked bool) [][]byte {
	if !chunked {
		return [][]byte{b}
	}
	return [][]byte{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
}

var (
	errTooLarge   = errors.New("too large")
	errSpoilt     = errors.New("cannot be read")
	errNoRoom     = errors.New("no memory for the body")
	errCallerGone = errors.New("the caller has gone")
	errPassedOn   = errors.New("passed on to the successor")
)

// read takes the response to the request that was written. An error that is not the connection's means that
// the response cannot be used; its connection is of no more use then.
func (a *attempt) read(c *conn, room *core.Memory) (res result, err error) {
	c.left = maxAnswerHead
	var code int
	var header textproto.MIMEHeader
	var lasting bool
	for range maxInformation + 1 {
		if code, header, lasting, err = readHead(c.reader); err != nil {
			return res, err
		}
		if code >= http.StatusOK {
			break
		}
	}
	if code < http.StatusOK {
		return res, errSpoilt // its real answer is still to come
	}
	body, err := newAnswerBody(c, code, header, a.longest)
	if err != nil {
		return res, err
	}
	res.status = decision.Error
	if report := header.Get("X-Pressure"); report != "" {
		res.load, _ = settings.ParseLoad(report, "=") // a report that cannot be read is none
	}
	switch {
	case code == http.StatusOK && !a.isOut():
		return res, errSpoilt // it has not been asked yet
	case code == http.StatusOK:
		res.status = decision.OK
		removeHopByHop(http.Header(header))
		res.response, err = a.take(c, body, header, room)
	case code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout:
		if header.Get("X-Turned-Away") == "1" {
			res.status = decision.Full
		}
		err = body.skip()
	case code < http.StatusInternalServerError:
		res.status = decision.Spoilt // the request is at fault, not the endpoint
		fallthrough
	default:
		err = body.skip()
	}
	if err != nil {
		return res, err
	}
	if res.response != nil && res.response.more != nil {
		// Nobody else has the connection until the answer has been passed on.
		if res.took, err = a.pass(res.response); err != nil {
			return res, err
		}
	}
	if c.reader.Buffered() > 0 && body.ended {
		a.Endpoint.SentBeyond()
	}
	if lasting && body.ended && !body.toClose && c.reader.Buffered() == 0 {
		c.Conn.SetDeadline(time.Time{})
		res.conn = c
	}
	return res, nil
}

// take reads a good answer: the whole of it if it is short enough and comes in one go, else its beginning.
func (a *attempt) take(c *conn, body *answerBody, header textproto.MIMEHeader, room *core.Memory) (*response, error) {
	r := &response{header: http.Header(header), memory: room}
	most := maxBody
	if body.length >= 0 {
		most = int(min(body.length, maxBody))
	}
	long := body.length > maxBody || !room.Bodies.Take(most)
	if long {
		most = answerStart
		room.Bodies.Force(most)
	}
	kept := 0
	defer func() { room.Bodies.Give(most - kept) }()
	patience := time.Now().Add(answerPatience)
	for !body.ended && (!long || len(r.body) == 0) {
		if body.length < 0 && len(r.body) > 0 {
			came, err := c.awaits(patience)
			if err != nil {
				return nil, err
			}
			if !came {
				break // it comes slowly, and may be long
			}
		}
		if len(r.body) == most && body.length < 0 {
			break
		}
		if len(r.body) == cap(r.body) {
			r.body = append(make([]byte, 0, min(most, max(512, 2*cap(r.body)))), r.body...)
		}
		n, err := body.Read(r.body[len(r.body):cap(r.body)])
		if r.body = r.body[:len(r.body)+n]; err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	kept = len(r.body)
	if !body.ended {
		r.more = &download{body: body, buffers: room.Buffers, done: make(chan error, 1)}
	}
	return r, nil
}

// pass has a long answer passed on, and returns when it has been.
func (a *attempt) pass(r *response) (took time.Duration, err error) {
	took, ok := a.Begin(r)
	if !ok {
		return took, context.DeadlineExceeded
	}
	return took, <-r.more.done
}

// readHead reads a response's status and headers, and tells whether its connection is to last.
func readHead(r *bufio.Reader) (code int, header textproto.MIMEHeader, lasting bool, err error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return 0, nil, false, err
	}
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(rest, " ")
	n, err := strconv.ParseUint(digits, 10, 16)
	if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(digits) != 3 || n < 100 {
		return 0, nil, false, errSpoilt
	}
	if header, err = text.ReadMIMEHeader(); err != nil {
		return 0, nil, false, err
	}
	if len(header["Transfer-Encoding"]) > 0 && version == "HTTP/1.0" {
		// RFC 9112, 6.1: its framing is faulty. Who reads 1.0 by the letter takes its chunks for the body itself.
		return 0, nil, false, errSpoilt
	}
	lasting = version == "HTTP/1.1"
	for _, value := range header["Connection"] {
		lasting = lasting && !strings.Contains(strings.ToLower(value), "close")
	}
	return int(n), header, lasting, nil
}

// answerBody reads a response's body.
type answerBody struct {
	conn    *conn
	reader  io.Reader
	chunks  *chunked // nil unless it comes in chunks
	length  int64    // -1 where only its end tells
	longest int64    // that it may be
	read    int64
	toClose bool // the connection's end is the body's
	ended   bool
	trailer http.Header
}

// newAnswerBody finds out how a body ends. Lengths that disagree, or cannot be, spoil it.
func newAnswerBody(c *conn, code int, header textproto.MIMEHeader, longest int64) (*answerBody, error) {
	b := &answerBody{conn: c, reader: c.reader, longest: longest}
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case code == http.StatusNoContent || code == http.StatusNotModified:
	case len(codings) == 1 && len(lengths) == 0 && strings.EqualFold(codings[0], "chunked"):
		b.length, b.chunks = -1, newChunked(c.reader)
		b.reader = b.chunks
	case len(codings) == 0 && len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, errSpoilt
		}
		if n > uint64(longest) {
			return nil, errTooLarge
		}
		b.length = int64(n)
	case len(codings) == 0 && len(lengths) == 0:
		b.length, b.toClose = -1, true
	default:
		return nil, errSpoilt
	}
	// Beside the body, what its chunks take: the chunked reader bounds that by what they hold.
	c.left = int(2*longest) + maxAnswerHead
	b.ended = b.length == 0
	return b, nil
}

// Read reads the body; its end is io.EOF, with the trailers read.
func (b *answerBody) Read(p []byte) (n int, err error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.length >= 0 {
		p = p[:min(int64(len(p)), b.length-b.read)]
	}
	n, err = b.reader.Read(p)
	b.read += int64(n)
	eof := errors.Is(err, io.EOF)
	switch {
	case b.read > b.longest:
		return n, errTooLarge
	case b.length >= 0 && b.read == b.length:
		err = io.EOF
	case eof && b.length >= 0:
		err = io.ErrUnexpectedEOF
	case eof && b.chunks != nil:
		trailer, fault := b.chunks.trailer()
		if fault != nil {
			return n, fault
		}
		removeHopByHop(trailer)
		trailer.Del("Content-Length") // a second length, as in an upload's
		b.trailer = trailer
	}
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// noEOF is an end that came too early.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// skip reads a short body that nobody wants, so that its connection can be used again. What is long or does not
// come at once is left: what the head says does not wait for it.
func (b *answerBody) skip() error {
	buffer := make([]byte, 512)
	for patience := time.Now().Add(skipPatience); !b.ended && !b.toClose && b.read < maxBody; {
		if came, err := b.conn.awaits(patience); !came {
			return err
		}
		if _, err := b.Read(buffer); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
	return nil
}

// awaits waits for something to read, or the end, for a while. It is false with no error when neither has come. To look
// at a socket takes its pending error away: a read that follows would find the end where there was a reset, so the error
// that is met here is the one that counts.
func (c *conn) awaits(until time.Time) (came bool, err error) {
	if c.reader.Buffered() > 0 || !looks(c.Conn) {
		return true, nil
	}
	c.SetReadDeadline(until)
	err = awaitInput(c.Conn)
	c.SetReadDeadline(time.Time{})
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	}
	return false, err
}

// gone tells whether nobody waits for the answer any more.
func (in *inbound) gone() bool { return in.deserted != nil && in.deserted() }

// worded are the headers that encode words itself.
var worded = map[string]bool{"Content-Length": true, "X-Remaining": true}

// encode is the head of the request as it goes on to an endpoint, which is told how long its answer is waited
// for.
func (in *inbound) encode(left time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Remaining: %du\r\n", in.method, in.target, in.host,
		max(left, 0).Microseconds())
	switch {
	case in.more != nil && in.more.body.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case in.more != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", in.more.body.length)
	case len(in.body) > 0 || in.method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(in.body))
	}
	in.header.WriteSubset(&b, worded)
	b.WriteString("\r\n")
	return b.Bytes()
}
