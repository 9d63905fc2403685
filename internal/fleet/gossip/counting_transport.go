package gossip

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// countingTransport counts what passes a transport, and has each packet inspected.
type countingTransport struct {
	memberlist.NodeAwareTransport
	traffic       *Traffic
	inspectPacket func(packet []byte, outgoing bool) // inspect must not block.
	packets       chan *memberlist.Packet
	shutdownOnce  sync.Once
	done          chan struct{}
}

// newCountingTransport wraps a transport. Received packets pass through a goroutine, which ends with the transport.
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

// PacketCh returns the received packets.
func (t *countingTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// WriteTo sends a packet.
func (t *countingTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: address})
}

// WriteToAddress sends a packet.
func (t *countingTransport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	t.traffic.PacketsOut.Add(1)
	t.traffic.BytesOut.Add(uint64(len(packet)))
	t.inspectPacket(packet, true)
	return t.NodeAwareTransport.WriteToAddress(packet, address)
}

// DialTimeout opens a stream.
func (t *countingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout opens a stream.
func (t *countingTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.traffic.StreamsOut.Add(1)
	return t.NodeAwareTransport.DialAddressTimeout(address, timeout)
}

// Shutdown ends the transport before its reader. The wrapped transport's shutdown waits for packets that it is about to
// hand over: they are discarded meanwhile, also where memberlist never began to read.
func (t *countingTransport) Shutdown() (err error) {
	t.shutdownOnce.Do(func() {
		go t.discard()
		err = t.NodeAwareTransport.Shutdown()
		close(t.done)
	})
	return err
}

func (t *countingTransport) discard() {
	for {
		select {
		case <-t.packets:
		case <-t.done:
			return
		}
	}
}
