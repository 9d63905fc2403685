package real

import (
	"testing"

	"dykering/internal/core"
)

// What changed is told from a version on; who has missed more than is kept gets the whole list.
func TestDiscoveryKeepsABound(t *testing.T) {
	d := &Discovery{targets: map[string]core.Target{}, changed: make(chan struct{}), broken: make(chan struct{})}
	s := &Server{UID: "s-1", address: "127.0.0.1:9"}
	for range mostChanges + 5 {
		d.Tell(s, "Ready", 0)
	}
	for since, want := range map[uint64]struct {
		all bool
		n   int
	}{mostChanges + 3: {false, 2}, mostChanges + 5: {false, 0}, 5: {false, mostChanges}, 4: {true, 1}, 1 << 40: {true, 1}} {
		if l, _ := d.list(&since); l.Full != want.all || len(l.Targets) != want.n || l.Rev != mostChanges+5 {
			t.Errorf("since %d: %d of version %d, whole %v", since, len(l.Targets), l.Rev, l.Full)
		}
	}
}
