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
	// headerTimeout bounds the wait for the address header of an accepted stream.
	headerTimeout = 2 * time.Second
	// maxPacketBytes exceeds the largest payload of a UDP packet, so that no packet is truncated.
	maxPacketBytes = 65536
)

// relayTransport sends all gossip through a fault relay (package faultnet), which forwards or drops it. Each packet and
// stream to the relay begins with the receiver's address, and each one from the relay with the sender's address, so that
// memberlist sees the addresses of its peers. Only the laboratory and tests use this transport.
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

// newRelayTransport listens on an address by UDP and TCP, and sends through a relay.
func newRelayTransport(bind, relay string, traffic *Traffic) (*relayTransport, error) {
	localAddress, err := net.ResolveUDPAddr("udp4", bind)
	if err != nil {
		return nil, err
	}
	relayUDP, err := net.ResolveUDPAddr("udp4", relay)
	if err != nil {
		return nil, fmt.Errorf("resolve relay address %q: %w", relay, err)
	}
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: localAddress.IP, Port: localAddress.Port})
	if err != nil {
		return nil, err
	}
	localAddress.Port = tcp.Addr().(*net.TCPAddr).Port // with port 0, UDP uses the port that TCP was given
	udp, err := net.ListenUDP("udp4", localAddress)
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	t := &relayTransport{
		relayUDP: relayUDP, relayTCP: relay, udp: udp, tcp: tcp, localAddress: localAddress, traffic: traffic,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
	}
	t.wg.Add(2)
	go t.readPackets()
	go t.acceptStreams()
	return t, nil
}

// readPackets sends received packets to the packet channel until Shutdown. memberlist reads the channel until then.
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

// packetFromRelay returns a copy of a received packet without its address header.
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

// acceptStreams sends accepted streams to the stream channel until Shutdown.
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

// streamFromRelay reads the address header of a stream and returns the stream from behind the header.
func streamFromRelay(conn net.Conn) (net.Conn, error) {
	conn.SetReadDeadline(time.Now().Add(headerTimeout))
	reader := bufio.NewReader(conn)
	if _, err := ReadHeader(reader); err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	return &bufferedConn{Conn: conn, reader: reader}, nil
}

// bufferedConn is a connection whose reader may hold bytes that were read with the header.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read returns the buffered bytes first, then those of the connection.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// FinalAdvertiseAddr returns the address that the transport listens on.
func (t *relayTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.localAddress.IP, t.localAddress.Port, nil
}

// WriteTo sends a packet through the relay.
func (t *relayTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	_, err := t.udp.WriteToUDP(Header(address, packet), t.relayUDP)
	return time.Now(), err
}

// WriteToAddress sends a packet through the relay.
func (t *relayTransport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, address.Addr)
}

// PacketCh returns the channel of received packets.
func (t *relayTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout opens a stream through the relay. The stream begins with the receiver's address and the sender's address.
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

// DialAddressTimeout opens a stream through the relay.
func (t *relayTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// StreamCh returns the channel of accepted streams.
func (t *relayTransport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes both sockets and discards the packets and streams that their goroutines are still sending to the
// channels. memberlist calls it after it has stopped reading the channels.
func (t *relayTransport) Shutdown() error {
	t.closed.Store(true)
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	go t.discard()
	t.wg.Wait()
	return err
}

// discard drops packets and closes streams until none has arrived for headerTimeout, the longest time that a stream
// takes to be accepted.
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
