package http1

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dykering/internal/core"
)

// ledger is what callers' sockets got and when, and what came to servers and when. It is written down at both ends of
// the sidecar, and knows nothing of what is between.
type ledger struct {
	mu       sync.Mutex
	asked    map[string]wanted
	answers  map[string][]got
	attempts map[string][]*attempted
	drained  map[string]time.Time // by server: when it was told to drain or to be gone
	conns    int                  // that servers have accepted
	whole    int                  // requests that came to them whole
	refusals int
}

type wanted struct {
	class string
	until time.Time
}

type got struct {
	status int
	at     time.Time
	advice string
}

type attempted struct {
	server string
	at     time.Time
	ran    bool // or may have
	over   func() bool
}

func newLedger() *ledger {
	return &ledger{asked: map[string]wanted{}, answers: map[string][]got{}, attempts: map[string][]*attempted{},
		drained: map[string]time.Time{}}
}

func (l *ledger) ask(id, class string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = wanted{class, until}
}

func (l *ledger) answer(id string, g got) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = append(l.answers[id], g)
	if g.status == http.StatusServiceUnavailable {
		l.refusals++
	}
}

func (l *ledger) attempt(id string, a *attempted) (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole++
	for _, x := range l.attempts[id] {
		if !x.over() {
			faults = append(faults, id+": an attempt comes while another is out")
		}
	}
	l.attempts[id] = append(l.attempts[id], a)
	return faults
}

// late is how long a crowded machine may keep a goroutine of the test from writing down what has come.
const late = 300 * time.Millisecond

// broken names the rules that were broken, once all has settled.
func (l *ledger) broken(grace time.Duration, mostAttempts int) (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := func(id, text string, args ...any) { faults = append(faults, id+": "+fmt.Sprintf(text, args...)) }
	for id, w := range l.asked {
		switch all := l.answers[id]; {
		case len(all) != 1:
			fault(id, "%d final answers", len(all))
		case all[0].at.After(w.until.Add(late)):
			fault(id, "answered %v after its time", all[0].at.Sub(w.until))
		case all[0].status == http.StatusServiceUnavailable:
			if after, err := strconv.ParseFloat(all[0].advice, 64); err != nil || after <= 0 {
				fault(id, "refused with Retry-After %q", all[0].advice)
			}
		}
	}
	for id, all := range l.attempts {
		w, ok := l.asked[id]
		if !ok {
			fault(id, "nobody has asked for it")
		}
		ran := 0
		for _, a := range all {
			if a.ran {
				ran++
			}
			if told, ok := l.drained[a.server]; ok && a.at.After(told.Add(grace+late)) {
				fault(id, "sent to %s %v after it was told to drain", a.server, a.at.Sub(told))
			}
		}
		if w.class == "once" && ran > 1 {
			fault(id, "must not run twice, and may have run %d times", ran)
		}
		if len(all) > mostAttempts {
			fault(id, "%d attempts", len(all))
		}
	}
	return faults
}

// Each rule that the ledger looks after is seen to be broken where it is.
func TestLedgerSeesBrokenRules(t *testing.T) {
	now := time.Now()
	yes, no := func() bool { return true }, func() bool { return false }
	for want, play := range map[string]func(l *ledger) []string{
		"": func(l *ledger) []string {
			l.attempt("x", &attempted{"a", now, true, yes})
			l.answer("x", got{200, now, ""})
			return nil
		},
		"0 final answers": func(l *ledger) []string { return nil },
		"2 final answers": func(l *ledger) []string {
			l.answer("x", got{200, now, ""})
			l.answer("x", got{200, now, ""})
			return nil
		},
		"after its time":    func(l *ledger) []string { l.answer("x", got{200, now.Add(2 * time.Second), ""}); return nil },
		"Retry-After":       func(l *ledger) []string { l.answer("x", got{503, now, ""}); return nil },
		"Retry-After \"0\"": func(l *ledger) []string { l.answer("x", got{503, now, "0"}); return nil },
		"another is out": func(l *ledger) []string {
			l.answer("x", got{200, now, ""})
			l.attempt("x", &attempted{"a", now, false, no})
			return l.attempt("x", &attempted{"b", now, false, yes})
		},
		"2 times": func(l *ledger) []string {
			l.answer("x", got{502, now, ""})
			l.attempt("x", &attempted{"a", now, true, yes})
			l.attempt("x", &attempted{"b", now, true, yes})
			return nil
		},
		"told to drain": func(l *ledger) []string {
			l.drained["a"] = now.Add(-time.Second)
			l.answer("x", got{200, now, ""})
			l.attempt("x", &attempted{"a", now, true, yes})
			return nil
		},
		"6 attempts": func(l *ledger) []string {
			l.answer("x", got{503, now, "1"})
			for range 6 {
				l.attempt("x", &attempted{"a", now, false, yes})
			}
			return nil
		},
		"nobody has asked": func(l *ledger) []string {
			l.answer("x", got{200, now, ""})
			l.attempt("y", &attempted{"a", now, true, yes})
			return nil
		},
	} {
		l := newLedger()
		l.ask("x", "once", now.Add(time.Second))
		faults := strings.Join(append(play(l), l.broken(250*time.Millisecond, 5)...), "; ")
		if want == "" && faults != "" || !strings.Contains(faults, want) {
			t.Errorf("want %q, found %q", want, faults)
		}
	}
}

