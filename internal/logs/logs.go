// Package logs makes the structured log of a process. Lines are events with stable names (docs/LOGS.md lists them)
// and fields. Nothing that logs ever waits: a line goes into a bounded buffer, or is dropped and counted, and events
// that repeat are sampled, with the number that was left out told.
package logs

import (
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// period is that of sampling, and of the telling of what was left out.
	period = time.Second
	// maxLine is how many bytes of a line are kept.
	maxLine = 2 << 10
	// flushFor is how long Close waits for the sink.
	flushFor = 500 * time.Millisecond
	// mostEvents bounds the events that are counted each by itself.
	mostEvents = 256
)

// The events that this package logs itself.
const (
	EventSampled = "log.sampled" // lines of an event were left out
	EventDropped = "log.dropped" // lines were lost, as the sink took none
	EventOther   = "log.other"   // what lines count as whose events are too many to count each
)

// Log is a log and its sink. Its settings can be changed while it is used.
type Log struct {
	*zap.Logger
	sink       *sink
	level      zap.AtomicLevel
	now        atomic.Pointer[settings]
	state      *state
	generation atomic.Int64
}

// settings are those that are in force.
type settings struct {
	encoder      zapcore.Encoder
	burst, total int // lines a period, of an event and of all
}

// state counts the lines of a period, and those that were not written. It is one for all loggers made of a Log.
type state struct {
	mu     sync.Mutex
	end    time.Time // of the period
	lines  int
	events map[string]int // lines of each event in this period
	left   map[string]int // of each event, lines left out that nobody has been told of yet,
	lost   map[string]int // and lines that the sink did not take
}

func newState() *state {
	return &state{events: map[string]int{}, left: map[string]int{}, lost: map[string]int{}}
}

// count adds lines of an event, and gives what it comes to. The names of events are those in the code, so that they are
// few; mostEvents holds all the same.
func count(counts map[string]int, event string, lines int) int {
	if _, ok := counts[event]; !ok && len(counts) >= mostEvents {
		event = EventOther
	}
	counts[event] += lines
	return counts[event]
}

// New makes a log that writes to w. It owns a goroutine until Close.
func New(w io.Writer, s *Section) *Log {
	l := &Log{sink: newSink(w, int(s.Buffer)/maxLine), level: zap.NewAtomicLevel(), state: newState()}
	l.Set(s)
	l.Logger = zap.New(&core{log: l})
	go l.sink.run(l)
	return l
}

// Set puts settings in force, for lines from now on. The buffer keeps its size.
func (l *Log) Set(s *Section) {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.MessageKey, config.CallerKey, config.StacktraceKey = "time", "event", "", ""
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	next := &settings{burst: s.Burst, total: s.Most}
	if s.Format == FormatJSON {
		config.EncodeDuration = zapcore.MillisDurationEncoder
		next.encoder = zapcore.NewJSONEncoder(config)
	} else {
		config.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000000")
		config.EncodeDuration = zapcore.StringDurationEncoder
		next.encoder = zapcore.NewConsoleEncoder(config)
	}
	l.level.SetLevel(s.Level.Level)
	l.now.Store(next)
}

// Generation has lines name the generation of the operator's file that is in force; 0 for none.
func (l *Log) Generation(n int) { l.generation.Store(int64(n)) }

// Close writes what is in the buffer, for a while, and ends the log: later lines are lost.
func (l *Log) Close() { l.sink.close() }

// core is zap's view of a log.
type core struct {
	log    *Log
	fields []zapcore.Field
}

func (c *core) Enabled(level zapcore.Level) bool { return c.log.level.Enabled(level) }

func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{c.log, append(c.fields[:len(c.fields):len(c.fields)], fields...)}
}

func (c *core) Check(e zapcore.Entry, to *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return to.AddCore(e, c)
	}
	return to
}

func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	now := c.log.now.Load()
	if !c.log.state.take(e.Time, e.Message, now) {
		return nil
	}
	return c.log.emit(now, e, append(c.fields[:len(c.fields):len(c.fields)], fields...))
}

func (c *core) Sync() error { return nil }

