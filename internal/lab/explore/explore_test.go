package explore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dykering/internal/http1"
	"dykering/internal/lab/emulation"
	"dykering/internal/lab/netem"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

func bubble(t *testing.T) emulation.Bubble {
	t.Helper()
	return func(f func()) { synctest.Test(t, func(*testing.T) { f() }) }
}

// faultyNetwork is a broker's network with a planted fault.
type faultyNetwork struct {
	http1.Network
	dial func(c *netem.Conn, again func() (net.Conn, error)) net.Conn
	find func(http1.Successor) http1.Successor
}

func (b faultyNetwork) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	c, err := b.Network.Dial(ctx, address, within)
	if err != nil || b.dial == nil {
		return c, err
	}
	return b.dial(c.(*netem.Conn), func() (net.Conn, error) { return b.Network.Dial(context.Background(), address, within) }), nil
}

func (b faultyNetwork) FindSuccessor(dir, name string, own http1.Receiver) (http1.Successor, error) {
	heir, err := b.Network.FindSuccessor(dir, name, own)
	if err == nil && b.find != nil {
		heir = b.find(heir)
	}
	return heir, err
}

// repeater sends again what was reset after it went out, as a careless transport does.
type repeater struct {
	*netem.Conn
	again func() (net.Conn, error)
	mu    sync.Mutex
	last  []byte
}

func (c *repeater) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.last = append(c.last, b...) // a head and its body
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *repeater) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.last = nil
	}
	if errors.Is(err, syscall.ECONNRESET) && bytes.Contains(c.last, []byte("X-Txn")) {
		fresh, fault := c.again()
		if fault != nil {
			return n, err
		}
		defer fresh.Close()
		if _, fault := fresh.Write(c.last); fault == nil {
			c.last = nil
			fresh.SetReadDeadline(time.Now().Add(time.Second))
			return fresh.Read(b)
		}
	}
	return n, err
}

// delayedDiscovery delays the updates of discovery.
type delayedDiscovery struct {
	*netem.Conn
	mu    sync.Mutex
	lists bool
}

func (c *delayedDiscovery) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.lists = c.lists || bytes.Contains(b, []byte("/v1/endpoints"))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *delayedDiscovery) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lists {
		time.Sleep(700 * time.Millisecond)
	}
	return n, err
}

// duplicator sends each request on a second connection too.
type duplicator struct {
	*netem.Conn
	again func() (net.Conn, error)
}

func (c *duplicator) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("X-Txn")) {
		copied := bytes.Clone(b)
		go func() {
			if other, err := c.again(); err == nil {
				defer other.Close()
				other.SetDeadline(time.Now().Add(time.Second))
				other.Write(copied)
				io.Copy(io.Discard, other)
			}
		}()
	}
	return c.Conn.Write(b)
}

// cutter cuts the answers of a process that hands over.
type cutter struct {
	net.Listener
	handing *atomic.Bool
}

func (l cutter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{c.(*netem.Conn), l.handing}, nil
}

type cutConn struct {
	*netem.Conn
	handing *atomic.Bool
}

func (c *cutConn) Write(b []byte) (int, error) {
	if !c.handing.Load() {
		return c.Conn.Write(b)
	}
	c.Conn.Write(b[:len(b)/2])
	c.Conn.Close()
	return 0, net.ErrClosed
}

// holder keeps refusals until their clients' time is nearly up.
type holder struct{ net.Listener }

func (l holder) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c.(*netem.Conn)}, nil
}

type heldConn struct {
	*netem.Conn
	mu    sync.Mutex
	until time.Time
}

var remaining = regexp.MustCompile(`X-Remaining: (\d+)u`)

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if m := remaining.FindSubmatch(b[:n]); m != nil {
		us, _ := strconv.Atoi(string(m[1]))
		c.mu.Lock()
		c.until = time.Now().Add(time.Duration(us) * time.Microsecond)
		c.mu.Unlock()
	}
	return n, err
}

