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
	// heartbeatInterval is how often a watch without changes sends an empty line.
	heartbeatInterval = time.Second
	// maxChanges is the number of changes retained; a watch that has missed more receives the full
	// list.
	maxChanges = 1024
)

// Server is a stand-in server: a number of cores that work on one call each for the service time;
// further calls wait.
type Server struct {
	UID         string
	serviceTime time.Duration
	cores       chan struct{}
	// Calls it has worked on.
	Executions atomic.Int64

	mu      sync.Mutex
	address string
	http    *http.Server
	// Nil, or closed when it answers again.
	paused chan struct{}
}

// StartServer starts a stand-in server on loopback.
func StartServer(uid string, cores int, took time.Duration) (*Server, error) {
	s := &Server{UID: uid, serviceTime: took, cores: make(chan struct{}, cores), address: loopback.Address()}
	return s, s.Start()
}

// Address is where it listens, or listened last.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start has it listen, at the address it had before.
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

// Kill ends it as a crash does: open calls are reset.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
}

// Pause stops or resumes all of its answers.
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
	_, _ = io.Copy(io.Discard, r.Body) // a call that is cut off is worked on all the same
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

// Discovery is a stand-in for the platform's discovery.
type Discovery struct {
	Address string
	http    *http.Server

	mu      sync.Mutex
	version uint64
	targets map[string]core.Target
	// Closed when there is a further version.
	changed chan struct{}
	// The changes of the last versions.
	changes []core.Target
	// Closed when the present watches break.
	watchesEnd chan struct{}
	// Nil, or closed when it answers again.
	paused chan struct{}
	// The list that was sent last out of order.
	outOfOrder core.List
	// Closed when another one is sent.
	outOfOrderSent chan struct{}
}

// StartDiscovery starts a discovery of servers.
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

// Close stops it.
func (d *Discovery) Close() { d.http.Close() }

// Announce announces a server as Ready, Terminating or Gone. Booted is its start in Unix
// milliseconds, 0 for long ago.
func (d *Discovery) Announce(s *Server, state string, booted int64) {
	d.AnnounceTarget(core.Target{
		UID: s.UID, Address: s.Address(), Zone: "hall", Model: "stand-in", State: state, Weight: 1,
		BootMS: booted,
	})
}

// AnnounceTarget announces one entry of the list.
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

// BreakWatches breaks all watches and answers no request until Resume.
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

// Repeat sends the full list once more on all watches: as it is or, if stale, with an older version
// and without the last change.
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

// lastOutOfOrder returns the list that was sent last out of order, and a channel that is closed by
// the next one.
func (d *Discovery) lastOutOfOrder() (core.List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outOfOrder, d.outOfOrderSent
}

// copyTo announces all entries at another discovery.
func (d *Discovery) copyTo(other *Discovery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		other.AnnounceTarget(t)
	}
}

// waitWhilePaused waits until requests are answered, and returns the channel that ends a watch.
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

// list is the full list, or the changes since a version.
func (d *Discovery) list(since *uint64) (l core.List, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.version - uint64(len(d.changes)) // the version before the first retained change
	l = core.List{Rev: d.version, Full: since == nil || *since > d.version || *since < kept}
	if !l.Full {
		l.Targets = append(l.Targets, d.changes[*since-kept:]...)
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
			http.Error(w, "since: not a version", http.StatusBadRequest)
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
