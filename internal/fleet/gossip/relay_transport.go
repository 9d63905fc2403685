package gossip

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// headerTimeout bounds the wait for the header of an accepted stream.
	headerTimeout = 2 * time.Second
	// maxPacketBytes is the largest payload of UDP.
	maxPacketBytes = 65536
)

// relayTransport sends all gossip through a fault relay (package faultnet), which forwards it or not. Each packet and
// stream to the relay begins with the address that it is for, and each from the relay with the address that it is from,
// so that memberlist sees the addresses of its peers. Only the laboratory and tests use it.
type relayTransport struct {
	relayUDP     *net.UDPAddr
	relayTCP     string
	udp          *net.UDPConn
	tcp          *net.TCPListener
	localAddress *net.UDPAddr
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	traffic      *Traffic
	wg           sync.WaitGroup
	closed       atomic.Bool
}

// newRelayTransport listens at an address by UDP and TCP, and sends through a relay.
func newRelayTransport(bind, relay string, traffic *Traffic) (*relayTransport, error) {
	self, err := net.ResolveUDPAddr("udp4", bind)
	if err != nil {
		return nil, err
	}
	relayUDP, err := net.ResolveUDPAddr("udp4", relay)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: self.IP, Port: self.Port})
	if err != nil {
		return nil, err
	}
	self.Port = tcp.Addr().(*net.TCPAddr).Port // the same port for both where any is asked for
	udp, err := net.ListenUDP("udp4", self)
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	t := &relayTransport{
		relayUDP: relayUDP, relayTCP: relay, udp: udp, tcp: tcp, localAddress: self, traffic: traffic,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
	}
	t.wg.Add(2)
	go t.readPackets()
	go t.acceptStreams()
	return t, nil
}

// readPackets hands packets over until the transport is shut down. memberlist reads until then.
func (t *relayTransport) readPackets() {
	defer t.wg.Done()
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := t.udp.ReadFromUDP(buffer)
		if t.closed.Load() {
			return
		}
		if err != nil {
			continue
		}
		packet, err := packetFromRelay(buffer[:n])
		if err != nil {
			t.traffic.Bad.Add(1)
			continue
		}
		t.packets <- packet
	}
}

// packetFromRelay copies a packet and takes its header off.
func packetFromRelay(received []byte) (*memberlist.Packet, error) {
	sender, payload, err := SplitHeader(received)
	if err != nil {
		return nil, err
	}
	from, err := net.ResolveUDPAddr("udp4", sender)
	if err != nil {
		return nil, err
	}
	return &memberlist.Packet{Buf: append([]byte(nil), payload...), From: from, Timestamp: time.Now()}, nil
}

// acceptStreams hands streams over until the transport is shut down.
func (t *relayTransport) acceptStreams() {
	defer t.wg.Done()
	for {
		conn, err := t.tcp.Accept()
		if err != nil {
			if t.closed.Load() {
				return
			}
			continue
		}
		stream, err := streamFromRelay(conn)
		if err != nil {
			t.traffic.Bad.Add(1)
			conn.Close()
			continue
		}
		t.traffic.StreamsIn.Add(1)
		t.streams <- stream
	}
}

// streamFromRelay reads the header of a stream.
func streamFromRelay(conn net.Conn) (net.Conn, error) {
	conn.SetReadDeadline(time.Now().Add(headerTimeout))
	reader := bufio.NewReader(conn)
	if _, err := ReadHeader(reader); err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	return &bufferedConn{Conn: conn, reader: reader}, nil
}

// bufferedConn is a connection of which some bytes were read ahead.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads what was read ahead first.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// FinalAdvertiseAddr returns the address that the transport listens at.
func (t *relayTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.localAddress.IP, t.localAddress.Port, nil
}

// WriteTo sends a packet.
func (t *relayTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	_, err := t.udp.WriteToUDP(Header(address, packet), t.relayUDP)
	return time.Now(), err
}

// WriteToAddress sends a packet.
func (t *relayTransport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, address.Addr)
}

// PacketCh returns the received packets.
func (t *relayTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout opens a stream. Its header has the address that it is for, and then the one that it is from.
func (t *relayTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(context.Background(), "tcp4", t.relayTCP)
	if err != nil {
		return nil, err
	}
	conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(Header(address, Header(t.localAddress.String(), nil))); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

// DialAddressTimeout opens a stream.
func (t *relayTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// StreamCh returns the accepted streams.
func (t *relayTransport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes both sockets and discards what their readers are about to hand over. memberlist calls it once it reads
// nothing any more.
func (t *relayTransport) Shutdown() error {
	t.closed.Store(true)
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	go t.discard()
	t.wg.Wait()
	return err
}

func (t *relayTransport) discard() {
	for {
		select {
		case <-t.packets:
		case stream := <-t.streams:
			stream.Close()
		case <-time.After(headerTimeout):
			return
		}
	}
}
