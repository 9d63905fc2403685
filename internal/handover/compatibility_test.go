package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dykering/internal/fixture"
)

// compatibleState is the state of the offer in the fixture.
const compatibleState = `{"version":1}`

// socketPrefix is the beginning of the socket's name for the service "n0": the first six bytes of the SHA-256 of the
// service's name.
const socketPrefix = "handover-820d5d8baf76-"

// offerOfReleasedBuild returns the offer frame in the fixture, as released builds send it.
func offerOfReleasedBuild(t *testing.T) []byte {
	t.Helper()
	return fixture.Bytes(t, "testdata/compatibility/offer.bin",
		func() []byte { return append([]byte{frameOffer}, compatibleState...) })
}

// A released sender sends 'o' with the state, waits for 'y', and sends 'g'.
func TestReceiverAcceptsOfferOfReleasedBuild(t *testing.T) {
	offer := offerOfReleasedBuild(t)
	const dir = "." // the absolute path may exceed the limit for socket paths
	t.Chdir(t.TempDir())
	received := make(chan string, 1)
	serveUntilEnd(t, dir, func(state []byte, _ []net.Conn) (start, drop func(), ok bool) {
		text := string(state)
		return func() { received <- text }, func() {}, true
	})
	files, err := filepath.Glob(filepath.Join(dir, socketPrefix+"*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("sockets %v, %v: want one with the prefix %s", files, err, socketPrefix)
	}
	sender, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: files[0], Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	sender.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := sender.Write(offer); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 8)
	if n, err := sender.Read(answer); err != nil || string(answer[:n]) != "y" {
		t.Fatalf("answer %q, %v: want y", answer[:n], err)
	}
	if _, err := sender.Write([]byte("g")); err != nil {
		t.Fatal(err)
	}
	select {
	case state := <-received:
		if state != compatibleState {
			t.Errorf("state %q, want %q", state, compatibleState)
		}
	case <-time.After(10 * time.Second):
		t.Error("the handler's start was not called")
	}
}

// A released receiver listens on a SOCK_SEQPACKET socket with this file name, accepts with 'y' and declines with 'n'.
func TestSenderOffersToReceiverOfReleasedBuild(t *testing.T) {
	const dir = "." // the absolute path may exceed the limit for socket paths
	offer := string(offerOfReleasedBuild(t))
	t.Chdir(t.TempDir())
	path := fmt.Sprintf("%s%d.%d", socketPrefix, time.Now().UnixNano(), os.Getpid())
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	type exchange struct {
		frames []string
		err    error
	}
	ended := make(chan exchange, 1)
	go func() {
		var x exchange
		defer func() { ended <- x }()
		c, err := listener.AcceptUnix()
		if err != nil {
			x.err = err
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		for _, answer := range []string{"y", "", "n"} {
			frame := make([]byte, 1024)
			n, err := c.Read(frame)
			if err != nil {
				x.err = err
				return
			}
			x.frames = append(x.frames, string(frame[:n]))
			if answer == "" {
				continue
			}
			if _, err := c.Write([]byte(answer)); err != nil {
				x.err = err
				return
			}
		}
	}()
	sender, err := Dial(dir, "n0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	if err := sender.Pass([]byte(compatibleState)); err != nil {
		t.Errorf("Pass of an accepted offer: %v", err)
	}
	if err := sender.Pass([]byte(compatibleState)); !errors.Is(err, ErrDeclined) {
		t.Errorf("Pass of a declined offer: %v, want %v", err, ErrDeclined)
	}
	x := <-ended
	if got, want := strings.Join(x.frames, "|"), strings.Join([]string{offer, "g", offer}, "|"); x.err != nil || got != want {
		t.Errorf("frames %q, %v: want %q", got, x.err, want)
	}
}
