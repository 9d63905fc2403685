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

// faultyNetwork is a broker's network that wraps connections or successors to plant a fault in the broker.
type faultyNetwork struct {
	http1.Network
	wrapConn      func(c *netem.Conn, redial func() (net.Conn, error)) net.Conn
	wrapSuccessor func(http1.Successor) http1.Successor
}

func (b faultyNetwork) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	c, err := b.Network.Dial(ctx, address, within)
	if err != nil || b.wrapConn == nil {
		return c, err
	}
	return b.wrapConn(c.(*netem.Conn), func() (net.Conn, error) { return b.Network.Dial(context.Background(), address, within) }), nil
}

func (b faultyNetwork) FindSuccessor(dir, name string, own http1.Receiver) (http1.Successor, error) {
	successor, err := b.Network.FindSuccessor(dir, name, own)
	if err == nil && b.wrapSuccessor != nil {
		successor = b.wrapSuccessor(successor)
	}
	return successor, err
}

// repeater sends a request again on a new connection after a reset, although the server may have executed it.
type repeater struct {
	*netem.Conn
	redial func() (net.Conn, error)
	mu     sync.Mutex
	// The bytes of the request that has no response yet.
	pending []byte
}

func (c *repeater) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.pending = append(c.pending, b...) // head and body are written separately
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *repeater) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.pending = nil
	}
	if errors.Is(err, syscall.ECONNRESET) && bytes.Contains(c.pending, []byte("X-Txn")) {
		second, dialErr := c.redial()
		if dialErr != nil {
			return n, err
		}
		defer second.Close()
		if _, writeErr := second.Write(c.pending); writeErr == nil {
			c.pending = nil
			second.SetReadDeadline(time.Now().Add(time.Second))
			return second.Read(b)
		}
	}
	return n, err
}

// delayedDiscovery delays the updates of the endpoint list.
type delayedDiscovery struct {
	*netem.Conn
	mu sync.Mutex
	// The connection is a watch of the discovery.
	isDiscovery bool
}

func (c *delayedDiscovery) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.isDiscovery = c.isDiscovery || bytes.Contains(b, []byte("/v1/endpoints"))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *delayedDiscovery) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDiscovery {
		time.Sleep(700 * time.Millisecond)
	}
	return n, err
}

// duplicator also sends each request on a second connection.
type duplicator struct {
	*netem.Conn
	redial func() (net.Conn, error)
}

func (c *duplicator) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("X-Txn")) {
		copied := bytes.Clone(b)
		go func() {
			if second, err := c.redial(); err == nil {
				defer second.Close()
				second.SetDeadline(time.Now().Add(time.Second))
				second.Write(copied)
				io.Copy(io.Discard, second)
			}
		}()
	}
	return c.Conn.Write(b)
}

// truncatingListener accepts connections that truncate responses once the process has begun a handover.
type truncatingListener struct {
	net.Listener
	handingOver *atomic.Bool
}

func (l truncatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &truncatingConn{c.(*netem.Conn), l.handingOver}, nil
}

type truncatingConn struct {
	*netem.Conn
	handingOver *atomic.Bool
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	if !c.handingOver.Load() {
		return c.Conn.Write(b)
	}
	c.Conn.Write(b[:len(b)/2])
	c.Conn.Close()
	return 0, net.ErrClosed
}

// delayingListener accepts connections that delay refusals until just before the client's deadline.
type delayingListener struct{ net.Listener }

func (l delayingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayingConn{Conn: c.(*netem.Conn)}, nil
}

type delayingConn struct {
	*netem.Conn
	mu sync.Mutex
	// The deadline of the current request.
	deadline time.Time
}

var remainingHeader = regexp.MustCompile(`X-Remaining: (\d+)u`)

func (c *delayingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if m := remainingHeader.FindSubmatch(b[:n]); m != nil {
		us, _ := strconv.Atoi(string(m[1]))
		c.mu.Lock()
		c.deadline = time.Now().Add(time.Duration(us) * time.Microsecond)
		c.mu.Unlock()
	}
	return n, err
}

