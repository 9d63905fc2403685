package loopback

import (
	"net"
	"strconv"
	"testing"
)

// An address that was handed out is nobody's, stays one's own over a pause, and is none that another listens on at all
// of the machine's addresses.
func TestAddresses(t *testing.T) {
	all, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer all.Close()
	_, taken, _ := net.SplitHostPort(all.Addr().String())
	port, _ := strconv.Atoi(taken)
	if !listened()[port] {
		t.Errorf("port %d is not seen to be taken: %v", port, listened())
	}
	seen := map[string]bool{}
	for range 1000 {
		address := Address()
		if seen[address] {
			t.Fatalf("%s twice", address)
		}
		seen[address] = true
		for range 2 {
			l, err := ListenAgain(address)
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
		}
	}
}
