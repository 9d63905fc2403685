package gossip

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// countingTransport counts the packets, bytes and streams of a transport, and passes each packet to a function.
type countingTransport struct {
	memberlist.NodeAwareTransport
	traffic       *Traffic
	inspectPacket func(packet []byte, outgoing bool) // inspectPacket must not block.
	packets       chan *memberlist.Packet
	shutdownOnce  sync.Once
	done          chan struct{}
}

// newCountingTransport wraps a transport. It starts a goroutine that forwards the received packets until Shutdown.
func newCountingTransport(transport memberlist.NodeAwareTransport, traffic *Traffic,
	inspect func(packet []byte, outgoing bool),
) *countingTransport {
	t := &countingTransport{
		NodeAwareTransport: transport, traffic: traffic, inspectPacket: inspect,
		packets: make(chan *memberlist.Packet), done: make(chan struct{}),
	}
	go t.receive()
	return t
}

// receive counts and forwards received packets until Shutdown.
func (t *countingTransport) receive() {
	for {
		select {
		case packet := <-t.NodeAwareTransport.PacketCh():
			t.traffic.PacketsIn.Add(1)
			t.traffic.BytesIn.Add(uint64(len(packet.Buf)))
			t.inspectPacket(packet.Buf, false)
			select {
			case t.packets <- packet:
			case <-t.done:
				return
			}
		case <-t.done:
			return
		}
	}
}

// PacketCh returns the channel of received packets.
func (t *countingTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// WriteTo counts and sends a packet.
func (t *countingTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: address})
}

// WriteToAddress counts and sends a packet.
func (t *countingTransport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	t.traffic.PacketsOut.Add(1)
	t.traffic.BytesOut.Add(uint64(len(packet)))
	t.inspectPacket(packet, true)
	return t.NodeAwareTransport.WriteToAddress(packet, address)
}

// DialTimeout counts and opens a stream.
func (t *countingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout counts and opens a stream.
func (t *countingTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.traffic.StreamsOut.Add(1)
	return t.NodeAwareTransport.DialAddressTimeout(address, timeout)
}

// Shutdown shuts down the wrapped transport, then the forwarding goroutine. The wrapped transport waits until its last
// received packets are read. Shutdown discards these packets, because memberlist may no longer read, or never have begun.
func (t *countingTransport) Shutdown() (err error) {
	t.shutdownOnce.Do(func() {
		go t.discard()
		err = t.NodeAwareTransport.Shutdown()
		close(t.done)
	})
	return err
}

// discard reads and drops forwarded packets until Shutdown has ended.
func (t *countingTransport) discard() {
	for {
		select {
		case <-t.packets:
		case <-t.done:
			return
		}
	}
}