// standIn is a server on raw sockets, that writes down each whole request and then does what it is told.
type standIn struct {
	target
	t      *testing.T
	l      *ledger
	listen net.Listener
	play   act
}

// act is what a server does with a request that has come whole. It calls over before the last byte that it sends or
// the close that ends the attempt, and tells whether the connection may bring another.
type act func(c *net.TCPConn, over func()) (keep bool)

func newStandIn(t *testing.T, l *ledger, uid string, play act) *standIn {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{t: t, l: l, listen: listen, play: play, target: target{UID: uid, Address: listen.Addr().String(),
		Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}}
	var all sync.WaitGroup
	var conns []net.Conn // all of them, under the ledger's mutex
	t.Cleanup(func() {
		listen.Close()
		l.mu.Lock()
		for _, c := range conns {
			c.Close() // what the sidecar's pool still keeps
		}
		l.mu.Unlock()
		all.Wait()
	})
	all.Go(func() {
		for {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns++
			conns = append(conns, c)
			l.mu.Unlock()
			all.Go(func() { s.serve(c.(*net.TCPConn)) })
		}
	})
	return s
}

func (s *standIn) serve(c *net.TCPConn) {
	defer c.Close()
	if s.play == nil { // it breaks each connection off before it reads anything
		c.SetLinger(0)
		return
	}
	c.SetDeadline(time.Now().Add(patience))
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	r := bufio.NewReader(c)
	for {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, in.Body); err != nil {
			return
		}
		var mu sync.Mutex
		over := false
		a := &attempted{server: s.UID, at: time.Now(), over: func() bool {
			mu.Lock()
			defer mu.Unlock()
			if over {
				return true
			}
			n, fault := peekByte(raw) // who gives an attempt up closes its connection first
			return n == 0 || fault != nil && fault != syscall.EAGAIN && fault != syscall.EINTR
		}}
		a.ran = !strings.HasPrefix(in.Header.Get("X-Test"), "never")
		for _, fault := range s.l.attempt(in.Header.Get("X-Txn"), a) {
			s.t.Error(fault)
		}
		if !s.play(c, func() {
			mu.Lock()
			defer mu.Unlock()
			over = true
		}) {
			return
		}
	}
}

// says ends an attempt with a text, and the connection with it unless it is kept.
func says(text string, keep bool) act {
	return func(c *net.TCPConn, over func()) bool {
		over()
		io.WriteString(c, text)
		return keep
	}
}

// awaitsGoing says nothing until the sidecar gives up.
func awaitsGoing(c *net.TCPConn, over func()) bool {
	c.Read(make([]byte, 1))
	over()
	return false
}

func breaks(c *net.TCPConn, over func()) bool {
	over()
	c.SetLinger(0)
	return false
}

const (
	goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	turnedAway = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
)

// question sends a request on a connection of its own, and writes down all that comes back until that is over.
func (rg *rig) question(l *ledger, class string, left time.Duration, marks ...string) {
	id := fmt.Sprintf("q%d", rg.txn.Add(1))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Error(err)
		return
	}
	defer c.Close()
	method, more := "POST", "Content-Length: 4\r\n"
	switch class {
	case "read":
		method, more = "GET", ""
	case "book":
		more += "Idempotency-Key: " + id + "\r\n"
	}
	for _, m := range marks {
		more += m + "\r\n"
	}
	l.ask(id, class, time.Now().Add(left))
	fmt.Fprintf(c, "%s /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %dm\r\nConnection: close\r\n%s\r\n",
		method, id, class, left.Milliseconds(), more)
	if method == "POST" {
		io.WriteString(c, "trip")
	}
	c.SetDeadline(time.Now().Add(left + patience))
	r := bufio.NewReader(c)
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return
		}
		l.answer(id, got{res.StatusCode, time.Now(), res.Header.Get("Retry-After")})
	}
}