func (c *heldConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 503")) {
		c.mu.Lock()
		until := c.until
		c.mu.Unlock()
		time.Sleep(time.Until(until) - 5*time.Millisecond)
	}
	return c.Conn.Write(b)
}

// plantedFaults are faults of a broker, with the rules that each breaks.
var plantedFaults = map[string]struct {
	first uint64 // a seed of the draws that finds it early, for the time that the tests take; see docs/EXPLORE.md
	wrong func(http1.Network, net.Listener) (http1.Network, net.Listener)
	rules []string
}{
	"sent again after its bytes went out": {4, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return faultyNetwork{Network: n, dial: func(c *netem.Conn, again func() (net.Conn, error)) net.Conn {
			return &repeater{Conn: c, again: again}
		}}, l
	}, []string{rules.Effect, rules.Single, rules.AttemptLimit}},
	"a drain heeded late": {3, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return faultyNetwork{Network: n, dial: func(c *netem.Conn, _ func() (net.Conn, error)) net.Conn { return &delayedDiscovery{Conn: c} }}, l
	}, []string{rules.Drain}},
	"two attempts at once": {1, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return faultyNetwork{Network: n, dial: func(c *netem.Conn, again func() (net.Conn, error)) net.Conn {
			return &duplicator{c, again}
		}}, l
	}, []string{rules.Effect, rules.Single}},
	"an answer cut at a handover": {1, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		handing := &atomic.Bool{}
		return faultyNetwork{Network: n, find: func(h http1.Successor) http1.Successor {
			handing.Store(true)
			return h
		}}, cutter{l, handing}
	}, []string{rules.Answer, rules.Time}},
	"held until the deadline": {4, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return n, holder{l}
	}, []string{rules.HeldUntilDeadline, rules.Time}},
}

// foundWithin is in how many runs each planted fault is found, whatever the seed.
const foundWithin = 60

// Each planted fault is found by a rule that it breaks, and shrunk to at most three injected faults.
func TestSearchFindsAndShrinksPlantedFaults(t *testing.T) {
	for name, p := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := &Explorer{Bubble: bubble(t), Dir: t.TempDir(), Options: emulation.Options{WrapNetwork: p.wrong}, MaxShrinkRuns: 6}
			s := &Search{Explorer: x, Directory: t.TempDir(), Seed: p.first, Parallel: 1}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			s.MaxRuns, s.OnProgress = foundWithin, func(_, _, finds int) {
				if finds > 0 {
					stop()
				}
			}
			r, err := s.Run(ctx)
			if err != nil {
				t.Fatal(err)
			}
			right := slices.ContainsFunc(p.rules, func(rule string) bool { return r.ViolationCounts[rule] > 0 })
			if !right || len(r.Finds) == 0 {
				t.Fatalf("not found in %d runs: %v, %v", r.Runs, r.ViolationCounts, r.Finds)
			}
			text, err := os.ReadFile(r.Finds[0])
			if err != nil {
				t.Fatal(err)
			}
			faults := strings.Count(string(text), "[[trouble]]")
			t.Logf("%v in %d runs, shrunk to %d faults", r.ViolationCounts, r.Runs, faults)
			if faults > 3 {
				t.Errorf("shrunk to %d faults", faults)
			}
			if _, wrong := scenario.Parse("find", text); len(wrong) > 0 {
				t.Errorf("it cannot be replayed: %v", wrong)
			}
		})
	}
}

