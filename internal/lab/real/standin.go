package real

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dykering/internal/core"
	"dykering/internal/lab/loopback"
)

const (
	// heartbeatInterval is how often a watch sends an empty line while nothing changes.
	heartbeatInterval = time.Second
	// maxChanges is the number of retained changes. A watch that has missed more receives the full
	// list.
	maxChanges = 1024
)

// Server is a stand-in server. Each of its cores works on one call at a time, for the service time.
// Further calls wait for a core.
type Server struct {
	UID         string
	serviceTime time.Duration
	cores       chan struct{}
	// The number of calls that a core has started to work on.
	Executions atomic.Int64

	mu      sync.Mutex
	address string
	http    *http.Server
	// While the server is paused, a channel that is closed when it answers again; else nil.
	paused chan struct{}
}

// StartServer starts a stand-in server on loopback.
func StartServer(uid string, cores int, serviceTime time.Duration) (*Server, error) {
	s := &Server{UID: uid, serviceTime: serviceTime, cores: make(chan struct{}, cores), address: loopback.Address()}
	return s, s.Start()
}

// Address returns the address at which the server listens or has last listened.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start makes the server listen at its address.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := loopback.Relisten(s.address)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.UID, err)
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go s.http.Serve(l) // ends with Kill
	return nil
}

// Kill stops the server like a crash: open calls are reset.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
}

// Pause holds back all answers, or with false releases them.
func (s *Server) Pause(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
	if on {
		s.paused = make(chan struct{})
	}
}

// ServeHTTP works on a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server also works on a call with an incomplete body
	select {
	case s.cores <- struct{}{}:
		defer func() { <-s.cores }()
	case <-r.Context().Done():
		return // the caller has departed
	}
	s.Executions.Add(1)
	select {
	case <-time.After(s.serviceTime):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-r.Context().Done():
			return
		}
	}
	io.WriteString(w, "done by "+s.UID+"\n")
}

// Discovery is a stand-in for the platform's discovery service.
type Discovery struct {
	Address string
	http    *http.Server

	mu      sync.Mutex
	version uint64
	targets map[string]core.Target
	// Closed with the next change of the version.
	changed chan struct{}
	// The changes of the latest versions, at most maxChanges.
	changes []core.Target
	// Closed when BreakWatches ends the current watches.
	watchesEnd chan struct{}
	// While the discovery is paused, a channel that is closed when it answers again; else nil.
	paused chan struct{}
	// The list that Repeat sent last.
	outOfOrder core.List
	// Closed by the next Repeat.
	outOfOrderSent chan struct{}
}

// StartDiscovery starts a discovery on loopback that announces the servers as ready.
func StartDiscovery(servers []*Server) (*Discovery, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return serveDiscovery(l, servers), nil
}

// serveDiscovery starts a discovery on a listener.
func serveDiscovery(l net.Listener, servers []*Server) *Discovery {
	d := &Discovery{
		Address: l.Addr().String(), targets: map[string]core.Target{}, changed: make(chan struct{}),
		watchesEnd: make(chan struct{}), outOfOrderSent: make(chan struct{}),
	}
	for _, s := range servers {
		d.Announce(s, "Ready", 0)
	}
	d.http = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second, ErrorLog: discardLog}
	go d.http.Serve(l) // ends with Close
	return d
}

// Close stops the discovery.
func (d *Discovery) Close() { d.http.Close() }

// Announce announces a server in the state Ready, Terminating or Gone. The argument booted is the
// server's start in Unix milliseconds; 0 stands for an old start.
func (d *Discovery) Announce(s *Server, state string, booted int64) {
	d.AnnounceTarget(core.Target{
		UID: s.UID, Address: s.Address(), Zone: "hall", Model: "stand-in", State: state, Weight: 1,
		BootMS: booted,
	})
}