// settles waits until nothing is left over: no call, attempt, connection, byte of memory or goroutine.
func (rg *rig) settles(memory int64, goroutines int, servers ...*standIn) {
	rg.t.Helper()
	l := endpointListOf(rg.stats().Revision+1, "Gone", servers...)
	rg.lists <- l
	http.DefaultClient.CloseIdleConnections()
	var s core.Stats
	rg.until("nothing is left", func() bool {
		s = rg.stats()
		cs := &rg.server.clients
		cs.mu.Lock()
		defer cs.mu.Unlock()
		return s.Calls+s.Attempts+s.Conns+s.IdleConns+cs.open == 0 && rg.server.memory.Bodies.Available() == memory &&
			runtime.NumGoroutine() <= goroutines
	})
}

// endpointListOf is a line of a watch that names servers in a state.
func endpointListOf(rev uint64, state string, servers ...*standIn) string {
	l := endpointList{Rev: rev}
	for _, s := range servers {
		x := s.target
		x.State = state
		l.Targets = append(l.Targets, x)
	}
	line, _ := json.Marshal(l)
	return string(line)
}

// With every server failing in the same way, each request gets its one answer in time, nothing is sent twice that must
// not be, what comes to servers stays within the bounds that review-of-parts.md states, and nothing is left over.
func TestEveryServerFails(t *testing.T) {
	const (
		requests = 36
		abreast  = 12
		sendCap  = 5  // of settingsText
		reserve  = 10 // repeats that may be saved up, of what may have run
		dials    = 4  // for an attempt: two, and two more to see what broke
	)
	for name, f := range map[string]struct {
		play  act
		never bool // what comes has not run
		deaf  bool // connections are broken off before they bring anything
	}{
		"serving":       {says(goodAnswer, true), false, false},
		"failing":       {says("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true), false, false},
		"full":          {says(turnedAway, true), true, false},
		"full, closing": {says(strings.Replace(turnedAway, "X-", "Connection: close\r\nX-", 1), false), true, false},
		"resetting":     {breaks, false, false},
		"ending":        {says("", false), false, false},
		"spoilt":        {says("who is there\r\n\r\n", false), false, false},
		"cut":           {says("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false), false, false},
		"silent":        {awaitsGoing, false, false},
		"deaf":          {nil, true, true},
		"refusing":      {nil, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			var servers []*standIn
			var targets []target
			for i := range 3 {
				s := newStandIn(t, l, fmt.Sprint("s-", 1+i), f.play)
				servers, targets = append(servers, s), append(targets, s.target)
				if f.play == nil && !f.deaf {
					s.listen.Close()
				}
			}
			rg := start(t, 1024, targets...)
			http.DefaultClient.CloseIdleConnections()
			rg.until("it is quiet", func() bool { return rg.server.clients.emptyFor(0) })
			memory, goroutines := rg.server.memory.Bodies.Available(), runtime.NumGoroutine()
			var marks []string
			if f.never {
				marks = append(marks, "X-Test: never")
			}
			var all sync.WaitGroup
			for i := range abreast {
				all.Go(func() {
					for range requests / abreast {
						rg.question(l, []string{"read", "book", "once"}[i%3], 700*time.Millisecond, marks...)
					}
				})
			}
			all.Wait()
			rg.settles(memory, goroutines, servers...)
			for _, fault := range l.broken(250*time.Millisecond, sendCap) {
				t.Error(fault)
			}
			most := requests + reserve
			if f.never {
				most = requests * sendCap
			} else if name == "serving" {
				most = requests
			}
			if l.whole > most || l.conns > dials*sendCap*requests || f.deaf && l.conns == 0 {
				t.Errorf("%d whole requests, %d connections, want at most %d and %d", l.whole, l.conns, most, dials*sendCap*requests)
			}
			for id, all := range l.answers {
				if served := all[0].status == 200; served != (name == "serving") {
					t.Errorf("%s: status %d", id, all[0].status)
				}
			}
			t.Logf("%d requests: %d whole at servers, %d connections, %d refused", requests, l.whole, l.conns, l.refusals)
		})
	}
}

// Whatever discovery says of a server while a request of each stage is there: what runs ends well, what is new goes only
// where it may, and nothing is left over.
func TestListsInEachStage(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBody)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	for stage, body := range map[string]int{"awaited": 4, "coming": 4, "written": len(long)} {
		for name, steps := range map[string][]string{
			"drains":             {"Terminating"},
			"drains twice":       {"Terminating", "Terminating"},
			"gone":               {"Gone"},
			"drains, gone":       {"Terminating", "Gone"},
			"gone, drains":       {"Gone", "Terminating"},
			"drains and back":    {"Terminating", "Ready"},
			"gone and back":      {"Gone", "Ready"},
			"gone, late ready":   {"Gone", "late Ready"},
			"drains, late ready": {"Terminating", "late Ready"},
			"restarts":           {"restarted"},
			"drains, restarts":   {"Terminating", "restarted"},
			"a line of no use":   {"Sleeping"},
		} {
			t.Run(stage+", "+name, func(t *testing.T) {
				l := newLedger()
				came, goOn := make(chan bool, 1), make(chan bool)
				var later atomic.Bool
				first := newStandIn(t, l, "s-1", func(c *net.TCPConn, over func()) bool {
					if later.Swap(true) {
						return says(goodAnswer, true)(c, over)
					}
					came <- true
					switch stage {
					case "coming":
						io.WriteString(c, head+long[:maxBufferedBody+maxBufferedBody/2])
						<-goOn
						over()
						io.WriteString(c, long[maxBufferedBody+maxBufferedBody/2:])
					case "awaited":
						<-goOn
						return says(goodAnswer, true)(c, over)
					default:
						return says(goodAnswer, true)(c, over)
					}
					return true
				})
				second := newStandIn(t, l, "s-2", says(goodAnswer, true))
				rg := start(t, 1024, first.target)
				http.DefaultClient.CloseIdleConnections()
				rg.until("it is quiet", func() bool { return rg.server.clients.emptyFor(0) })
				memory, goroutines := rg.server.memory.Bodies.Available(), runtime.NumGoroutine()
				ended := make(chan error, 1)
				go func() { ended <- rg.stage(l, stage == "written", long[:body], goOn) }()
				if stage == "written" {
					rg.until("it goes out", func() bool { return rg.stats().Attempts == 1 && l.accepted() == 1 })
				} else {
					<-came
				}
				if stage == "coming" {
					rg.until("it comes", func() bool {
						cs := &rg.server.clients
						cs.mu.Lock()
						defer cs.mu.Unlock()
						return cs.byState[stateStreaming].Len() == 1
					})
				}
				rev, closed := uint64(2), false
				rg.lists <- endpointListOf(rev, "Ready", second)
				for _, step := range steps {
					x, how := *first, step
					rev++
					switch step {
					case "late Ready":
						rev--
						rg.lists <- endpointListOf(2, "Ready", &x)
						continue
					case "restarted":
						x.BootMS, how = time.Now().UnixMilli(), "Ready"
					}
					rg.lists <- endpointListOf(rev, how, &x)
					if closed = how == "Terminating" || how == "Gone"; closed {
						l.mu.Lock()
						if _, ok := l.drained[first.UID]; !ok {
							l.drained[first.UID] = time.Now()
						}
						l.mu.Unlock()
					} else if how == "Ready" {
						l.mu.Lock()
						delete(l.drained, first.UID)
						l.mu.Unlock()
					}
				}
				rev++
				rg.lists <- endpointListOf(rev, "Ready") // what is behind it has been heard, whatever came of it
				rg.until("it is taken in", func() bool { return rg.stats().Revision == rev })
				before := l.at(first.UID)
				var all sync.WaitGroup
				for range 8 {
					all.Go(func() { rg.question(l, "once", 5*time.Second) })
				}
				all.Wait()
				if n := l.at(first.UID) - before; closed && n > 0 {
					t.Errorf("%d new requests went to it", n)
				}
				close(goOn)
				if err := <-ended; err != nil {
					t.Errorf("what ran: %v", err)
				}
				rg.settles(memory, goroutines, first, second)
				for _, fault := range l.broken(250*time.Millisecond, 5) {
					t.Error(fault)
				}
			})
		}
	}
}

func (l *ledger) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// at is how many requests came to a server whole.
func (l *ledger) at(server string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, all := range l.attempts {
		for _, a := range all {
			if a.server == server {
				n++
			}
		}
	}
	return n
}

// stage brings a request whose body, if it is written in two pieces, waits in the middle, and reads its answer.
func (rg *rig) stage(l *ledger, inPieces bool, body string, goOn <-chan bool) error {
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	l.ask("running", "once", time.Now().Add(patience))
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: running\r\nX-Lane: once\r\nX-Remaining: 9000m\r\n"+
		"Connection: close\r\nContent-Length: %d\r\n\r\n", len(body))
	if inPieces {
		io.WriteString(c, body[:len(body)*3/4])
		<-goOn
		body = body[len(body)*3/4:]
	}
	io.WriteString(c, body)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, res.Body)
	l.answer("running", got{res.StatusCode, time.Now(), res.Header.Get("Retry-After")})
	if err != nil || res.StatusCode != http.StatusOK || n != res.ContentLength {
		return fmt.Errorf("status %d, %d bytes of %d, %v", res.StatusCode, n, res.ContentLength, err)
	}
	return nil
}

