package gossip

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Traffic counts what the gossip sends and receives, in bytes and packets or streams.
type Traffic struct {
	PacketsIn, PacketsOut, BytesIn, BytesOut, StreamsIn, StreamsOut, Bad atomic.Uint64
}

// counted is a transport that is counted and listened to.
type counted struct {
	memberlist.NodeAwareTransport
	traffic *Traffic
	heard   func(packet []byte, out bool) // each packet, before it goes on; it does not block
	packets chan *memberlist.Packet
	once    sync.Once
	done    chan struct{}
}

// count wraps a transport. Its packets pass through one goroutine of its own, which ends with the transport.
func count(t memberlist.NodeAwareTransport, traffic *Traffic, heard func([]byte, bool)) *counted {
	c := &counted{NodeAwareTransport: t, traffic: traffic, heard: heard, packets: make(chan *memberlist.Packet), done: make(chan struct{})}
	go func() {
		for {
			select {
			case p := <-t.PacketCh():
				traffic.PacketsIn.Add(1)
				traffic.BytesIn.Add(uint64(len(p.Buf)))
				heard(p.Buf, false)
				select {
				case c.packets <- p:
				case <-c.done:
					return
				}
			case <-c.done:
				return
			}
		}
	}()
	return c
}

func (c *counted) PacketCh() <-chan *memberlist.Packet { return c.packets }

func (c *counted) WriteTo(b []byte, addr string) (time.Time, error) {
	return c.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (c *counted) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	c.traffic.PacketsOut.Add(1)
	c.traffic.BytesOut.Add(uint64(len(b)))
	c.heard(b, true)
	return c.NodeAwareTransport.WriteToAddress(b, addr)
}

func (c *counted) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return c.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (c *counted) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c.traffic.StreamsOut.Add(1)
	return c.NodeAwareTransport.DialAddressTimeout(addr, timeout)
}

// Shutdown ends the transport before what reads from it: its own shutdown waits for packets that it is about to hand
// over. What comes meanwhile goes nowhere, also where memberlist never began to read.
func (c *counted) Shutdown() (err error) {
	c.once.Do(func() {
		go func() {
			for {
				select {
				case <-c.packets:
				case <-c.done:
					return
				}
			}
		}()
		err = c.NodeAwareTransport.Shutdown()
		close(c.done)
	})
	return err
}

// relayed sends all gossip through a fault relay (package faultnet), which forwards it or not. Each packet and
// stream to the relay begins with the address it is for; each from the relay with the address it is from, so that
// memberlist sees its peers' own addresses. Only the laboratory and the tests use it.
type relayed struct {
	relay   *net.UDPAddr
	stream  string // the relay's TCP address
	udp     *net.UDPConn
	tcp     *net.TCPListener
	self    *net.UDPAddr
	packets chan *memberlist.Packet
	streams chan net.Conn
	traffic *Traffic
	wg      sync.WaitGroup
	closed  atomic.Bool
}

// maxAddr is the longest address in a header: an IPv4 host and port.
const maxAddr = len("255.255.255.255:65535")

// headerTimeout bounds the wait for the header of a stream that has come.
const headerTimeout = 2 * time.Second

// Header puts an address before a payload, as the relay and relayed transports read it.
func Header(addr string, payload []byte) []byte {
	return append(append([]byte{byte(len(addr))}, addr...), payload...)
}

// SplitHeader reads the address before a payload.
func SplitHeader(b []byte) (addr string, payload []byte, err error) {
	if len(b) == 0 || int(b[0]) > maxAddr || len(b) < 1+int(b[0]) {
		return "", nil, errors.New("no address before the payload")
	}
	return string(b[1 : 1+b[0]]), b[1+b[0]:], nil
}

// ReadHeader reads the address at the beginning of a stream.
func ReadHeader(r io.Reader) (string, error) {
	var n [1]byte
	if _, err := io.ReadFull(r, n[:]); err != nil {
		return "", err
	}
	if int(n[0]) > maxAddr {
		return "", errors.New("no address at the beginning of the stream")
	}
	addr := make([]byte, n[0])
	_, err := io.ReadFull(r, addr)
	return string(addr), err
}

// newRelayed binds UDP and TCP at bind, and sends through the relay at relay.
func newRelayed(bind, relay string, traffic *Traffic) (*relayed, error) {
	self, err := net.ResolveUDPAddr("udp4", bind)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp4", relay)
	if err != nil {
		return nil, fmt.Errorf("gossip: relay: %w", err)
	}
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: self.IP, Port: self.Port})
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	self.Port = tcp.Addr().(*net.TCPAddr).Port // the same port for both, where bind asks for any
	udp, err := net.ListenUDP("udp4", self)
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	t := &relayed{relay: to, stream: relay, udp: udp, tcp: tcp, self: self, traffic: traffic,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn)}
	t.wg.Add(2)
	go t.readPackets()
	go t.acceptStreams()
	return t, nil
}

func (t *relayed) readPackets() {
	defer t.wg.Done()
	buf := make([]byte, 65536)
	for {
		n, _, err := t.udp.ReadFromUDP(buf)
		if err != nil {
			if t.closed.Load() {
				return
			}
			continue
		}
		from, payload, err := SplitHeader(buf[:n])
		addr, bad := net.ResolveUDPAddr("udp4", from)
		if err != nil || bad != nil {
			t.traffic.Bad.Add(1)
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), payload...), From: addr, Timestamp: time.Now()}
		if t.closed.Load() {
			return
		}
		t.packets <- p // memberlist reads until it shuts the transport down, after which nothing is read here
	}
}

func (t *relayed) acceptStreams() {
	defer t.wg.Done()
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			if t.closed.Load() {
				return
			}
			continue
		}
		c.SetReadDeadline(time.Now().Add(headerTimeout))
		r := bufio.NewReader(c)
		if _, err := ReadHeader(r); err != nil {
			t.traffic.Bad.Add(1)
			c.Close()
			continue
		}
		c.SetReadDeadline(time.Time{})
		t.traffic.StreamsIn.Add(1)
		t.streams <- &buffered{Conn: c, r: r}
	}
}

// buffered is a connection whose first bytes were read ahead.
type buffered struct {
	net.Conn
	r *bufio.Reader
}

func (b *buffered) Read(p []byte) (int, error) { return b.r.Read(p) }

func (t *relayed) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.self.IP, t.self.Port, nil
}

func (t *relayed) WriteTo(b []byte, addr string) (time.Time, error) {
	_, err := t.udp.WriteToUDP(Header(addr, b), t.relay)
	return time.Now(), err
}

func (t *relayed) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

func (t *relayed) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *relayed) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp4", t.stream, timeout)
	if err != nil {
		return nil, err
	}
	// To the relay: whom it is from and whom it is for.
	c.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := c.Write(Header(addr, []byte(Header(t.self.String(), nil)))); err != nil {
		c.Close()
		return nil, err
	}
	c.SetWriteDeadline(time.Time{})
	return c, nil
}

func (t *relayed) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

func (t *relayed) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown ends both sockets. memberlist calls it once it reads nothing any more.
func (t *relayed) Shutdown() error {
	t.closed.Store(true)
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	go func() { // what a reader is about to hand over goes nowhere
		for {
			select {
			case <-t.packets:
			case c := <-t.streams:
				c.Close()
			case <-time.After(headerTimeout):
				return
			}
		}
	}()
	t.wg.Wait()
	return err
}
