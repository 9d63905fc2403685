// Package logs provides the structured log of a process. Each line is an event with a stable name (listed in docs/LOGS.md)
// and fields. Logging never blocks: a line is put into a bounded buffer, or dropped and counted if the buffer is full.
// Frequent events are sampled. Summary lines report how many lines were sampled out or dropped.
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
	// samplingPeriod is the period of the line limits and of the summaries of sampled lines.
	samplingPeriod = time.Second
	// maxLineBytes is the length above which a line is truncated.
	maxLineBytes = 2 << 10
	// flushTimeout is how long Close waits for the sink.
	flushTimeout = 500 * time.Millisecond
	// maxCountedEvents bounds the number of events with their own counter. Further events share EventOther.
	maxCountedEvents = 256
)

// The events that this package logs itself.
const (
	EventSampled = "log.sampled" // lines of an event were suppressed by the limits
	EventDropped = "log.dropped" // lines were lost, because the buffer was full or writing failed
	EventOther   = "log.other"   // counts the lines of all events beyond maxCountedEvents
)

// Log is a logger with its sink. Its settings can be changed while it is in use.
type Log struct {
	*zap.Logger
	sink            *sink
	level           zap.AtomicLevel
	currentSettings atomic.Pointer[settings]
	counters        *lineCounters
	generation      atomic.Int64
}

// settings are the settings in force.
type settings struct {
	encoder                 zapcore.Encoder
	maxEventLines, maxLines int // lines per period, of one event and in total
}

// lineCounters counts the lines of the current period and the lines that were not written. All loggers derived from a Log
// share it.
type lineCounters struct {
	mu            sync.Mutex
	periodEnd     time.Time
	passed        int            // lines allowed in the current period
	passedByEvent map[string]int // lines of each event in the current period
	sampledOut    map[string]int // by event: lines suppressed by the limits and not yet reported
	dropped       map[string]int // by event: lines not written and not yet reported
}

func newLineCounters() *lineCounters {
	return &lineCounters{passedByEvent: map[string]int{}, sampledOut: map[string]int{}, dropped: map[string]int{}}
}

// addCount adds lines to the counter of an event and returns the new value. Event names are constants in the code and
// therefore few; maxCountedEvents bounds the memory in any case.
func addCount(counts map[string]int, event string, lines int) int {
	if _, ok := counts[event]; !ok && len(counts) >= maxCountedEvents {
		event = EventOther
	}
	counts[event] += lines
	return counts[event]
}

// New returns a log that writes to w. Its goroutine runs until Close.
func New(w io.Writer, s *Section) *Log {
	l := &Log{sink: newSink(w, int(s.Buffer)/maxLineBytes), level: zap.NewAtomicLevel(), counters: newLineCounters()}
	l.Set(s)
	l.Logger = zap.New(&core{log: l})
	go l.sink.run(l)
	return l
}

// Set applies settings to all later lines. The size of the buffer does not change.
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

// Generation sets the generation of the operator's file that later lines carry. With 0 they carry none.
func (l *Log) Generation(n int) { l.generation.Store(int64(n)) }

// Close writes the buffered lines, for at most flushTimeout, and stops the log. Later lines are lost.
func (l *Log) Close() { l.sink.close() }

// core implements zapcore.Core for a Log.
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
	current := c.log.currentSettings.Load()
	if !c.log.counters.allow(e.Time, e.Message, current) {
		return nil
	}
	return c.log.emit(current, e, append(c.fields[:len(c.fields):len(c.fields)], fields...))
}

func (c *core) Sync() error { return nil }

// emit enqueues the line of a single event.
func (l *Log) emit(current *settings, e zapcore.Entry, fields []zapcore.Field) error {
	return l.enqueue(current, e, fields, logLine{event: e.Message, represented: 1, counter: l.counters.dropped})
}

// enqueue encodes a line and puts it into the sink's buffer. If that fails, the lines that it represents are counted again.
func (l *Log) enqueue(current *settings, e zapcore.Entry, fields []zapcore.Field, queued logLine) error {
	if n := l.generation.Load(); n > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("generation", n))
	}
	text, err := current.encoder.EncodeEntry(e, fields)
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

// allow reports whether a line is within the limits, and counts it. The first line of each event in a period is always
// allowed, so that frequent events do not suppress rare ones.
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

// startPeriodIfOver starts a new period if the current one has ended.
func (c *lineCounters) startPeriodIfOver(at time.Time) {
	if !at.Before(c.periodEnd) {
		clear(c.passedByEvent)
		c.periodEnd, c.passed = at.Add(samplingPeriod), 0
	}
}

// restore adds the lines that a line represents to their counter again, because the line was not written.
func (c *lineCounters) restore(l logLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addCount(l.counter, l.event, l.represented)
}

// takeAll returns the entries of a counter as lines to report, and clears the counter.
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

// reportSampled logs, for each event, how many lines were suppressed by the limits.
func (l *Log) reportSampled(at time.Time) {
	for _, summary := range l.counters.takeAll(at, l.counters.sampledOut) {
		entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: at, Message: EventSampled}
		fields := []zapcore.Field{zap.String("of", summary.event), zap.Int("left_out", summary.represented)}
		_ = l.enqueue(l.currentSettings.Load(), entry, fields, summary)
	}
}

// logLine is a line in the sink's buffer. It is the line of one event, or a summary that represents several lines of an
// event. If it is not written, the lines that it represents are added to their counter again.
type logLine struct {
	text        []byte
	event       string
	represented int
	counter     map[string]int
}

// sink writes lines in its own goroutine.
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

// tryEnqueue puts a line into the buffer without blocking. It returns false if the buffer is full.
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
		case queued := <-s.lines:
			s.write(l, queued)
		case now := <-tick.C:
			l.reportSampled(now)
		case <-s.closing:
			for {
				select {
				case queued := <-s.lines:
					s.write(l, queued)
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

func (s *sink) write(l *Log, queued logLine) {
	if !s.reportDropped(l) {
		l.counters.restore(queued)
		return
	}
	if _, err := s.w.Write(queued.text); err != nil {
		l.counters.restore(queued) // reported once writing succeeds again
	}
}

// reportDropped writes, for each event, how many lines were dropped. It returns false if writing fails.
func (s *sink) reportDropped(l *Log) bool {
	all := l.counters.takeAll(time.Time{}, l.counters.dropped)
	for i, x := range all {
		entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: EventDropped}
		fields := []zapcore.Field{zap.String("of", x.event), zap.Int("lines", x.represented)}
		text, err := l.currentSettings.Load().encoder.EncodeEntry(entry, fields)
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