// The process drains, stops or reads its file again while requests are out at servers that then all fail in one way:
// what has been taken gets its one answer in time all the same, and nothing is left of it.
func TestFaultsInEachPhase(t *testing.T) {
	for fault, play := range map[string]act{
		"serving":   says(goodAnswer, true),
		"failing":   says("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true),
		"full":      says(turnedAway, true),
		"resetting": breaks,
		"spoilt":    says("who is there\r\n\r\n", false),
		"cut":       says("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false),
		"silent":    awaitsGoing,
	} {
		for phase, begin := range map[string]func(rg *rig){
			"drain": func(rg *rig) {
				rg.server.Drain()
				rg.until("it drains", func() bool { return !rg.server.lifecycle.IsReady() })
			},
			"stop": func(rg *rig) {
				rg.signals <- syscall.SIGTERM
				rg.until("it stops", func() bool { return !rg.server.CanServe() })
			},
			"reload": func(rg *rig) {
				rg.reloads <- syscall.SIGHUP
				rg.until("it follows", func() bool { return rg.stats().AwaitingFullList })
			},
			"servers drain": func(rg *rig) {
				rg.lists <- `{"rev":9,"all":true,"targets":[]}`
				rg.until("they drain", func() bool { return rg.stats().Revision == 9 })
			},
		} {
			t.Run(fault+", "+phase, func(t *testing.T) {
				t.Parallel()
				const (
					requests = 6
					wait     = 2 * time.Second
				)
				l, gate := newLedger(), make(chan bool)
				var targets []target
				for i := range 2 {
					s := newStandIn(t, l, fmt.Sprint("s-", 1+i), func(c *net.TCPConn, over func()) bool {
						<-gate
						return play(c, over)
					})
					targets = append(targets, s.target)
				}
				rg := start(t, 1024, targets...)
				memory := rg.server.memory.Bodies.Available()
				var marks []string
				if fault == "full" {
					marks = append(marks, "X-Test: never")
				}
				var all sync.WaitGroup
				for i := range requests {
					all.Go(func() { rg.question(l, []string{"read", "book", "once"}[i%3], wait, marks...) })
				}
				rg.until("they are out", func() bool { return l.came() == requests })
				begin(rg)
				close(gate)
				all.Wait()
				rg.until("nothing is left", func() bool {
					http.DefaultClient.CloseIdleConnections() // of start, which asks whether it is ready
					s := rg.stats()
					return s.Calls+s.Attempts == 0 && s.Conns == s.IdleConns && rg.server.clients.emptyFor(0) &&
						rg.server.memory.Bodies.Available() == memory
				})
				for _, fault := range l.broken(250*time.Millisecond, 5) {
					t.Error(fault)
				}
				for id, all := range l.answers {
					if served := all[0].status == http.StatusOK; served != (fault == "serving") {
						t.Errorf("%s: status %d", id, all[0].status)
					}
					if left := l.asked[id].until.Sub(all[0].at); fault != "silent" && left < wait/4 {
						t.Errorf("%s: kept until %v before its time was up", id, left)
					}
				}
			})
		}
	}
}

// came is how many requests have come to servers whole.
func (l *ledger) came() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole
}
