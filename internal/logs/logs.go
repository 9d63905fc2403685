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
	samplingPeriod = time.Second
	// maxLine is how many bytes of a line are kept.
	maxLineBytes = 2 << 10
	// flushFor is how long Close waits for the sink.
	flushTimeout = 500 * time.Millisecond
	// mostEvents bounds the events that are counted each by itself.
	maxCountedEvents = 256
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
	sink            *sink
	level           zap.AtomicLevel
	currentSettings atomic.Pointer[settings]
	counters        *lineCounters
	generation      atomic.Int64
}

// settings are those that are in force.
type settings struct {
	encoder                 zapcore.Encoder
	maxEventLines, maxLines int // lines a period, of an event and of all
}

// state counts the lines of a period, and those that were not written. It is one for all loggers made of a Log.
type lineCounters struct {
	mu            sync.Mutex
	periodEnd     time.Time // of the period
	passed        int
	passedByEvent map[string]int // lines of each event in this period
	sampledOut    map[string]int // of each event, lines left out that nobody has been told of yet,
	dropped       map[string]int // and lines that the sink did not take
}

func newLineCounters() *lineCounters {
	return &lineCounters{passedByEvent: map[string]int{}, sampledOut: map[string]int{}, dropped: map[string]int{}}
}

// count adds lines of an event, and gives what it comes to. The names of events are those in the code, so that they are
// few; mostEvents holds all the same.
func addCount(counts map[string]int, event string, lines int) int {
	if _, ok := counts[event]; !ok && len(counts) >= maxCountedEvents {
		event = EventOther
	}
	counts[event] += lines
	return counts[event]
}

// New makes a log that writes to w. It owns a goroutine until Close.
func New(w io.Writer, s *Section) *Log {
	l := &Log{sink: newSink(w, int(s.Buffer)/maxLineBytes), level: zap.NewAtomicLevel(), counters: newLineCounters()}
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
	next := &settings{maxEventLines: s.Burst, maxLines: s.MaxLines}
	if s.Format == FormatJSON {
		config.EncodeDuration = zapcore.MillisDurationEncoder
		next.encoder = zapcore.NewJSONEncoder(config)
	} else {
		config.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000000")
		config.EncodeDuration = zapcore.StringDurationEncoder
		next.encoder = zapcore.NewConsoleEncoder(config)
	}
	l.level.SetLevel(s.Level.Level)
	l.currentSettings.Store(next)
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
	settings := c.log.currentSettings.Load()
	if !c.log.counters.allow(e.Time, e.Message, settings) {
		return nil
	}
	return c.log.emit(settings, e, append(c.fields[:len(c.fields):len(c.fields)], fields...))
}

func (c *core) Sync() error { return nil }

// emit encodes a line and hands it to the sink.
func (l *Log) emit(settings *settings, e zapcore.Entry, fields []zapcore.Field) error {
	return l.enqueue(settings, e, fields, logLine{event: e.Message, represented: 1, counter: l.counters.dropped})
}

// encode hands a line to the sink that stands for some lines of an event, which count again if it is not written.
func (l *Log) enqueue(settings *settings, e zapcore.Entry, fields []zapcore.Field, queued logLine) error {
	if n := l.generation.Load(); n > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("generation", n))
	}
	text, err := settings.encoder.EncodeEntry(e, fields)
	if err != nil {
		l.counters.restore(queued)
		return err
	}
	defer text.Free()
	queued.text = text.Bytes()
	if len(queued.text) > maxLineBytes {
		queued.text = append(queued.text[:maxLineBytes-1:maxLineBytes-1], '\n')
	}
	queued.text = append([]byte(nil), queued.text...)
	if !l.sink.tryEnqueue(queued) {
		l.counters.restore(queued)
	}
	return nil
}

// take tells whether a line may pass. The first of each event in a period does, whatever else is logged.
func (c *lineCounters) allow(now time.Time, event string, limits *settings) (pass bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPeriodIfOver(now)
	if n := addCount(c.passedByEvent, event, 1); n > 1 && (n > limits.maxEventLines || c.passed >= limits.maxLines) {
		addCount(c.sampledOut, event, 1)
		return false
	}
	c.passed++
	return true
}

// turn begins a period if the one before is over.
func (c *lineCounters) startPeriodIfOver(at time.Time) {
	if !at.Before(c.periodEnd) {
		clear(c.passedByEvent)
		c.periodEnd, c.passed = at.Add(samplingPeriod), 0
	}
}

// again counts lines that nobody was told of after all.
func (c *lineCounters) restore(l logLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addCount(l.counter, l.event, l.represented)
}

// untold takes out what is to be told of some counts.
func (c *lineCounters) takeAll(now time.Time, counts map[string]int) (all []logLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPeriodIfOver(now)
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, logLine{event: event, represented: counts[event], counter: counts})
	}
	clear(counts)
	return all
}

// tell tells, of each event, how many lines were left out.
func (l *Log) reportSampled(at time.Time) {
	for _, x := range l.counters.takeAll(at, l.counters.sampledOut) {
		entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: at, Message: EventSampled}
		_ = l.enqueue(l.currentSettings.Load(), entry, []zapcore.Field{zap.String("of", x.event), zap.Int("left_out", x.represented)}, x)
	}
}

// line is a line on its way to the sink. It is an event's, or tells of several of an event's; they are counted again
// where it is not written.
type logLine struct {
	text        []byte
	event       string
	represented int
	counter     map[string]int
}

// sink writes lines in a goroutine of its own.
type sink struct {
	w         io.Writer
	lines     chan logLine
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func newSink(w io.Writer, lines int) *sink {
	return &sink{w: w, lines: make(chan logLine, max(lines, 1)), closing: make(chan struct{}), done: make(chan struct{})}
}

// put never waits. It is false where there is no room.
func (s *sink) tryEnqueue(l logLine) bool {
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
	tick := time.NewTicker(samplingPeriod)
	defer tick.Stop()
	for {
		select {
		case x := <-s.lines:
			s.write(l, x)
		case now := <-tick.C:
			l.reportSampled(now)
		case <-s.closing:
			for {
				select {
				case x := <-s.lines:
					s.write(l, x)
				default:
					l.reportSampled(time.Now())
					for len(s.lines) > 0 {
						s.write(l, <-s.lines)
					}
					s.reportDropped(l)
					return
				}
			}
		}
	}
}

func (s *sink) write(l *Log, x logLine) {
	if !s.reportDropped(l) {
		l.counters.restore(x)
		return
	}
	if _, err := s.w.Write(x.text); err != nil {
		l.counters.restore(x) // whoever reads again is told how many are missing
	}
}

// confess tells, of each event, how many lines were lost, once the sink takes any again. It is false while it does not.
func (s *sink) reportDropped(l *Log) bool {
	all := l.counters.takeAll(time.Time{}, l.counters.dropped)
	for i, x := range all {
		entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: EventDropped}
		text, err := l.currentSettings.Load().encoder.EncodeEntry(entry, []zapcore.Field{zap.String("of", x.event), zap.Int("lines", x.represented)})
		if err == nil {
			_, err = s.w.Write(text.Bytes())
			text.Free()
		}
		if err != nil {
			for _, x := range all[i:] {
				l.counters.restore(x)
			}
			return false
		}
	}
	return true
}

func (s *sink) close() {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}