func (c *delayingConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 503")) {
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		time.Sleep(time.Until(deadline) - 5*time.Millisecond)
	}
	return c.Conn.Write(b)
}

// plantedFaults are faults of a broker with the rules that each violates.
var plantedFaults = map[string]struct {
	seed  uint64 // a seed that finds the fault in few runs, to keep the test short
	plant func(http1.Network, net.Listener) (http1.Network, net.Listener)
	rules []string
}{
	"unsafe retry after a reset": {4, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return faultyNetwork{Network: n, wrapConn: func(c *netem.Conn, redial func() (net.Conn, error)) net.Conn {
			return &repeater{Conn: c, redial: redial}
		}}, l
	}, []string{rules.Effect, rules.Single, rules.AttemptLimit}},
	"delayed reaction to a drain": {3, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return faultyNetwork{Network: n, wrapConn: func(c *netem.Conn, _ func() (net.Conn, error)) net.Conn {
			return &delayedDiscovery{Conn: c}
		}}, l
	}, []string{rules.Drain}},
	"two attempts at once": {1, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return faultyNetwork{Network: n, wrapConn: func(c *netem.Conn, redial func() (net.Conn, error)) net.Conn {
			return &duplicator{c, redial}
		}}, l
	}, []string{rules.Effect, rules.Single}},
	"response truncated at a handover": {1, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		handingOver := &atomic.Bool{}
		return faultyNetwork{Network: n, wrapSuccessor: func(s http1.Successor) http1.Successor {
			handingOver.Store(true)
			return s
		}}, truncatingListener{l, handingOver}
	}, []string{rules.Answer, rules.Time}},
	"refusal delayed until the deadline": {4, func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return n, delayingListener{l}
	}, []string{rules.HeldUntilDeadline, rules.Time}},
}

// maxRunsToFind is the number of runs within which a search with any seed has to find each planted fault.
const maxRunsToFind = 60

// A search finds each planted fault as a violation of a rule that the fault violates, and shrinks the schedule
// to at most three injected faults.
func TestSearchFindsAndShrinksPlantedFaults(t *testing.T) {
	for name, p := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := &Explorer{Bubble: bubble(t), Dir: t.TempDir(), Options: emulation.Options{WrapNetwork: p.plant}, MaxShrinkRuns: 6}
			s := &Search{Explorer: x, Directory: t.TempDir(), Seed: p.seed, Parallel: 1}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			s.MaxRuns, s.OnProgress = maxRunsToFind, func(_, _, finds int) {
				if finds > 0 {
					stop()
				}
			}
			r, err := s.Run(ctx)
			if err != nil {
				t.Fatal(err)
			}
			found := slices.ContainsFunc(p.rules, func(rule string) bool { return r.ViolationCounts[rule] > 0 })
			if !found || len(r.Finds) == 0 {
				t.Fatalf("the planted fault was not found in %d runs: violations %v, finds %v", r.Runs, r.ViolationCounts, r.Finds)
			}
			text, err := os.ReadFile(r.Finds[0])
			if err != nil {
				t.Fatal(err)
			}
			faults := strings.Count(string(text), "[[trouble]]")
			t.Logf("%v in %d runs, shrunk to %d faults", r.ViolationCounts, r.Runs, faults)
			if faults > 3 {
				t.Errorf("the find was shrunk to %d faults, want at most 3", faults)
			}
			if _, problems := scenario.Parse("find", text); len(problems) > 0 {
				t.Errorf("the scenario file of the find is invalid: %v", problems)
			}
		})
	}
}

