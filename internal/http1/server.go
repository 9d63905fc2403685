package http1

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dykering/internal/config"
	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/discovery"
)

const (
	// readTimeout is for a head, from its first byte on, and for that to come on a new connection: who takes
	// longer is in the way of others. From the connection on the first head may take firstTimeout.
	readTimeout  = 2500 * time.Millisecond
	firstTimeout = 2900 * time.Millisecond
	idleTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second // for a piece of an answer to be taken,
	leastWrite   = time.Second      // and for a whole one at the least; else for as long as its request may take
	maxName      = 128              // bytes of an id
	maxRemaining = time.Hour
	// quietAfter is how long no new connection must have come before a sidecar that was told to stop, and that
	// no caller is connected to, ends.
	quietAfter = 500 * time.Millisecond
	// The platform kills a sidecar that was told to stop no sooner than its longest deadline, or killCap if that
	// is shorter, and killGrace later. All answers are out killMargin before that.
	killCap    = 3 * time.Second
	killGrace  = 700 * time.Millisecond
	killMargin = 200 * time.Millisecond
	// lastAnswers is how long before that each answer says that it is the last on its connection: a request
	// that is on its way when an idle one is closed has to be sent again.
	lastAnswers = 100 * time.Millisecond
	// handOver is how long before its end a sidecar that was told to stop sends its callers to the other ones.
	handOver = 700 * time.Millisecond
	stopPoll = 20 * time.Millisecond
	// acceptBy is how long a process that shares its listening socket waits for its first list before it accepts.
	acceptBy = 2 * time.Second
)

// inbound is what goes on to an endpoint unchanged.
type inbound struct {
	method string
	target string // as the client wrote it
	host   string
	header http.Header
	body   []byte // all of it, or its beginning where there is more
	more   *upload
	// deserted tells whether its caller has gone, and has the call lapse then: the word of who watches the caller may stand
	// behind others in a loop that is late. Nil where there is nobody to ask.
	deserted func() bool
}

// request is a call with what goes on of it.
type request struct {
	*core.Call
	inbound
}

func newRequest() *request {
	r := &request{}
	r.Call = core.NewCall(decision.Request{}, &r.inbound)
	return r
}

// Server takes callers' requests to the loop, and its answers back.
type Server struct {
	loop     *core.Loop
	up       *upstream
	memory   *core.Memory
	log      *zap.Logger
	config   *config.Config
	classes  map[string]int
	tenants  map[string]int
	longest  time.Duration // deadline of a class
	quiet    time.Duration // see quietAfter
	linger   time.Duration // from being told to stop until all is answered
	handOver time.Duration // see handOver
	heardFor time.Duration // see awayAfter
	handsFor time.Duration // see handedOverAfter
	acceptBy time.Duration // see there
	life     *core.Lifecycle
	network  Network
	receiver Receiver             // of the process before; nil where there is no way
	heir     atomic.Pointer[Heir] // to whom connections are passed on; nil for nobody

	reloaded atomic.Int64 // when the last reload began, in Unix nanoseconds; 0 for never

	callers callers
}

// Loop is the core that it serves with, for what tells it of other brokers.
func (s *Server) Loop() *core.Loop { return s.loop }

// New makes a server on the kernel's sockets, and the core that it serves with.
func New(c *config.Config, log *zap.Logger) (*Server, error) { return NewOn(Kernel{}, c, log) }

// NewOn makes a server on a network.
func NewOn(n Network, c *config.Config, log *zap.Logger) (*Server, error) {
	memory := core.NewMemory(c.Plan())
	told := c.Core()
	told.Log = log
	up := &upstream{network: n, memory: memory, connectTimeout: c.Settings.ConnectTimeout}
	loop, err := core.New(told, up,
		func(address string, to core.Sink) core.Discovery {
			return discovery.New(address, to, discovery.Options{ConnectTimeout: c.Settings.ConnectTimeout, Dial: n.Dial,
				MustAsk: c.Settings.MustAsk, Log: log})
		})
	if err != nil {
		return nil, err
	}
	s := &Server{network: n, loop: loop, up: up, memory: memory, log: log, config: c, classes: map[string]int{}, tenants: map[string]int{},
		quiet: quietAfter, handOver: handOver, heardFor: awayAfter, handsFor: handedOverAfter, acceptBy: acceptBy, life: loop.Lifecycle()}
	s.callers.most = c.Plan().Inbound()
	for i, class := range c.Settings.Classes {
		s.classes[class.Name] = i
		s.longest = max(s.longest, class.Deadline)
	}
	s.linger = min(s.longest, killCap) + killGrace - killMargin
	for i, tenant := range c.Settings.Tenants {
		s.tenants[tenant.Name] = i
	}
	return s, nil
}

