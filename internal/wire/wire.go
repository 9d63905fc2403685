package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

const (
	// maxLists is the number of numbered endpoint lists in the protocol.
	maxLists = 16
	// maxNotices bounds the notices about ignored input.
	maxNotices = 64
	// maxMachineKinds bounds the numbers of machine kinds, because the Balancer keeps statistics for each kind.
	maxMachineKinds = 1 << 16
)

// server holds the instances of one process, and reads and writes the protocol.
type server struct {
	in         *bufio.Reader
	out        *bufio.Writer
	notices    io.Writer
	lineNumber int
	// The time of the current batch.
	now       time.Duration
	instances map[int64]*instance
	// The endpoint lists by number, and whether each has been received.
	endpointLists [maxLists][]decision.Entry
	listReceived  [maxLists]bool
	// The notices that have been written.
	noticed map[string]bool
	// The line being read.
	line []byte
	// The action being written.
	actionLine []byte
}

type balancer = decision.Balancer

// instance is one Balancer and its Host.
type instance struct {
	server *server
	number int64
	// Nil after a panic of the Balancer.
	balancer *balancer
	// The number of request classes.
	classes int
}

// Run serves the protocol until the input ends. It returns nil if the input ends after a batch, and an error that names
// line and field if the input is malformed.
func Run(in io.Reader, out, notices io.Writer) error {
	s := newServer(in, out, notices)
	for {
		ok, err := s.serveBatch()
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		if err := s.out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

func newServer(in io.Reader, out, notices io.Writer) *server {
	return &server{
		in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16), notices: notices,
		instances: map[int64]*instance{}, noticed: map[string]bool{},
	}
}

// serveBatch reads one batch and writes its reply. It returns false at the end of the input.
func (s *server) serveBatch() (bool, error) {
	f, err := s.next()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if f.name != "begin_batch" {
		return false, s.malformed(f.name, "begin_batch", "expected at the start of a batch")
	}
	s.now = f.time("ts")
	if f.err != nil {
		return false, f.err
	}
	for {
		f, err := s.next()
		if errors.Is(err, io.EOF) {
			return false, s.malformed("batch", "over_to_you", "missing at the end of input")
		}
		if err != nil {
			return false, err
		}
		if f.name == "over_to_you" {
			_, err := s.out.WriteString("eor\n")
			return true, err
		}
		if err := s.handleEvent(f); err != nil {
			return false, err
		}
	}
}

// next reads a line and splits off the event's name.
func (s *server) next() (*fields, error) {
	s.line = s.line[:0]
	for {
		part, err := s.in.ReadSlice('\n')
		s.line = append(s.line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (err != io.EOF || len(s.line) == 0) {
			return nil, err
		}
		break
	}
	s.lineNumber++
	f := &fields{server: s, rest: bytes.TrimRight(s.line, "\r\n")}
	f.more = len(f.rest) > 0
	f.name = string(f.cut())
	return f, nil
}

// malformed returns the error for a malformed field in the current line.
func (s *server) malformed(name, field, what string) error {
	return fmt.Errorf("line %d: %s: field %s: %s", s.lineNumber, name, field, what)
}

// noticeOnce prints a notice unless it has been printed before. It prints at most maxNotices notices.
func (s *server) noticeOnce(text string) {
	if !s.noticed[text] && len(s.noticed) < maxNotices {
		s.noticed[text] = true
		fmt.Fprintln(s.notices, "dykering-sim: "+text)
	}
}

// handleEvent handles one line of a batch.
func (s *server) handleEvent(f *fields) error {
	switch f.name {
	case "ledger":
		return s.readEndpointList(f)
	case "new_instance":
		return s.startInstance(f)
	case "halt", "targets", "knock", "begun", "closed_attempt", "lapsed", "wake", "echo", "inbox":
	default:
		s.noticeOnce("unknown event " + f.name + " ignored")
		return nil
	}
	n := f.number("sidecar")
	if f.err != nil {
		return f.err
	}
	in := s.instances[n]
	if in == nil {
		return s.malformed(f.name, "sidecar", fmt.Sprintf("instance %d was never started", n))
	}
	if f.name == "halt" {
		delete(s.instances, n)
		return nil
	}
	handle := s.decode(f, in)
	if f.err != nil {
		return f.err
	}
	in.deliver(handle)
	return nil
}

// decode parses an event's fields and returns the function that delivers the event to a Balancer.
func (s *server) decode(f *fields, in *instance) func(*balancer) {
	now := s.now
	switch f.name {
	case "targets":
		l := s.targetList(f)
		return func(b *balancer) { b.Targets(now, l) }
	case "knock":
		r := decision.Request{ID: f.id("corr"), Class: int(f.number("type")), Tenant: int(f.optional("userGroup"))}
		f.optionalText() // the affinity is not used
		r.Remaining = f.time("left")
		f.optional("workHint")
		bits := f.optional("attrs")
		if r.Class < 0 || r.Class >= in.classes {
			f.fail("type", "no such class")
		}
		if r.Tenant < 0 {
			f.fail("userGroup", "negative")
		}
		r.IsRetry = bits&2 != 0
		return func(b *balancer) { b.Request(now, r) }
	case "begun":
		id, n := f.id("corr"), int(f.number("n"))
		ep := f.endpoint()
		f.time("elapsed")
		return func(b *balancer) { b.ResponseStarted(now, id, n, ep) }
	case "closed_attempt":
		o := decision.Outcome{
			ID: f.id("corr"), Endpoint: f.endpoint(), Final: f.flag("final"),
			Elapsed: f.time("elapsed"), Status: f.status(), Attempt: int(f.number("n")), Load: f.load(),
		}
		return func(b *balancer) { b.Outcome(now, o) }
	case "lapsed":
		id := f.id("corr")
		return func(b *balancer) { b.Abandoned(now, id) }
	case "wake":
		token := uint64(f.number("label"))
		return func(b *balancer) { b.Timer(now, token) }
	case "echo": // the answer to a probe; the Balancer sends no probes
		f.endpoint()
		f.status()
		f.time("elapsed")
		f.load()
	default: // inbox: a message of a peer; the Balancer uses none
		f.number("by")
		f.bytes()
	}
	return func(*balancer) {}
}

// startInstance handles the event new_instance.
func (s *server) startInstance(f *fields) error {
	n, seed := f.number("sidecar"), f.number("seed")
	if f.err == nil && !f.more {
		f.fail("config", "missing")
	}
	if f.err != nil {
		return f.err
	}
	config, unknown, err := settings.Parse(f.rest)
	if err != nil {
		return s.malformed(f.name, "config", err.Error())
	}
	for _, k := range unknown {
		s.noticeOnce("unknown settings key " + k + " ignored")
	}
	in := &instance{server: s, number: n, classes: len(config.Classes)}
	in.balancer, err = decision.New(config.Settings, uint64(seed), in)
	if err != nil {
		return s.malformed(f.name, "config", err.Error())
	}
	s.instances[n] = in
	return nil
}

// deliver delivers an event to the instance's Balancer. It reports a panic of the Balancer as a crash action, after which
// the instance gets no further events.
func (in *instance) deliver(handle func(*balancer)) {
	defer func() {
		if p := recover(); p != nil {
			text := bytes.Map(func(r rune) rune {
				if r < ' ' {
					return ' '
				}
				return r
			}, fmt.Append(nil, p))
			fmt.Fprintf(in.server.out, "crash %d %s\n", in.number, text)
			in.balancer = nil
		}
	}()
	if in.balancer != nil {
		handle(in.balancer)
	}
}

// listKinds maps the protocol's numbers of list kinds to their values.
var listKinds = []decision.ListKind{decision.DeltaList, decision.FullList, decision.CachedList, decision.FailedList}

// targetList parses the fields of a targets event and returns the list with its number.
func (s *server) targetList(f *fields) decision.List {
	var l decision.List
	kind := f.number("kind")
	if f.err == nil && (kind < 0 || kind >= int64(len(listKinds))) {
		f.fail("kind", "unknown list kind")
	}
	if f.err != nil {
		return l
	}
	l.Kind = listKinds[kind]
	buffer := f.optional("buffer")
	l.Version = uint64(f.optional("version"))
	if l.Kind == decision.FailedList || f.err != nil {
		return l
	}
	if buffer < 0 || buffer >= maxLists || !s.listReceived[buffer] {
		f.fail("buffer", "no such list")
		return l
	}
	l.Entries = s.endpointLists[buffer]
	return l
}

// readEndpointList handles the event ledger, which begins an endpoint list, and the item lines that follow it.
func (s *server) readEndpointList(f *fields) error {
	buffer, rows := f.number("buffer"), f.number("rows")
	if f.err == nil && (buffer < 0 || buffer >= maxLists) {
		f.fail("buffer", "out of range")
	}
	if f.err == nil && rows < 0 {
		f.fail("rows", "negative")
	}
	if f.err != nil {
		return f.err
	}
	var entries []decision.Entry // a new slice, because a Balancer may still use the old one
	for i := int64(0); i < rows; i++ {
		item, err := s.next()
		if errors.Is(err, io.EOF) || err == nil && item.name != "item" {
			return s.malformed("ledger", "rows", fmt.Sprintf("list cut short: %d of %d items", i, rows))
		}
		if err != nil {
			return err
		}
		entries = append(entries, decision.Entry{
			Endpoint: item.endpoint(), Zone: int(item.number("area")),
			Kind: int(item.number("kind")), Cell: int(item.number("stripe")), State: item.state(),
			Weight: item.float("units"), Started: settings.Micros(item.optional("cameUp")),
		})
		if k := entries[i].Kind; item.err == nil && (k < 0 || k >= maxMachineKinds) {
			item.fail("kind", "out of range")
		}
		if item.err != nil {
			return item.err
		}
	}
	s.endpointLists[buffer], s.listReceived[buffer] = entries, true
	return nil
}

// writeAction writes one action line: its name, the instance, the request id unless that is empty, and the values.
func (in *instance) writeAction(name string, id string, values ...int64) {
	b := append(in.server.actionLine[:0], name...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, in.number, 10)
	if id != "" {
		b = append(b, ' ')
		b = append(b, id...)
	}
	for _, v := range values {
		b = append(b, ' ')
		b = strconv.AppendInt(b, v, 10)
	}
	b = append(b, '\n')
	in.server.actionLine = b
	_, _ = in.server.out.Write(b) // the writer keeps an error and returns it at Flush
}

var _ decision.Host = (*instance)(nil)

// Send implements decision.Host. The simulator sends an attempt at once, so the bound on when its last byte is sent is
// not used.
func (in *instance) Send(id decision.RequestID, to decision.EndpointID, timeout, _ time.Duration) {
	in.writeAction("dispatch", string(id), int64(to), timeout.Microseconds())
}

// Refuse rejects a request that the client may safely retry.
func (in *instance) Refuse(id decision.RequestID, retryAfter time.Duration) {
	in.writeAction("overload_reply", string(id), retryAfter.Microseconds())
}

// Fail answers a request with an error that does not state whether a retry is safe.
func (in *instance) Fail(id decision.RequestID) { in.writeAction("end_failed", string(id)) }

// Cancel cancels an attempt.
func (in *instance) Cancel(id decision.RequestID, attempt int) {
	in.writeAction("retract", string(id), int64(attempt))
}

// SetTimer asks the simulator for a wake event with a token after a time.
func (in *instance) SetTimer(token uint64, after time.Duration) {
	in.writeAction("remind", "", int64(token), after.Microseconds())
}

// Watch starts or stops the updates of the endpoint list.
func (in *instance) Watch(on bool) {
	v := int64(0)
	if on {
		v = 1
	}
	in.writeAction("tail", "", v)
}

// Fetch asks for the full endpoint list.
func (in *instance) Fetch() { in.writeAction("query_all", "") }

// Log writes a trace line with a message of the Balancer.
func (in *instance) Log(text string) {
	fmt.Fprintf(in.server.out, "trace %d %s\n", in.number, text)
}
