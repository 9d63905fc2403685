package loopback

import (
	"net"
	"strconv"
	"testing"
)

// Address returns each address once, an address can be listened on several times, and ports are avoided on
// which a process listens at all addresses of the machine.
func TestAddressesAreUniqueAndCanBeRelistened(t *testing.T) {
	all, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer all.Close()
	_, taken, _ := net.SplitHostPort(all.Addr().String())
	port, _ := strconv.Atoi(taken)
	if !wildcardPorts()[port] {
		t.Errorf("port %d is in use on all addresses, but wildcardPorts returns only %v", port, wildcardPorts())
	}
	seen := map[string]bool{}
	for range 1000 {
		address := Address()
		if seen[address] {
			t.Fatalf("Address returned %s twice", address)
		}
		seen[address] = true
		for range 2 {
			l, err := Relisten(address)
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
		}
	}
}