// single are the headers that must not be repeated: of two, an endpoint may read the other one.
var single = []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining", "Idempotency-Key"}

// parse reads what the Balancer is told of a request, or names what is wrong with it.
func (s *Server) parse(r *http.Request) (req *request, status int, fault string) {
	switch {
	case r.ContentLength > maxLong:
		return nil, http.StatusRequestEntityTooLarge, "request body too large"
	case r.Header.Get("Expect") != "" && !expectsContinue(r):
		return nil, http.StatusExpectationFailed, "Expect: only 100-continue is known"
	}
	if req, fault = s.read(r); fault != "" {
		return nil, http.StatusBadRequest, fault
	}
	return req, 0, ""
}

func (s *Server) read(r *http.Request) (req *request, fault string) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, "not a path: this is no proxy for other hosts"
	}
	for _, name := range single {
		if len(r.Header[name]) > 1 {
			return nil, name + ": repeated"
		}
	}
	req = newRequest()
	req.ID = decision.RequestID(r.Header.Get("X-Txn"))
	if req.ID == "" || len(req.ID) > maxName {
		return nil, "X-Txn: missing or too long"
	}
	var ok bool
	if req.Class, ok = s.classes[r.Header.Get("X-Lane")]; !ok {
		return nil, "X-Lane: unknown class"
	}
	class := &s.config.Settings.Classes[req.Class]
	if req.Left, ok = parseRemaining(r.Header.Get("X-Remaining")); !ok {
		return nil, "X-Remaining: not a time in m or u that can be waited"
	}
	if class.Deadline > 0 {
		// No client waits longer; the Balancer would learn from it how long they do.
		req.Left = min(req.Left, class.Deadline)
	}
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[r.Header.Get("X-Org")]; !ok {
			return nil, "X-Org: unknown tenant"
		}
	}
	if class.Effect == decision.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, "Idempotency-Key: missing" // endpoints could not drop a repeat
	}
	if (class.Effect == decision.Safe) != (r.Method == http.MethodGet) || r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, r.Method + ": not the method of this class"
	}
	req.Repeat = r.Header.Get("X-Resent") == "1"
	return req, ""
}

// parseRemaining reads a number with its unit, m for milliseconds or u for microseconds.
func parseRemaining(text string) (left time.Duration, ok bool) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
	}
	if strings.Trim(digits, "0123456789.") != "" {
		return 0, false // ParseFloat takes signs, exponents and words as well
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(n >= 0 && n <= float64(maxRemaining/unit)) {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func removeHopByHop(h http.Header) {
	for _, line := range slices.Clone(h["Connection"]) {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// expectsContinue tells whether a caller waits for word before it sends its body.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// stop ends the server shortly before it would be killed, with all answered that it has taken. Until then it
// goes on serving: no front sends it new callers, but those that it has go on using their connections, and
// where it is the only sidecar, or the others are gone or just starting, whom it cuts off has nowhere to go.
// Where there are others it closes what is idle handOver before the end, so that its last callers move there.
// Where a successor accepts on the same socket, it accepts no more and sends its callers there as in a drain.
// It ends early when nobody is connected any more. It does harm where the platform kills sooner than it says.
func (s *Server) stop() {
	told := time.Now()
	end := told.Add(s.linger)
	if s.handsOver() {
		s.findHeir()
	}
	if s.handing() {
		done, told := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(told)
			s.tell(done)
		}()
		defer func() {
			close(done)
			<-told
		}()
	}
	last := end
	if s.config.Settings.Instances > 1 && !s.handsOver() {
		last = end.Add(-min(s.handOver, s.linger-s.quiet))
	}
	s.life.Stop(last, end)
	if s.handsOver() {
		s.callers.close() // its own copy: the successor has the socket
	}
	s.loop.Leave(end, s.handsOver())
	for time.Now().Before(last) && !s.quits(time.Since(told)) {
		time.Sleep(stopPoll)
	}
	s.callers.close()
	for time.Now().Before(end.Add(killMargin/2)) && !s.callers.onlyAnswers() {
		s.callers.retire(0, 0)
		time.Sleep(stopPoll)
	}
	s.callers.cutOff()
	s.callers.closeAll(mute, idle)
	for !s.callers.quietFor(0) {
		time.Sleep(stopPoll) // answers end with their peers, which must make progress, or with the successor
	}
}

// handsOver tells whether a successor accepts in this process's place when it stops.
func (s *Server) handsOver() bool { return s.config.Accept != nil }

// quits tells whether a sidecar that was told to stop some time ago has nobody left to serve.
func (s *Server) quits(ago time.Duration) bool {
	if s.handsOver() {
		return s.callers.quietFor(0)
	}
	return ago >= s.quiet && s.callers.quietFor(s.quiet)
}
