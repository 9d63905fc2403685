package core

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// Lists reach the Balancer in order: one that is older than the present one is dropped, and so is what a
// discovery says that is no longer followed.
func TestOlderListsAreDropped(t *testing.T) {
	b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0))
	open := func(uid string) (open bool) {
		told := make(chan bool)
		b.loop.Post(func() {
			e := b.loop.endpoints.byID[b.loop.endpoints.id(uid)]
			told <- e != nil && e.IsOpen()
		})
		return <-told
	}
	tell := func(from Discovery, l List, how Source) {
		b.loop.Post(func() { b.loop.ListReceived(from, l, how) })
	}
	draining := ready("s-1", 0)
	draining.State = "Terminating"
	first := b.loop.discovery
	tell(first, List{Rev: 5, Targets: []Target{draining}}, FromWatch)
	tell(first, List{Rev: 4, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	tell(first, List{Rev: 5, Targets: []Target{ready("s-1", 0)}}, FromWatch)
	if open("s-1") || !open("s-2") || b.loop.Stats().Revision != 5 {
		t.Error("an older list undid a drain")
	}
	tell(first, List{Rev: 6, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	if !open("s-1") || open("s-2") {
		t.Error("a newer list is not followed")
	}
	tell(first, List{Rev: 5, Full: true, Targets: []Target{ready("s-2", 0)}}, FromWatch)
	if s := b.loop.Stats(); s.Revision != 6 || !s.AwaitingFullList || !open("s-1") || open("s-2") {
		t.Errorf("an older whole list of a watch is taken without a look at what holds now: %+v", s)
	}
	tell(b.loop.discovery, List{Rev: 6, Full: true, Targets: []Target{ready("s-1", 0)}}, FromFetch)
	for range 3 { // a copy of discovery that lags must not have it asked without end
		tell(b.loop.discovery, List{Rev: 5, Full: true, Targets: []Target{ready("s-2", 0)}}, FromWatch)
	}
	if s := b.loop.Stats(); s.Revision != 6 || s.AwaitingFullList || !open("s-1") || open("s-2") {
		t.Errorf("older whole lists, one after another: %+v", s)
	}
	b.loop.SwitchDiscovery("second")
	tell(first, List{Rev: 9, Full: true}, FromFetch)
	b.loop.Post(func() { b.loop.ListFailed(first, errors.New("old")) })
	if s := b.loop.Stats(); s.Revision != 6 || !s.AwaitingFullList || s.DiscoveryAddress != "second" || !open("s-1") {
		t.Errorf("the old discovery is heard: %+v", s)
	}
	tell(b.loop.discovery, List{Rev: 3, Targets: []Target{ready("s-3", 0)}}, FromWatch)
	tell(b.loop.discovery, List{Rev: 2, Full: true, Targets: []Target{ready("s-4", 0)}}, FromFetch)
	if s := b.loop.Stats(); s.Revision != 2 || s.AwaitingFullList || open("s-3") || !open("s-4") {
		t.Errorf("the new discovery is followed from changes on, or not at all: %+v", s)
	}
	want := "[first watch first stop first fetch first watch first stop first watch " +
		"first stop second fetch second watch second stop second watch]"
	if got := fmt.Sprint(b.discoveryCalls); got != want {
		t.Errorf("asked %s, want %s", got, want)
	}
}

// A discovery that begins to count anew for a second time, shortly after the first, is asked again once the
// pause is over, unless something newer has come by then: its lists would be dropped for ever.
func TestOlderFullListOfWatchCausesResync(t *testing.T) {
	for _, newer := range []bool{false, true} {
		b := newTestLoop(t, nil, ready("s-1", 0))
		const pause = time.Second
		tell := func(rev uint64, how Source) {
			b.loop.Post(func() {
				b.loop.ListReceived(b.loop.discovery, List{Rev: rev, Full: true, Targets: []Target{ready("s-1", 0)}}, how)
			})
		}
		asked := func() (n int) {
			got := make(chan int)
			b.loop.Post(func() { got <- len(b.discoveryCalls) })
			return <-got
		}
		tell(9, FromWatch)
		tell(8, FromWatch)
		tell(8, FromFetch) // what holds now
		b.loop.Post(func() { b.loop.resyncBackoff = pause })
		before := asked()
		tell(7, FromWatch)
		if newer {
			tell(10, FromWatch)
		}
		if asked() != before {
			t.Error("asked anew at once, for the second time")
		}
		end := time.Now().Add(2 * pause)
		if !newer {
			end = end.Add(time.Minute) // it comes sooner
		}
		again := false
		for ; !again && time.Now().Before(end); time.Sleep(time.Millisecond) {
			again = asked() > before
		}
		if again == newer {
			t.Errorf("something newer came %v: asked anew %v", newer, again)
		}
	}
}