// AnnounceTarget announces a new or changed entry of the list. The state Gone removes the entry.
func (d *Discovery) AnnounceTarget(t core.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets[t.UID] = t; t.State == "Gone" {
		delete(d.targets, t.UID)
	}
	d.version++
	if len(d.changes) == maxChanges {
		d.changes = d.changes[:copy(d.changes, d.changes[1:])]
	}
	d.changes = append(d.changes, t)
	close(d.changed)
	d.changed = make(chan struct{})
}

// BreakWatches breaks all watches and holds back all answers until Resume.
func (d *Discovery) BreakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesEnd)
	d.watchesEnd = make(chan struct{})
	if d.paused == nil {
		d.paused = make(chan struct{})
	}
}

// Resume answers requests again.
func (d *Discovery) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused != nil {
		close(d.paused)
		d.paused = nil
	}
}

// Repeat sends the full list once more on all watches. If stale, the list has the previous version and
// lacks the entry of the last change.
func (d *Discovery) Repeat(stale bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outOfOrder = core.List{Rev: d.version, Full: true}
	if stale && d.version > 1 {
		d.outOfOrder.Rev--
	}
	for _, t := range d.targets {
		if !stale || len(d.changes) == 0 || t.UID != d.changes[len(d.changes)-1].UID {
			d.outOfOrder.Targets = append(d.outOfOrder.Targets, t)
		}
	}
	close(d.outOfOrderSent)
	d.outOfOrderSent = make(chan struct{})
}

// lastOutOfOrder returns the list that Repeat sent last, and a channel that the next Repeat closes.
func (d *Discovery) lastOutOfOrder() (core.List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outOfOrder, d.outOfOrderSent
}

// copyTo announces all entries through another discovery.
func (d *Discovery) copyTo(other *Discovery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		other.AnnounceTarget(t)
	}
}

// waitWhilePaused waits until the discovery is not paused or the client departs. It returns the channel
// whose close ends a watch.
func (d *Discovery) waitWhilePaused(departed <-chan struct{}) (broken <-chan struct{}) {
	d.mu.Lock()
	broken, paused := d.watchesEnd, d.paused
	d.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-departed:
		}
	}
	return broken
}

// list returns the changes since a version if they are retained, and else the full list. The channel is
// closed with the next change.
func (d *Discovery) list(since *uint64) (l core.List, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := d.version - uint64(len(d.changes)) // the version before the first retained change
	l = core.List{Rev: d.version, Full: since == nil || *since > d.version || *since < oldest}
	if !l.Full {
		l.Targets = append(l.Targets, d.changes[*since-oldest:]...)
		return l, d.changed
	}
	for _, t := range d.targets {
		l.Targets = append(l.Targets, t)
	}
	return l, d.changed
}

// ServeHTTP answers GET /v1/endpoints, once or as a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var since *uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var n uint64
		if _, err := fmt.Sscan(text, &n); err != nil {
			http.Error(w, fmt.Sprintf("since=%q is not a version", text), http.StatusBadRequest)
			return
		}
		since = &n
	}
	watchesEnd := d.waitWhilePaused(r.Context().Done())
	out := json.NewEncoder(w)
	_, outOfOrder := d.lastOutOfOrder()
	l, changed := d.list(since)
	if r.URL.Query().Get("follow") != "1" {
		_ = out.Encode(l) // the client may have departed
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		if first && since == nil || len(l.Targets) > 0 {
			if out.Encode(l) != nil {
				return
			}
		} else if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		rev := l.Rev
		select {
		case <-changed:
			l, changed = d.list(&rev)
		case <-heartbeat.C:
			l.Targets = nil
		case <-outOfOrder:
			var list core.List
			if list, outOfOrder = d.lastOutOfOrder(); out.Encode(list) != nil {
				return
			}
			l.Targets = nil
		case <-watchesEnd:
			panic(http.ErrAbortHandler) // breaks the connection within the answer
		case <-r.Context().Done():
			return
		}
	}
}
