package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// clock is a fake clock that only advance moves.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *clock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// lines parses each line of a text as JSON.
func lines(t *testing.T, text string) (all []map[string]any) {
	t.Helper()
	for line := range strings.SplitSeq(strings.TrimSpace(text), "\n") {
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		all = append(all, m)
	}
	return all
}

func settingsFor(format string) *Section {
	s := Default()
	s.Format = format
	return s
}

// While nothing reads the sink, logging does not block and the buffer stays bounded. Dropped lines are reported afterwards.
func TestBlockedSinkDropsAndReportsLines(t *testing.T) {
	r, w := io.Pipe()
	s := settingsFor(FormatJSON)
	s.Burst, s.MaxLines, s.Buffer = 1<<30, 1<<30, 64<<10
	l := New(w, s)
	const each, loggers = 2000, 8
	var done sync.WaitGroup
	for range loggers {
		done.Go(func() {
			for i := range each {
				l.Info("event", zap.Int("i", i), zap.String("pad", strings.Repeat("x", 5000)))
			}
		})
	}
	done.Wait() // would hang if a call blocked
	if held := len(l.sink.lines); held > 64<<10/maxLineBytes {
		t.Errorf("%d lines are buffered", held)
	}
	received, reportedDropped := 0, 0.0
	readerDone := make(chan bool)
	go func() {
		defer close(readerDone)
		for in := bufio.NewScanner(r); in.Scan(); {
			if len(in.Bytes()) > maxLineBytes {
				t.Errorf("a line of %d bytes", len(in.Bytes()))
			}
			if !strings.Contains(in.Text(), EventDropped) {
				received++
				continue
			}
			var m map[string]any
			json.Unmarshal(in.Bytes(), &m)
			reportedDropped += m["lines"].(float64)
		}
	}()
	l.Close()
	w.Close()
	<-readerDone
	if received == 0 || received+int(reportedDropped) != each*loggers {
		t.Errorf("%d lines received and %v reported as dropped, of %d", received, reportedDropped, each*loggers)
	}
}

// 10000 invalid requests a second leave fewer than 100 lines a second, and summaries of the suppressed lines.
func TestFloodsAreSampled(t *testing.T) {
	var out bytes.Buffer
	s := settingsFor(FormatJSON)
	s.Buffer = 8 << 20
	l := New(&out, s)
	c := &clock{now: time.Now().Add(time.Hour)}
	log := l.WithOptions(zap.WithClock(c))
	const each, periods = 10000, 3
	for range periods {
		for i := range each {
			log.Info("client.invalid_request", zap.Int("status", 400+i%9))
			for j := range 3 {
				if i < 100 {
					log.Info(fmt.Sprint("other.", j))
				}
			}
		}
		c.advance(samplingPeriod)
	}
	l.reportSampled(c.Now())
	l.Close()
	sampledOut, seen := map[string]int{}, map[string]int{}
	all := lines(t, out.String())
	for _, m := range all {
		if m["event"] == EventSampled {
			sampledOut[m["of"].(string)] += int(m["left_out"].(float64))
		} else {
			seen[m["event"].(string)]++
		}
	}
	if len(all) > 100*periods {
		t.Errorf("%d lines in %d s", len(all), periods)
	}
	total := 0
	for _, n := range seen {
		total += n
	}
	for _, n := range sampledOut {
		total += n
	}
	if total != periods*(each+3*100) || seen["client.invalid_request"] == 0 || sampledOut["client.invalid_request"] < periods*(each-s.Burst) {
		t.Errorf("seen %v, left out %v", seen, sampledOut)
	}
}

