package core

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// A list that is older than the current one is dropped, as are lists and failures from a discovery client that the loop no
// longer follows.
func TestOlderListsAreDropped(t *testing.T) {
	tl := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
	open := func(uid string) (open bool) {
		result := make(chan bool)
		tl.loop.Post(func() {
			e := tl.loop.endpoints.byID[tl.loop.endpoints.id(uid)]
			result <- e != nil && e.IsOpen()
		})
		return <-result
	}
	report := func(from Discovery, l List, source Source) {
		tl.loop.Post(func() { tl.loop.ListReceived(from, l, source) })
	}
	draining := ready("s-1", 0)
	draining.State = "Terminating"
	first := tl.loop.discovery
	report(first, List{Rev: 5, Targets: []Target{draining}}, FromWatch)
	report(first, List{Rev: 4, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	report(first, List{Rev: 5, Targets: []Target{ready("s-1", 0)}}, FromWatch)
	if open("s-1") || !open("s-2") || tl.loop.Stats().Revision != 5 {
		t.Error("an older list undid a drain")
	}
	report(first, List{Rev: 6, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	if !open("s-1") || open("s-2") {
		t.Error("a newer list was not applied")
	}
	report(first, List{Rev: 5, Full: true, Targets: []Target{ready("s-2", 0)}}, FromWatch)
	if s := tl.loop.Stats(); s.Revision != 6 || !s.AwaitingFullList || !open("s-1") || open("s-2") {
		t.Errorf("an older full list from a watch was applied without a resync: %+v", s)
	}
	report(tl.loop.discovery, List{Rev: 6, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	for range 3 { // a lagging discovery replica must not cause a resync for each of its lists
		report(tl.loop.discovery, List{Rev: 5, Full: true, Targets: []Target{ready("s-2", 0)}}, FromWatch)
	}
	if s := tl.loop.Stats(); s.Revision != 6 || s.AwaitingFullList || !open("s-1") || open("s-2") {
		t.Errorf("repeated older full lists from a watch: %+v", s)
	}
	tl.loop.SwitchDiscovery("second")
	report(first, List{Rev: 9, Full: true}, FromFetch)
	tl.loop.Post(func() { tl.loop.ListFailed(first, errors.New("old")) })
	if s := tl.loop.Stats(); s.Revision != 6 || !s.AwaitingFullList || s.DiscoveryAddress != "second" || !open("s-1") {
		t.Errorf("reports of the previous discovery client were handled: %+v", s)
	}
	report(tl.loop.discovery, List{Rev: 3, Targets: []Target{ready("s-3", 0)}}, FromWatch)
	report(tl.loop.discovery, List{Rev: 2, Full: true, Targets: []Target{ready("s-4", 0)}}, FromFetch)
	if s := tl.loop.Stats(); s.Revision != 2 || s.AwaitingFullList || open("s-3") || !open("s-4") {
		t.Errorf("the new discovery's full list was not applied, or its changes were applied before it: %+v", s)
	}
	want := "[first watch first stop first fetch first watch first stop first watch " +
		"first stop second fetch second watch second stop second watch]"
	if got := fmt.Sprint(tl.discoveryCalls); got != want {
		t.Errorf("discovery calls %s, want %s", got, want)
	}
}

// When the discovery service restarts its version count twice in quick succession, the loop resyncs again after the
// backoff, unless a newer list has arrived by then. Without the second resync all later lists would be dropped as old.
func TestOlderFullListOfWatchCausesResync(t *testing.T) {
	for _, newer := range []bool{false, true} {
		tl := newTestLoop(t, nil, ready("s-1", 0))
		const backoff = time.Second
		report := func(rev uint64, source Source) {
			tl.loop.Post(func() {
				tl.loop.ListReceived(tl.loop.discovery, List{Rev: rev, Full: true, Targets: []Target{ready("s-1", 0)}}, source)
			})
		}
		callCount := func() (n int) {
			got := make(chan int)
			tl.loop.Post(func() { got <- len(tl.discoveryCalls) })
			return <-got
		}
		report(9, FromWatch)
		report(8, FromWatch)
		report(8, FromFetch) // the answer to the resync
		tl.loop.Post(func() { tl.loop.resyncBackoff = backoff })
		before := callCount()
		report(7, FromWatch)
		if newer {
			report(10, FromWatch)
		}
		if callCount() != before {
			t.Error("the second resync did not wait for the backoff")
		}
		end := time.Now().Add(2 * backoff)
		if !newer {
			end = end.Add(time.Minute) // the loop below ends as soon as the resync starts
		}
		again := false
		for ; !again && time.Now().Before(end); time.Sleep(time.Millisecond) {
			again = callCount() > before
		}
		if again == newer {
			t.Errorf("newer list received: %v, resync after the backoff: %v", newer, again)
		}
	}
}
