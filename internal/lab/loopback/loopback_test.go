package loopback

import (
	"net"
	"strconv"
	"testing"
)

// Addresses are handed out once, can be listened on again after a pause, and avoid ports on which something listens at
// all addresses of the machine.
func TestAddressesAreUniqueAndCanBeRelistened(t *testing.T) {
	all, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer all.Close()
	_, taken, _ := net.SplitHostPort(all.Addr().String())
	port, _ := strconv.Atoi(taken)
	if !wildcardPorts()[port] {
		t.Errorf("port %d is not seen to be taken: %v", port, wildcardPorts())
	}
	seen := map[string]bool{}
	for range 1000 {
		address := Address()
		if seen[address] {
			t.Fatalf("%s twice", address)
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
