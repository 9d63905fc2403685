package peerlink

import (
	"encoding/binary"
	"encoding/gob"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeerlink(t *testing.T) {
	RegisterFailHandler(Fail)
	gob.Register(note{})
	RunSpecs(t, "links between processes")
}

type note struct {
	Text string
	Blob []byte
}

const patience = 5 * time.Second

var _ = Describe("a connection", func() {
	pair := func() (*Conn, *Conn, net.Conn) {
		a, b := net.Pipe()
		DeferCleanup(a.Close)
		DeferCleanup(b.Close)
		return NewConn(a), NewConn(b), a
	}

	It("carries messages in order", func() {
		from, to, _ := pair()
		go func() {
			defer GinkgoRecover()
			Expect(from.Send(note{Text: "one"}, patience)).To(Succeed())
			Expect(from.Send(note{Text: "two", Blob: make([]byte, 100000)}, patience)).To(Succeed())
		}()
		first, err := to.Receive(patience)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal(note{Text: "one"}))
		second, err := to.Receive(patience)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.(note).Blob).To(HaveLen(100000))
	})

	It("refuses a message beyond the bound before it is sent", func() {
		from, _, _ := pair()
		Expect(from.Send(note{Blob: make([]byte, MostFrame+1)}, patience)).To(MatchError(ContainSubstring("too long")))
	})

	It("refuses a frame that says it is longer than any may be", func() {
		_, to, raw := pair()
		go func() {
			var header [4]byte
			binary.BigEndian.PutUint32(header[:], MostFrame+1)
			raw.Write(header[:])
		}()
		_, err := to.Receive(patience)
		Expect(err).To(MatchError(ContainSubstring("too long")))
	})

	It("refuses what is no message", func() {
		_, to, raw := pair()
		go raw.Write([]byte{0, 0, 0, 3, 0xff, 0xff, 0xff})
		_, err := to.Receive(patience)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("a link", func() {
	It("dials again when its peer has gone and come back", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		link := NewLink(GinkgoT().Context(), listener.Addr().String())
		defer link.Close()
		accept := func() *Conn {
			raw, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			return NewConn(raw)
		}
		link.Send(note{Text: "one"})
		first := accept()
		got, err := first.Receive(patience)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(note{Text: "one"}))
		first.Close()
		accepted := make(chan *Conn, 1)
		go func() {
			defer GinkgoRecover()
			accepted <- accept()
		}()
		var second *Conn
		Eventually(func() bool {
			link.Send(note{Text: "again"})
			select {
			case second = <-accepted:
				return true
			default:
				return false
			}
		}, patience).Should(BeTrue())
		defer second.Close()
		got, err = second.Receive(patience)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(note{Text: "again"}))
	})

	It("never blocks who sends to a peer that is not there", func() {
		link := NewLink(GinkgoT().Context(), "127.0.0.1:1")
		defer link.Close()
		for range 10 * queueLength {
			link.Send(note{Text: "lost"})
		}
	})
})