// emit encodes a line and hands it to the sink.
func (l *Log) emit(now *settings, e zapcore.Entry, fields []zapcore.Field) error {
	return l.encode(now, e, fields, line{event: e.Message, lines: 1, counts: l.state.lost})
}

// encode hands a line to the sink that stands for some lines of an event, which count again if it is not written.
func (l *Log) encode(now *settings, e zapcore.Entry, fields []zapcore.Field, to line) error {
	if n := l.generation.Load(); n > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("generation", n))
	}
	text, err := now.encoder.EncodeEntry(e, fields)
	if err != nil {
		l.state.again(to)
		return err
	}
	defer text.Free()
	to.text = text.Bytes()
	if len(to.text) > maxLine {
		to.text = append(to.text[:maxLine-1:maxLine-1], '\n')
	}
	to.text = append([]byte(nil), to.text...)
	if !l.sink.put(to) {
		l.state.again(to)
	}
	return nil
}

// take tells whether a line may pass. The first of each event in a period does, whatever else is logged.
func (t *state) take(at time.Time, event string, now *settings) (pass bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(at)
	if n := count(t.events, event, 1); n > 1 && (n > now.burst || t.lines >= now.total) {
		count(t.left, event, 1)
		return false
	}
	t.lines++
	return true
}

// turn begins a period if the one before is over.
func (t *state) turn(at time.Time) {
	if !at.Before(t.end) {
		clear(t.events)
		t.end, t.lines = at.Add(period), 0
	}
}

// again counts lines that nobody was told of after all.
func (t *state) again(l line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count(l.counts, l.event, l.lines)
}

// untold takes out what is to be told of some counts.
func (t *state) untold(at time.Time, counts map[string]int) (all []line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(at)
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, line{event: event, lines: counts[event], counts: counts})
	}
	clear(counts)
	return all
}

// tell tells, of each event, how many lines were left out.
func (l *Log) tell(at time.Time) {
	for _, x := range l.state.untold(at, l.state.left) {
		entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: at, Message: EventSampled}
		_ = l.encode(l.now.Load(), entry, []zapcore.Field{zap.String("of", x.event), zap.Int("left_out", x.lines)}, x)
	}
}

// line is a line on its way to the sink. It is an event's, or tells of several of an event's; they are counted again
// where it is not written.
type line struct {
	text   []byte
	event  string
	lines  int
	counts map[string]int
}

// sink writes lines in a goroutine of its own.
type sink struct {
	w       io.Writer
	lines   chan line
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newSink(w io.Writer, lines int) *sink {
	return &sink{w: w, lines: make(chan line, max(lines, 1)), closing: make(chan struct{}), done: make(chan struct{})}
}

// put never waits. It is false where there is no room.
func (s *sink) put(l line) bool {
	select {
	case s.lines <- l:
		return true
	default:
		return false
	}
}

// run writes until the log is closed.
func (s *sink) run(l *Log) {
	defer close(s.done)
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case x := <-s.lines:
			s.write(l, x)
		case now := <-tick.C:
			l.tell(now)
		case <-s.closing:
			for {
				select {
				case x := <-s.lines:
					s.write(l, x)
				default:
					l.tell(time.Now())
					for len(s.lines) > 0 {
						s.write(l, <-s.lines)
					}
					s.confess(l)
					return
				}
			}
		}
	}
}

func (s *sink) write(l *Log, x line) {
	if !s.confess(l) {
		l.state.again(x)
		return
	}
	if _, err := s.w.Write(x.text); err != nil {
		l.state.again(x) // whoever reads again is told how many are missing
	}
}

// confess tells, of each event, how many lines were lost, once the sink takes any again. It is false while it does not.
func (s *sink) confess(l *Log) bool {
	all := l.state.untold(time.Time{}, l.state.lost)
	for i, x := range all {
		entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: EventDropped}
		text, err := l.now.Load().encoder.EncodeEntry(entry, []zapcore.Field{zap.String("of", x.event), zap.Int("lines", x.lines)})
		if err == nil {
			_, err = s.w.Write(text.Bytes())
			text.Free()
		}
		if err != nil {
			for _, x := range all[i:] {
				l.state.again(x)
			}
			return false
		}
	}
	return true
}

func (s *sink) close() {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(flushFor):
	}
}
