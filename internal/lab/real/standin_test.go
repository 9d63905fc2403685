package real

import (
	"testing"

	"dykering/internal/core"
)

// A watch receives the changes since its version, or the full list if it has missed more changes than
// the discovery retains.
func TestDiscoverySendsFullListBeyondRetainedChanges(t *testing.T) {
	d := &Discovery{targets: map[string]core.Target{}, changed: make(chan struct{}), watchesEnd: make(chan struct{})}
	s := &Server{UID: "s-1", address: "127.0.0.1:9"}
	for range maxChanges + 5 {
		d.Announce(s, "Ready", 0)
	}
	for since, want := range map[uint64]struct {
		all bool
		n   int
	}{maxChanges + 3: {false, 2}, maxChanges + 5: {false, 0}, 5: {false, maxChanges}, 4: {true, 1}, 1 << 40: {true, 1}} {
		if l, _ := d.list(&since); l.Full != want.all || len(l.Targets) != want.n || l.Rev != maxChanges+5 {
			t.Errorf("list since version %d: %d entries, version %d, full %v", since, len(l.Targets), l.Rev, l.Full)
		}
	}
}
