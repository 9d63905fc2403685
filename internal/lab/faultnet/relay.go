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
	// maxDelayedPackets is the number of packets that wait for the end of their delay. Further packets
	// are dropped, as by a full queue.
	maxDelayedPackets = 16384
	// maxStreams is the number of streams that are relayed at a time.
	maxStreams = 1024
	// dialTimeout is the timeout for the header of a stream, and for the connection to its receiver.
	dialTimeout = 2 * time.Second
)

// Delay is the delay of a packet or of the start of a stream. It consists of Fixed, a random part of up to
// Jitter and, with the probability Tail, also TailBy.
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
	// The number of the set that contains an address during a partition; 0 for an address in no set.
	partition map[string]int
}

// Counts holds the relay's counters of packets and streams.
type Counts struct {
	Passed, Dropped, Delayed, Streams, Refused, Bad atomic.Uint64
}

// Relay forwards gossip between members and applies faults. It identifies members by their gossip
// addresses.
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
	// Closed by Close.
	done chan struct{}
}

// New starts a relay on an unused loopback port, for both UDP and TCP.
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

// Addr returns the address to which members send, for the setting `relay` in [fleet].
func (r *Relay) Addr() string { return r.tcp.Addr().String() }

// Counts returns the relay's counters.
func (r *Relay) Counts() *Counts { return &r.counts }

// Close stops the relay and closes its streams.
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

// Down takes down the link from one member to another, and with both also the opposite direction.
func (r *Relay) Down(from, to string, both bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.down[[2]string{from, to}] = true
	if both {
		r.faults.down[[2]string{to, from}] = true
	}
}

// Loss sets the share of all packets and of new streams that is dropped.
func (r *Relay) Loss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.loss = share
}

// Slow sets the delay of all packets and of the start of all streams.
func (r *Relay) Slow(d Delay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.delay = d
}

// Cut partitions the fleet into sets of members and passes nothing between them. Members of no set reach
// all others.
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

// decide decides whether a packet or a new stream from one member to another passes, and after which
// delay.
func (r *Relay) decide(from, to string) (pass bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fromSet, toSet := r.faults.partition[from], r.faults.partition[to]
	separated := fromSet != 0 && toSet != 0 && fromSet != toSet
	if r.faults.down[[2]string{from, to}] || separated || r.random.Float64() < r.faults.loss {
		return false, 0
	}
	d := r.faults.delay
	delay = d.Fixed
	if d.Jitter > 0 {
		delay += time.Duration(r.random.Int64N(int64(d.Jitter)))
	}
	if d.Tail > 0 && r.random.Float64() < d.Tail {
		delay += d.TailBy
	}
	return true, delay
}

// relayPackets relays datagrams. A datagram from a member has a header with the address of the receiver,
// and the relay replaces it by a header with the address of the sender.
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
		dst, resolveErr := net.ResolveUDPAddr("udp4", to)
		if err != nil || resolveErr != nil {
			r.counts.Bad.Add(1)
			continue
		}
		from := src.String()
		pass, delay := r.decide(from, to)
		if !pass {
			r.counts.Dropped.Add(1)
			continue
		}
		out := gossip.Header(from, payload)
		if delay == 0 {
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
		time.AfterFunc(delay, func() {
			defer r.delayed.Add(-1)
			if !r.closed.Load() {
				r.counts.Passed.Add(1)
				_, _ = r.udp.WriteToUDP(out, dst) // a datagram may be lost
			}
		})
	}
}

// acceptStreams accepts streams. Each begins with a header with the address of the receiver and one with
// the address of the sender.
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

// relayStream relays one stream if the links of both directions are up, since a stream carries a call and
// its answer.
func (r *Relay) relayStream(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(dialTimeout))
	in := bufio.NewReader(c)
	to, toErr := gossip.ReadHeader(in)
	from, fromErr := gossip.ReadHeader(in)
	if toErr != nil || fromErr != nil {
		r.counts.Bad.Add(1)
		return
	}
	c.SetReadDeadline(time.Time{})
	pass, delay := r.decide(from, to)
	passBack, _ := r.decide(to, from)
	if !pass || !passBack {
		r.counts.Refused.Add(1)
		return
	}
	if !r.sleep(delay) {
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
		_, _ = io.Copy(w, rd) // an error means that one side has closed its connection
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

// sleep waits for a duration or until the relay is closed, and reports whether the relay still runs.
func (r *Relay) sleep(d time.Duration) bool {
	if d > 0 {
		select {
		case <-time.After(d):
		case <-r.done:
		}
	}
	return !r.closed.Load()
}
