// Package real plays the laboratory's world on real sockets: stand-in servers and a stand-in discovery on loopback,
// that speak the platform's protocol, round a broker that is a process of its own.
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
	// heartbeat is how often a watch that has nothing to tell says so.
	heartbeat = time.Second
	// mostChanges is how many changes are kept; who has missed more gets the whole list.
	mostChanges = 1024
)

// Server is a stand-in server: so many cores that work on one call each for a time, and the rest wait.
type Server struct {
	UID   string
	took  time.Duration
	cores chan struct{}
	Ran   atomic.Int64 // calls that it has worked on

	mu      sync.Mutex
	address string
	http    *http.Server
	held    chan struct{} // nil, or closed when it answers again
}

// StartServer starts one on loopback.
func StartServer(uid string, cores int, took time.Duration) (*Server, error) {
	s := &Server{UID: uid, took: took, cores: make(chan struct{}, cores), address: loopback.Address()}
	return s, s.Start()
}

// Address is where it listens, or did.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start has it listen, at the address that it had.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := loopback.ListenAgain(s.address)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.UID, err)
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go s.http.Serve(l) // ends with Kill
	return nil
}

// Kill ends it as a crash does: what it works on is reset.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
}

// Hold has it answer nothing, until it is told to go on.
func (s *Server) Hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil {
		close(s.held)
		s.held = nil
	}
	if on {
		s.held = make(chan struct{})
	}
}

// ServeHTTP works on a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // what has come of a call that breaks off is worked on all the same
	select {
	case s.cores <- struct{}{}:
		defer func() { <-s.cores }()
	case <-r.Context().Done():
		return // nobody waits for it
	}
	s.Ran.Add(1)
	select {
	case <-time.After(s.took):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	held := s.held
	s.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-r.Context().Done():
			return
		}
	}
	io.WriteString(w, "done by "+s.UID+"\n")
}

// Discovery is a stand-in discovery.
type Discovery struct {
	Address string
	http    *http.Server

	mu      sync.Mutex
	rev     uint64
	targets map[string]core.Target
	changed chan struct{} // closed when there is a further version
	log     []core.Target // what changed with the last versions
	broken  chan struct{} // closed when the watches that there are break off
	held    chan struct{} // nil, or closed when it answers again
	odd     core.List     // what was last said out of turn
	oddly   chan struct{} // closed when there is more of that
}

// StartDiscovery starts one that knows servers.
func StartDiscovery(servers []*Server) (*Discovery, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return discoveryAt(l, servers), nil
}

// discoveryAt is one that answers at a listener.
func discoveryAt(l net.Listener, servers []*Server) *Discovery {
	d := &Discovery{
		Address: l.Addr().String(), targets: map[string]core.Target{}, changed: make(chan struct{}),
		broken: make(chan struct{}), oddly: make(chan struct{}),
	}
	for _, s := range servers {
		d.Tell(s, "Ready", 0)
	}
	d.http = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second, ErrorLog: quiet}
	go d.http.Serve(l) // ends with Close
	return d
}

// Close ends it.
func (d *Discovery) Close() { d.http.Close() }

// Tell tells all that a server is Ready, Terminating or Gone; booted is its start in Unix milliseconds, 0 for long past.
func (d *Discovery) Tell(s *Server, state string, booted int64) {
	d.TellTarget(core.Target{
		UID: s.UID, Address: s.Address(), Zone: "hall", Model: "stand-in", State: state, Weight: 1,
		BootMS: booted,
	})
}

// TellTarget tells all of a line of the list.
func (d *Discovery) TellTarget(t core.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets[t.UID] = t; t.State == "Gone" {
		delete(d.targets, t.UID)
	}
	d.rev++
	if len(d.log) == mostChanges {
		d.log = d.log[:copy(d.log, d.log[1:])]
	}
	d.log = append(d.log, t)
	close(d.changed)
	d.changed = make(chan struct{})
}

// BreakOff ends all watches, and answers nobody until Resume.
func (d *Discovery) BreakOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.broken)
	d.broken = make(chan struct{})
	if d.held == nil {
		d.held = make(chan struct{})
	}
}

// Resume answers again.
func (d *Discovery) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held != nil {
		close(d.held)
		d.held = nil
	}
}

// Repeat says the whole list once more on all watches: as it is, or, where stale, with an older version and without
// what has changed last.
func (d *Discovery) Repeat(stale bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.odd = core.List{Rev: d.rev, Full: true}
	if stale && d.rev > 1 {
		d.odd.Rev--
	}
	for _, t := range d.targets {
		if !stale || len(d.log) == 0 || t.UID != d.log[len(d.log)-1].UID {
			d.odd.Targets = append(d.odd.Targets, t)
		}
	}
	close(d.oddly)
	d.oddly = make(chan struct{})
}

// outOfTurn is what was last said so, and what tells of more.
func (d *Discovery) outOfTurn() (core.List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.odd, d.oddly
}

// copyTo has another one know what this one does.
func (d *Discovery) copyTo(other *Discovery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		other.TellTarget(t)
	}
}

// mayAnswer waits until it answers, and is what ends a watch.
func (d *Discovery) mayAnswer(gone <-chan struct{}) (broken <-chan struct{}) {
	d.mu.Lock()
	broken, held := d.broken, d.held
	d.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-gone:
		}
	}
	return broken
}

// list is the whole list, or what has changed since a version.
func (d *Discovery) list(since *uint64) (l core.List, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.rev - uint64(len(d.log)) // the version that the changes that are kept follow on
	l = core.List{Rev: d.rev, Full: since == nil || *since > d.rev || *since < kept}
	if !l.Full {
		l.Targets = append(l.Targets, d.log[*since-kept:]...)
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
	broken := d.mayAnswer(r.Context().Done())
	out := json.NewEncoder(w)
	_, oddly := d.outOfTurn()
	l, changed := d.list(since)
	if r.URL.Query().Get("follow") != "1" {
		_ = out.Encode(l) // who has gone does not miss it
		return
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
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
		case <-beat.C:
			l.Targets = nil
		case <-oddly:
			var odd core.List
			if odd, oddly = d.outOfTurn(); out.Encode(odd) != nil {
				return
			}
			l.Targets = nil
		case <-broken:
			panic(http.ErrAbortHandler) // its connection ends in the middle
		case <-r.Context().Done():
			return
		}
	}
}
