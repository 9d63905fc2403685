// Package logs makes the structured log of a process. Lines are events with stable names (docs/LOGS.md lists them)
// and fields. Nothing that logs ever waits: a line goes into a bounded buffer, or is dropped and counted, and events
// that repeat are sampled, with the number that was left out told.
package logs

import (
	"io"
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
)

// The events that this package logs itself.
const (
	EventSampled = "log.sampled" // lines of an event were left out
	EventDropped = "log.dropped" // lines were lost, as the sink took none
	EventLimited = "log.limited" // lines were left out, as all events together came too often
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

// state counts the lines of a period. It is one for all loggers made of a Log.
type state struct {
	mu     sync.Mutex
	end    time.Time // of the period
	lines  int
	left   int            // left out by the bound of all
	events map[string]int // lines of each event; their names are those in the code, so that they are few
}

// New makes a log that writes to w. It owns a goroutine until Close.
func New(w io.Writer, s *Section) *Log {
	l := &Log{sink: newSink(w, int(s.Buffer)/maxLine), level: zap.NewAtomicLevel(), state: &state{events: map[string]int{}}}
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
	told, pass := c.log.state.take(e.Time, e.Message, now)
	for _, line := range told {
		c.log.emit(now, line.entry(e.Time), line.fields())
	}
	if !pass {
		return nil
	}
	return c.log.emit(now, e, append(c.fields[:len(c.fields):len(c.fields)], fields...))
}

func (c *core) Sync() error { return nil }

// emit encodes a line and hands it to the sink.
func (l *Log) emit(now *settings, e zapcore.Entry, fields []zapcore.Field) error {
	if n := l.generation.Load(); n > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("generation", n))
	}
	line, err := now.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	defer line.Free()
	l.sink.put(line.Bytes())
	return nil
}

// summary is how many lines of an event were left out; without an event, of all.
type summary struct {
	event string
	n     int
}

func (s summary) entry(at time.Time) zapcore.Entry {
	name := EventSampled
	if s.event == "" {
		name = EventLimited
	}
	return zapcore.Entry{Level: zapcore.WarnLevel, Time: at, Message: name}
}

func (s summary) fields() []zapcore.Field {
	if s.event == "" {
		return []zapcore.Field{zap.Int("left_out", s.n)}
	}
	return []zapcore.Field{zap.String("of", s.event), zap.Int("left_out", s.n)}
}

// take tells whether a line may pass, and what is to be told of the period before.
func (t *state) take(at time.Time, event string, now *settings) (told []summary, pass bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told = t.turn(at, now)
	t.events[event]++
	if t.events[event] > now.burst {
		return told, false
	}
	if t.lines >= now.total {
		t.left++
		return told, false
	}
	t.lines++
	return told, true
}

// turn begins a period if the one before is over.
func (t *state) turn(at time.Time, now *settings) (told []summary) {
	if at.Before(t.end) {
		return nil
	}
	for event, n := range t.events {
		if n > now.burst {
			told = append(told, summary{event, n - now.burst})
		}
	}
	if t.left > 0 {
		told = append(told, summary{"", t.left})
	}
	clear(t.events)
	t.end, t.lines, t.left = at.Add(period), len(told), 0
	return told
}

// tell tells what was left out in a period that is over, though nothing is logged any more.
func (l *Log) tell(at time.Time) {
	now := l.now.Load()
	l.state.mu.Lock()
	told := l.state.turn(at, now)
	l.state.mu.Unlock()
	for _, line := range told {
		l.emit(now, line.entry(at), line.fields())
	}
}

// sink writes lines in a goroutine of its own.
type sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newSink(w io.Writer, lines int) *sink {
	return &sink{w: w, lines: make(chan []byte, max(lines, 1)), closing: make(chan struct{}), done: make(chan struct{})}
}

// put never waits.
func (s *sink) put(line []byte) {
	if len(line) > maxLine {
		line = append(line[:maxLine-1:maxLine-1], '\n')
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
}

// run writes until the log is closed.
func (s *sink) run(l *Log) {
	defer close(s.done)
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(l, line)
		case now := <-tick.C:
			l.tell(now)
		case <-s.closing:
			for {
				select {
				case line := <-s.lines:
					s.write(l, line)
				default:
					s.confess(l)
					return
				}
			}
		}
	}
}

func (s *sink) write(l *Log, line []byte) {
	s.confess(l)
	s.w.Write(line) // there is nobody to tell that it cannot be written
}

// confess tells how many lines were lost, once the sink takes any again.
func (s *sink) confess(l *Log) {
	n := s.dropped.Swap(0)
	if n == 0 {
		return
	}
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: EventDropped}
	if line, err := l.now.Load().encoder.EncodeEntry(entry, []zapcore.Field{zap.Int64("lines", n)}); err == nil {
		s.w.Write(line.Bytes())
		line.Free()
	}
}

func (s *sink) close() {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(flushFor):
	}
}
