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
	// maxDelayedPackets limits the packets that wait for their delay; further ones are dropped, as by
	// a full queue.
	maxDelayedPackets = 16384
	// maxStreams limits the streams relayed at a time.
	maxStreams = 1024
	// dialTimeout limits the relay's connection to the far end of a stream.
	dialTimeout = 2 * time.Second
)

// Delay is how long a packet or the start of a stream waits: Fixed, up to Jitter more, and in a share Tail of
// them TailBy more.
type Delay struct {
	Fixed, Jitter, TailBy time.Duration
	Tail                  float64
}

// faultState holds the active faults.
type faultState struct {
	// Links that are down, by sender and receiver.
	down  map[[2]string]bool
	loss  float64
	delay Delay
	// The set of each address during a cut; 0 for none.
	partition map[string]int
}

// Counts are the relay's counters.
type Counts struct {
	Passed, Dropped, Delayed, Streams, Refused, Bad atomic.Uint64
}

// Relay forwards gossip between members, with faults. Addresses are the members' gossip addresses.
type Relay struct {
	udp        *net.UDPConn
	tcp        net.Listener
	mu         sync.Mutex
	faults     faultState
	random     *rand.Rand
	delayed    atomic.Int64
	streams    atomic.Int64
	counts     Counts
	goroutines sync.WaitGroup
	closed     atomic.Bool
	// Closed with the relay.
	done chan struct{}
}

// New starts a relay on a loopback port of its own, for UDP and TCP alike.
func New(seed uint64) (*Relay, error) {
	tcp, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	address := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: address.IP, Port: address.Port})
	if err != nil {
		tcp.Close()
		return nil, err
	}
	r := &Relay{
		udp: udp, tcp: tcp, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		faults: faultState{down: map[[2]string]bool{}, partition: map[string]int{}}, done: make(chan struct{}),
	}
	r.goroutines.Add(2)
	go r.relayPackets()
	go r.acceptStreams()
	return r, nil
}

// Addr is the address members send to: `relay` in their [fleet].
func (r *Relay) Addr() string { return r.tcp.Addr().String() }

// Counts returns the relay's counters.
func (r *Relay) Counts() *Counts { return &r.counts }

// Close ends the relay and the streams it relays.
func (r *Relay) Close() error {
	if r.closed.Swap(true) {
		return nil
	}
	close(r.done)
	err := r.udp.Close()
	r.tcp.Close()
	r.goroutines.Wait()
	return err
}

// Down drops the link from one member to another, and back too if both is set.
func (r *Relay) Down(from, to string, both bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.down[[2]string{from, to}] = true
	if both {
		r.faults.down[[2]string{to, from}] = true
	}
}

// Loss drops a share of all packets, and of new streams.
func (r *Relay) Loss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.loss = share
}

// Slow delays all packets and the start of all streams.
func (r *Relay) Slow(d Delay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.delay = d
}

// Cut partitions the fleet into sets, between which nothing passes. Members of no set reach all.
func (r *Relay) Cut(sets ...[]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.faults.partition)
	for i, set := range sets {
		for _, addr := range set {
			r.faults.partition[addr] = i + 1
		}
	}
}

// Heal ends all faults.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faultState{down: map[[2]string]bool{}, partition: map[string]int{}}
}

// decide draws whether what one member sends to another passes, and after how long.
func (r *Relay) decide(from, to string) (pass bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, b := r.faults.partition[from], r.faults.partition[to]
	if r.faults.down[[2]string{from, to}] || a != 0 && b != 0 && a != b || r.random.Float64() < r.faults.loss {
		return false, 0
	}
	d := r.faults.delay
	wait = d.Fixed
	if d.Jitter > 0 {
		wait += time.Duration(r.random.Int64N(int64(d.Jitter)))
	}
	if d.Tail > 0 && r.random.Float64() < d.Tail {
		wait += d.TailBy
	}
	return true, wait
}

// relayPackets relays datagrams. From a member they begin with the receiver, to a member with the
// sender.
func (r *Relay) relayPackets() {
	defer r.goroutines.Done()
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
		pass, wait := r.decide(from, to)
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
		if r.delayed.Add(1) > maxDelayedPackets {
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

// acceptStreams accepts streams, each of which begins with its receiver and its sender.
func (r *Relay) acceptStreams() {
	defer r.goroutines.Done()
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			if r.closed.Load() {
				return
			}
			continue
		}
		if r.streams.Add(1) > maxStreams {
			r.streams.Add(-1)
			r.counts.Refused.Add(1)
			c.Close()
			continue
		}
		r.goroutines.Add(1)
		go func() {
			defer r.goroutines.Done()
			defer r.streams.Add(-1)
			r.relayStream(c)
		}()
	}
}

// relayStream relays one stream, if the link is up both ways: a stream carries a call and its
// answer.
func (r *Relay) relayStream(c net.Conn) {
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
	pass, wait := r.decide(from, to)
	back, _ := r.decide(to, from)
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

// sleep waits, and reports whether the relay is still running.
func (r *Relay) sleep(d time.Duration) bool {
	if d > 0 {
		select {
		case <-time.After(d):
		case <-r.done:
		}
	}
	return !r.closed.Load()
}