// The program keeps all rules in a fixed set of schedules, in which each fault meets each turn of a
// broker's life over the runs of `make explore`; a search that was called off goes on where it was.
func TestProgramKeepsRulesInFixedSchedules(t *testing.T) {
	out := t.TempDir()
	var r *Report
	for _, most := range []int{8, 24} {
		s := &Search{Explorer: &Explorer{Bubble: bubble(t), Dir: t.TempDir()}, Directory: out, Seed: 7, Parallel: 3, MaxRuns: most}
		if most == 24 { // a line that was cut off
			f, err := os.OpenFile(filepath.Join(out, runsFile), os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			f.WriteString(`{"n":8,"sche`)
			f.Close()
		}
		var err error
		if r, err = s.Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		if r.Runs != most {
			t.Errorf("%d runs, not %d", r.Runs, most)
		}
	}
	if len(r.ViolationCounts) > 0 || r.Offered < 4000 || len(r.Reached) < 120 {
		t.Errorf("broken %v in %v, %d asked, %d pairs", r.ViolationCounts, r.Finds, r.Offered, len(r.Reached))
	}
}

// A seed draws the same schedule each time, and its text is read as the same schedule.
func TestDrawIsReproducibleAndReadable(t *testing.T) {
	for n := range uint64(200) {
		pair := [2]string{Faults[int(n)%len(Faults)].Name, lifecycleFaults[int(n)%len(lifecycleFaults)]}
		a := Draw(rand.New(rand.NewPCG(1, n)), &pair)
		if b := Draw(rand.New(rand.NewPCG(1, n)), &pair); a.Text() != b.Text() {
			t.Fatalf("two of one seed:\n%s\n%s", a.Text(), b.Text())
		}
		s, wrong := scenario.Parse("schedule", []byte(a.Text()))
		if len(wrong) > 0 || len(s.InjectedFaults) != len(a.Entries) {
			t.Fatalf("%v\n%s", wrong, a.Text())
		}
	}
}

// The cells of the review's table that name the explorer are pairs that its kept search reached, and none
// that it reached is said to have no test.
func TestReviewTableMatchesSearchRecord(t *testing.T) {
	review, err := os.ReadFile("../../../docs/review-of-parts.md")
	if err != nil {
		t.Fatal(err)
	}
	kept, err := os.ReadFile("../../../lab/results/explore/" + PairsFile)
	if err != nil {
		t.Fatal(err)
	}
	reached := map[[2]string]string{}
	eachCell(string(kept), func(fault, stage, cell string) { reached[[2]string{fault, stage}] = cell })
	names := map[string]string{"server draining": "draining", "refusing connections": "refusing"}
	named := 0
	eachCell(string(review), func(fault, stage, cell string) {
		if name := names[fault]; name != "" {
			fault = name
		}
		n, played := reached[[2]string{fault, stage}]
		switch {
		case cell == "E" && (!played || n == "0"):
			t.Errorf("%s in %s: named for the explorer, which does not reach it", fault, stage)
		case cell == "E":
			named++
		case cell == "?" && played && n != "0" && fault != "id used twice": // not over two processes: Befall
			t.Errorf("%s in %s: reached in %s runs, and said to have no test", fault, stage, n)
		}
	})
	if named < 30 {
		t.Errorf("%d cells name the explorer", named)
	}
}

// eachCell calls visit for each cell of the tables whose first column is named fault.
func eachCell(text string, visit func(fault, stage, cell string)) {
	var stages []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "|") {
			stages = nil
			continue
		}
		row := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range row {
			row[i] = strings.TrimSpace(row[i])
		}
		if row[0] == "fault" {
			stages = row[1:]
			continue
		}
		for i := range min(len(stages), len(row)-1) {
			visit(row[0], stages[i], row[i+1])
		}
	}
}

// Each replay of an earlier find, with the seed in its first lines, breaks no rule.
func TestReplaysOfFindsKeepRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		found := regexp.MustCompile(`(?m)^# seed (\d+)$`).FindSubmatch(text)
		s, wrong := scenario.Parse(file, text)
		if found == nil || len(wrong) > 0 {
			t.Fatalf("%s: no seed, or %v", file, wrong)
		}
		seed, _ := strconv.ParseUint(string(found[1]), 10, 64)
		r, err := emulation.Play(t.Context(), bubble(t), s, seed, emulation.Options{Dir: t.TempDir()})
		if err != nil || len(r.ViolationCounts) > 0 {
			t.Errorf("%s: %v, %+v", file, err, r)
		}
	}
}
