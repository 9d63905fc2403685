// Package faultnet puts faults between the brokers' gossip: a relay on loopback that all of their packets and
// streams go through (package gossip, `relay` in [fleet]), and that drops links one way or both, drops a share of
// packets, delays them, and cuts the fleet into sets; and a keeper of processes that stalls, kills and starts them
// again. Tests and the laboratory drive both by a schedule.
package faultnet

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dykering/internal/fleet/gossip"
	"dykering/internal/lab/loopback"
)

const (
	// mostDelayed bounds the packets that wait for their delay; further ones are dropped, as a full queue would.
	mostDelayed = 16384
	// mostStreams bounds the streams relayed at a time.
	mostStreams = 1024
	// dialTimeout bounds the relay's connection to a stream's far end.
	dialTimeout = 2 * time.Second
)

// Delay is how long a packet or the start of a stream waits: Fixed, up to Jitter more, and in a share Tail of
// them TailBy more.
type Delay struct {
	Fixed, Jitter, TailBy time.Duration
	Tail                  float64
}

// rules are the faults in force.
type rules struct {
	down  map[[2]string]bool // from, to
	loss  float64
	delay Delay
	set   map[string]int // of each address, where the fleet is cut; 0 for none
}

// Counts are what the relay did.
type Counts struct {
	Passed, Dropped, Delayed, Streams, Refused, Bad atomic.Uint64
}

// Relay forwards gossip between members, with faults. Addresses are the members' gossip addresses.
type Relay struct {
	udp     *net.UDPConn
	tcp     net.Listener
	mu      sync.Mutex
	rules   rules
	rng     *rand.Rand
	delayed atomic.Int64
	streams atomic.Int64
	counts  Counts
	wg      sync.WaitGroup
	closed  atomic.Bool
	done    chan struct{} // closed with the relay
}

// New starts a relay on a loopback port of its own, for UDP and TCP alike.
func New(seed uint64) (*Relay, error) {
	tcp, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	place := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: place.IP, Port: place.Port})
	if err != nil {
		tcp.Close()
		return nil, err
	}
	r := &Relay{
		udp: udp, tcp: tcp, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		rules: rules{down: map[[2]string]bool{}, set: map[string]int{}}, done: make(chan struct{}),
	}
	r.wg.Add(2)
	go r.packets()
	go r.accept()
	return r, nil
}

// Addr is where members send: `relay` in their [fleet].
func (r *Relay) Addr() string { return r.tcp.Addr().String() }

// Counts are what it did.
func (r *Relay) Counts() *Counts { return &r.counts }

// Close ends the relay and what it relays.
func (r *Relay) Close() error {
	if r.closed.Swap(true) {
		return nil
	}
	close(r.done)
	err := r.udp.Close()
	r.tcp.Close()
	r.wg.Wait()
	return err
}

// Down drops the link from one member to another, and back too if both.
func (r *Relay) Down(from, to string, both bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.down[[2]string{from, to}] = true
	if both {
		r.rules.down[[2]string{to, from}] = true
	}
}

// Loss drops a share of all packets, and of new streams.
func (r *Relay) Loss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.loss = share
}

// Slow delays all packets and the start of all streams.
func (r *Relay) Slow(d Delay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.delay = d
}

// Cut divides the fleet into sets: nothing passes between two of them. Members in no set reach all.
func (r *Relay) Cut(sets ...[]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.rules.set)
	for i, set := range sets {
		for _, addr := range set {
			r.rules.set[addr] = i + 1
		}
	}
}

// Heal ends all faults.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules{down: map[[2]string]bool{}, set: map[string]int{}}
}

// fate decides what becomes of what one member sends another: whether it passes, and after how long.
func (r *Relay) fate(from, to string) (pass bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, b := r.rules.set[from], r.rules.set[to]
	if r.rules.down[[2]string{from, to}] || a != 0 && b != 0 && a != b || r.rng.Float64() < r.rules.loss {
		return false, 0
	}
	d := r.rules.delay
	wait = d.Fixed
	if d.Jitter > 0 {
		wait += time.Duration(r.rng.Int64N(int64(d.Jitter)))
	}
	if d.Tail > 0 && r.rng.Float64() < d.Tail {
		wait += d.TailBy
	}
	return true, wait
}

// packets relays datagrams: from a member, they begin with whom they are for; to a member, with whom from.
func (r *Relay) packets() {
	defer r.wg.Done()
	buf := make([]byte, 65536)
	for {
		n, src, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			if r.closed.Load() {
				return
			}
			continue
		}
		to, payload, err := gossip.SplitHeader(buf[:n])
		dst, bad := net.ResolveUDPAddr("udp4", to)
		if err != nil || bad != nil {
			r.counts.Bad.Add(1)
			continue
		}
		from := src.String()
		pass, wait := r.fate(from, to)
		if !pass {
			r.counts.Dropped.Add(1)
			continue
		}
		out := gossip.Header(from, payload)
		if wait == 0 {
			r.counts.Passed.Add(1)
			_, _ = r.udp.WriteToUDP(out, dst) // a datagram may be lost
			continue
		}
		if r.delayed.Add(1) > mostDelayed {
			r.delayed.Add(-1)
			r.counts.Dropped.Add(1)
			continue
		}
		r.counts.Delayed.Add(1)
		time.AfterFunc(wait, func() {
			defer r.delayed.Add(-1)
			if !r.closed.Load() {
				r.counts.Passed.Add(1)
				_, _ = r.udp.WriteToUDP(out, dst) // a datagram may be lost
			}
		})
	}
}

// accept relays streams: each begins with whom it is for and whom from.
func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			if r.closed.Load() {
				return
			}
			continue
		}
		if r.streams.Add(1) > mostStreams {
			r.streams.Add(-1)
			r.counts.Refused.Add(1)
			c.Close()
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer r.streams.Add(-1)
			r.stream(c)
		}()
	}
}

// stream relays one stream, if the link is up both ways: a stream carries a call and its answer.
func (r *Relay) stream(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(dialTimeout))
	in := bufio.NewReader(c)
	to, err := gossip.ReadHeader(in)
	from, err2 := gossip.ReadHeader(in)
	if err != nil || err2 != nil {
		r.counts.Bad.Add(1)
		return
	}
	c.SetReadDeadline(time.Time{})
	pass, wait := r.fate(from, to)
	back, _ := r.fate(to, from)
	if !pass || !back {
		r.counts.Refused.Add(1)
		return
	}
	if !r.sleep(wait) {
		return
	}
	far, err := net.DialTimeout("tcp4", to, dialTimeout)
	if err != nil {
		r.counts.Refused.Add(1)
		return
	}
	defer far.Close()
	if _, err := far.Write(gossip.Header(from, nil)); err != nil {
		return
	}
	r.counts.Streams.Add(1)
	done := make(chan struct{}, 2)
	pipe := func(w net.Conn, rd io.Reader) {
		_, _ = io.Copy(w, rd) // either side may break off
		w.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go pipe(far, in)
	go pipe(c, far)
	for range 2 {
		select {
		case <-done:
		case <-r.done:
			return // the deferred closes end both pipes
		}
	}
}

// sleep waits, and tells whether the relay still runs.
func (r *Relay) sleep(d time.Duration) bool {
	if d > 0 {
		select {
		case <-time.After(d):
		case <-r.done:
		}
	}
	return !r.closed.Load()
}
