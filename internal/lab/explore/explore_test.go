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

// broken is a broker's network that does what it must not.
type broken struct {
	http1.Network
	dial func(c *netem.Conn, again func() (net.Conn, error)) net.Conn
	find func(http1.Successor) http1.Successor
}

func (b broken) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	c, err := b.Network.Dial(ctx, address, within)
	if err != nil || b.dial == nil {
		return c, err
	}
	return b.dial(c.(*netem.Conn), func() (net.Conn, error) { return b.Network.Dial(context.Background(), address, within) }), nil
}

func (b broken) FindSuccessor(dir, name string, own http1.Receiver) (http1.Successor, error) {
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

// late brings what discovery says late.
type late struct {
	*netem.Conn
	mu    sync.Mutex
	lists bool
}

func (c *late) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.lists = c.lists || bytes.Contains(b, []byte("/v1/endpoints"))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *late) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lists {
		time.Sleep(700 * time.Millisecond)
	}
	return n, err
}

// doubler sends each request on another connection too.
type doubler struct {
	*netem.Conn
	again func() (net.Conn, error)
}

func (c *doubler) Write(b []byte) (int, error) {
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
	return &cut{c.(*netem.Conn), l.handing}, nil
}

type cut struct {
	*netem.Conn
	handing *atomic.Bool
}

func (c *cut) Write(b []byte) (int, error) {
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
	return &held{Conn: c.(*netem.Conn)}, nil
}

type held struct {
	*netem.Conn
	mu    sync.Mutex
	until time.Time
}

var remaining = regexp.MustCompile(`X-Remaining: (\d+)u`)

func (c *held) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if m := remaining.FindSubmatch(b[:n]); m != nil {
		us, _ := strconv.Atoi(string(m[1]))
		c.mu.Lock()
		c.until = time.Now().Add(time.Duration(us) * time.Microsecond)
		c.mu.Unlock()
	}
	return n, err
}

func (c *held) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 503")) {
		c.mu.Lock()
		until := c.until
		c.mu.Unlock()
		time.Sleep(time.Until(until) - 5*time.Millisecond)
	}
	return c.Conn.Write(b)
}

// planted are the ways of being wrong, and the rules that each breaks.
var planted = map[string]struct {
	first uint64 // a seed of the draws that finds it early, for the time that the tests take; see docs/EXPLORE.md
	wrong func(http1.Network, net.Listener) (http1.Network, net.Listener)
	rules []string
}{
	"sent again after its bytes went out": {4, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return broken{Network: n, dial: func(c *netem.Conn, again func() (net.Conn, error)) net.Conn {
			return &repeater{Conn: c, again: again}
		}}, l
	}, []string{rules.Effect, rules.Single, rules.AttemptLimit}},
	"a drain heeded late": {3, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return broken{Network: n, dial: func(c *netem.Conn, _ func() (net.Conn, error)) net.Conn { return &late{Conn: c} }}, l
	}, []string{rules.Drain}},
	"two attempts at once": {1, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return broken{Network: n, dial: func(c *netem.Conn, again func() (net.Conn, error)) net.Conn {
			return &doubler{c, again}
		}}, l
	}, []string{rules.Effect, rules.Single}},
	"an answer cut at a handover": {1, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		handing := &atomic.Bool{}
		return broken{Network: n, find: func(h http1.Successor) http1.Successor {
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

// Each way of being wrong is found, for a rule that it breaks, and shrunk to at most three faults.
func TestPlanted(t *testing.T) {
	for name, p := range planted {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := &Explorer{Bubble: bubble(t), Dir: t.TempDir(), Wrong: emulation.Options{WrapNetwork: p.wrong}, Within: 6}
			s := &Search{Explorer: x, Out: t.TempDir(), First: p.first, At: 1}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			s.Most, s.Told = foundWithin, func(_, _, finds int) {
				if finds > 0 {
					stop()
				}
			}
			r, err := s.Run(ctx)
			if err != nil {
				t.Fatal(err)
			}
			right := slices.ContainsFunc(p.rules, func(rule string) bool { return r.Broken[rule] > 0 })
			if !right || len(r.Finds) == 0 {
				t.Fatalf("not found in %d runs: %v, %v", r.Runs, r.Broken, r.Finds)
			}
			text, err := os.ReadFile(r.Finds[0])
			if err != nil {
				t.Fatal(err)
			}
			faults := strings.Count(string(text), "[[trouble]]")
			t.Logf("%v in %d runs, shrunk to %d faults", r.Broken, r.Runs, faults)
			if faults > 3 {
				t.Errorf("shrunk to %d faults", faults)
			}
			if _, wrong := scenario.Parse("find", text); len(wrong) > 0 {
				t.Errorf("it cannot be replayed: %v", wrong)
			}
		})
	}
}

// The program keeps all rules in a fixed set of schedules, in which each fault meets each turn of a broker's life over
// the runs of `make explore`; a search that was called off goes on where it was.
func TestExplore(t *testing.T) {
	out := t.TempDir()
	var r *Report
	for _, most := range []int{8, 24} {
		s := &Search{Explorer: &Explorer{Bubble: bubble(t), Dir: t.TempDir()}, Out: out, First: 7, At: 3, Most: most}
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
	if len(r.Broken) > 0 || r.Asked < 4000 || len(r.Reached) < 120 {
		t.Errorf("broken %v in %v, %d asked, %d pairs", r.Broken, r.Finds, r.Asked, len(r.Reached))
	}
}

// A schedule is the same text, and the same when read again, for a seed.
func TestDraw(t *testing.T) {
	for n := range uint64(200) {
		pair := [2]string{Faults[int(n)%len(Faults)].Name, lives[int(n)%len(lives)]}
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

// The cells of the review's table that name the explorer are pairs that its kept search reached, and none that it reached
// is said to have no test.
func TestReviewsTable(t *testing.T) {
	review, err := os.ReadFile("../../../docs/review-of-parts.md")
	if err != nil {
		t.Fatal(err)
	}
	kept, err := os.ReadFile("../../../lab/results/explore/" + PairsFile)
	if err != nil {
		t.Fatal(err)
	}
	reached := map[[2]string]string{}
	cells(string(kept), func(fault, stage, cell string) { reached[[2]string{fault, stage}] = cell })
	names := map[string]string{"server draining": "draining", "refusing connections": "refusing"}
	named := 0
	cells(string(review), func(fault, stage, cell string) {
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

// cells tells of each cell of the tables whose first column is named fault.
func cells(text string, told func(fault, stage, cell string)) {
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
			told(row[0], stages[i], row[i+1])
		}
	}
}

// What the explorer has found stays mended: each replay, with the seed in its first lines, breaks no rule.
func TestReplays(t *testing.T) {
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