// The total of lines is limited too, and frequent events do not suppress rare ones: the first line of each event in a
// period is written, and a summary counts the others. The number of events with their own counter is bounded.
func TestRareEventsSurviveFloods(t *testing.T) {
	for name, tc := range map[string]struct{ events, each, lines, sampled int }{
		"some":     {50, 10, 80 + 42, 42},
		"too many": {3 * maxCountedEvents, 2, maxCountedEvents + 1 + 40, maxCountedEvents + 1},
	} {
		var out bytes.Buffer
		s := settingsFor(FormatJSON)
		s.Buffer = 8 << 20
		l := New(&out, s)
		fakeClock := &clock{now: time.Now().Add(time.Hour)}
		log := l.WithOptions(zap.WithClock(fakeClock))
		for i := range tc.events {
			for range tc.each {
				log.Info(fmt.Sprint("event.", i))
			}
		}
		if n := len(l.counters.passedByEvent); n > maxCountedEvents+1 {
			t.Errorf("%s: %d events are counted", name, n)
		}
		l.Close()
		seen, sampledOut, sampled := map[string]int{}, 0, 0
		for _, m := range lines(t, out.String()) {
			if m["event"] == EventSampled {
				sampled++
				sampledOut += int(m["left_out"].(float64))
			} else {
				seen[m["event"].(string)]++
			}
		}
		total := sampledOut
		for _, n := range seen {
			total += n
		}
		if total != tc.events*tc.each || len(seen) < min(tc.events, maxCountedEvents) || sampled > tc.sampled || total-sampledOut > tc.lines {
			t.Errorf("%s: %d events with %d lines, %d left out, reported by %d lines", name, len(seen), total-sampledOut, sampledOut, sampled)
		}
	}
}

// failingWriter is a writer whose writes can be made to fail.
type failingWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	failing bool
}

func (f *failingWriter) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return 0, io.ErrClosedPipe
	}
	return f.out.Write(b)
}

func (f *failingWriter) setFailing(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = failing
}

// Lines that cannot be written are counted by event. The lines that a lost summary represents are counted again.
func TestUnwrittenLinesAreCounted(t *testing.T) {
	var writer failingWriter
	s := settingsFor(FormatJSON)
	s.Burst = 5
	l := New(&writer, s)
	fakeClock := &clock{now: time.Now().Add(time.Hour)}
	log := l.WithOptions(zap.WithClock(fakeClock))
	writer.setFailing(true)
	const each = 40
	for range each {
		log.Info("common")
	}
	log.Info("rare")
	for range 3 { // summaries that cannot be written
		l.reportSampled(fakeClock.Now())
	}
	for len(l.sink.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	writer.setFailing(false)
	l.Close()
	counted := map[string]int{}
	for _, m := range lines(t, writer.out.String()) {
		switch m["event"] {
		case EventSampled:
			counted[m["of"].(string)] += int(m["left_out"].(float64))
		case EventDropped:
			counted[m["of"].(string)] += int(m["lines"].(float64))
		default:
			counted[m["event"].(string)]++
		}
	}
	if len(counted) != 2 || counted["common"] != each || counted["rare"] != 1 {
		t.Errorf("counted %v", counted)
	}
}

// Level and format can change while the log is in use. Each line has the logger's fields and the generation.
func TestSet(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, settingsFor(FormatConsole))
	log := l.With(zap.String("name", "n0"))
	log.Debug("unseen")
	log.Info("first", zap.Duration("took", 250*time.Millisecond))
	next := settingsFor(FormatJSON)
	next.Level = Level{zapcore.DebugLevel}
	l.Set(next)
	l.Generation(7)
	log.Debug("second", zap.Uint32("endpoint", 3))
	l.Close()
	first, rest, _ := strings.Cut(out.String(), "\n")
	if !strings.Contains(first, "first") || !strings.Contains(first, "n0") || !strings.Contains(first, "250ms") {
		t.Errorf("first line %q", first)
	}
	m := lines(t, rest)
	if len(m) != 1 || m[0]["event"] != "second" || m[0]["level"] != "debug" || m[0]["generation"] != 7.0 ||
		m[0]["name"] != "n0" || m[0]["endpoint"] != 3.0 {
		t.Errorf("second line %v", m)
	}
}