// The broker violates no rule in the first schedules of a fixed seed, and an interrupted search continues after
// its last complete record. The longer search of `make explore` combines each fault with each lifecycle fault.
func TestProgramKeepsRulesInFixedSchedules(t *testing.T) {
	out := t.TempDir()
	var r *Report
	for _, maxRuns := range []int{8, 24} {
		s := &Search{Explorer: &Explorer{Bubble: bubble(t), Dir: t.TempDir()}, Directory: out, Seed: 7, Parallel: 3, MaxRuns: maxRuns}
		if maxRuns == 24 { // append an incomplete line
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
		if r.Runs != maxRuns {
			t.Errorf("%d runs, want %d", r.Runs, maxRuns)
		}
	}
	if len(r.ViolationCounts) > 0 || r.Offered < 4000 || len(r.Reached) < 120 {
		t.Errorf("violations %v in %v, %d requests, %d pairs reached", r.ViolationCounts, r.Finds, r.Offered, len(r.Reached))
	}
}

// Draw returns the same schedule for the same seed, and the text of a schedule is a valid scenario with the
// same number of faults.
func TestDrawIsReproducibleAndReadable(t *testing.T) {
	for n := range uint64(200) {
		pair := [2]string{Faults[int(n)%len(Faults)].Name, lifecycleFaults[int(n)%len(lifecycleFaults)]}
		a := Draw(rand.New(rand.NewPCG(1, n)), &pair)
		if b := Draw(rand.New(rand.NewPCG(1, n)), &pair); a.Text() != b.Text() {
			t.Fatalf("two different schedules of the same seed:\n%s\n%s", a.Text(), b.Text())
		}
		s, problems := scenario.Parse("schedule", []byte(a.Text()))
		if len(problems) > 0 || len(s.InjectedFaults) != len(a.Entries) {
			t.Fatalf("the text of a schedule is not read as the same schedule: %v\n%s", problems, a.Text())
		}
	}
}

// In the table of docs/review-of-parts.md "E" marks a pair of a fault and a phase that the explorer covers, and
// "?" a pair without a test. Each pair with "E" was reached in the recorded search, and no pair with "?" was.
func TestReviewTableMatchesSearchRecord(t *testing.T) {
	review, err := os.ReadFile("../../../docs/review-of-parts.md")
	if err != nil {
		t.Fatal(err)
	}
	recorded, err := os.ReadFile("../../../lab/results/explore/" + PairsFile)
	if err != nil {
		t.Fatal(err)
	}
	reached := map[[2]string]string{}
	eachCell(string(recorded), func(fault, stage, cell string) { reached[[2]string{fault, stage}] = cell })
	names := map[string]string{"server draining": "draining", "refusing connections": "refusing"}
	covered := 0
	eachCell(string(review), func(fault, stage, cell string) {
		if name := names[fault]; name != "" {
			fault = name
		}
		n, played := reached[[2]string{fault, stage}]
		switch {
		case cell == "E" && (!played || n == "0"):
			t.Errorf("%s in phase %s is marked E, but the recorded search does not reach it", fault, stage)
		case cell == "E":
			covered++
		// Clients send no id twice while an instance has two processes, so the search does not cover all of
		// "id used twice".
		case cell == "?" && played && n != "0" && fault != "id used twice":
			t.Errorf("%s in phase %s is marked ?, but %s runs of the recorded search reached it", fault, stage, n)
		}
	})
	if covered < 30 {
		t.Errorf("%d pairs are marked E, want at least 30", covered)
	}
}

// eachCell calls visit for each cell of the Markdown tables whose first column has the heading "fault".
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

// Each replay of an earlier find violates no rule. The file of a replay contains its seed as a comment.
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
		seedLine := regexp.MustCompile(`(?m)^# seed (\d+)$`).FindSubmatch(text)
		s, problems := scenario.Parse(file, text)
		if seedLine == nil || len(problems) > 0 {
			t.Fatalf("%s has no seed or is invalid: %v", file, problems)
		}
		seed, _ := strconv.ParseUint(string(seedLine[1]), 10, 64)
		r, err := emulation.Play(t.Context(), bubble(t), s, seed, emulation.Options{Dir: t.TempDir()})
		if err != nil || len(r.ViolationCounts) > 0 {
			t.Errorf("replay of %s: error %v, result %+v", file, err, r)
		}
	}
}
