package core

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// A draining endpoint finishes its calls in flight, gets no new calls, and loses its idle connections.
func TestDrainingEndpointKeepsCallsAndLosesIdleConnections(t *testing.T) {
	proceed := make(chan bool)
	tl := newTestLoop(t, nil, ready("s-1", 0))
	tl.send = func(a *Attempt, _ int) Result {
		if a.Call.ID == "slow" {
			<-proceed
		}
		return tl.served(a.Endpoint.Address)
	}
	slow := tl.submit("slow", once)
	tl.finalAnswer(tl.submit("quick", once))
	tl.waitFor("one idle connection and one attempt in flight", func(s Stats) bool { return s.IdleConns == 1 && s.Attempts == 1 })
	draining, other := ready("s-1", 0), ready("s-2", 0)
	draining.State, other.Address = "Terminating", "127.0.0.1:10"
	tl.loop.Post(func() {
		tl.loop.ListReceived(tl.loop.discovery, List{Rev: 2, Targets: []Target{draining, other}}, FromWatch)
	})
	tl.waitFor("the list to be applied", func(s Stats) bool { return s.Revision == 2 && s.IdleConns == 0 })
	for i := range 9 {
		if got := tl.finalAnswer(tl.submit(fmt.Sprint(i), read)); got != other.Address {
			t.Errorf("a call was sent to %s, want only the endpoint that is ready", got)
		}
	}
	proceed <- true
	if got := tl.finalAnswer(slow); got != draining.Address {
		t.Errorf("the call in flight at the start of the drain: %s", got)
	}
	tl.waitFor("the connection to be closed", func(s Stats) bool { return s.Conns == s.IdleConns && s.IdleConns == 1 })
}

// An invalid target in a full list leaves its endpoint unchanged, whether it is ready or draining, and does not affect other
// targets. An endpoint that a full list omits has departed.
func TestInvalidTargetsKeepTheirEndpoints(t *testing.T) {
	draining := ready("s-4", 0)
	draining.State = "Terminating"
	for name, corrupt := range map[string]func(*Target){
		"state":   func(x *Target) { x.State = "Reddy" },
		"address": func(x *Target) { x.Address = "127.0.0.1" },
	} {
		tl := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0), ready("s-3", 0), draining)
		tl.send = func(*Attempt, int) Result { return tl.served("ok") }
		invalid, invalidDraining := ready("s-1", 0), ready("s-4", 0)
		corrupt(&invalid)
		corrupt(&invalidDraining)
		list := List{Rev: 2, Full: true, Targets: []Target{invalid, ready("s-2", 0), invalidDraining}}
		tl.loop.Post(func() { tl.loop.ListReceived(tl.loop.discovery, list, FromWatch) })
		open := map[decision.EndpointID]bool{}
		for _, e := range tl.loop.Stats().Endpoints {
			open[e.ID] = e.Open
		}
		if id := tl.loop.endpoints.id; len(open) != 3 || !open[id("s-1")] || !open[id("s-2")] || open[id("s-4")] {
			t.Errorf("invalid %s: endpoints in the table, true if open: %v", name, open)
		}
		for i := range 20 {
			if got := tl.finalAnswer(tl.submit(fmt.Sprint(name, i), read)); got != "ok" {
				t.Errorf("invalid %s: answer %q, want \"ok\"", name, got)
			}
		}
		sent := map[decision.EndpointID]bool{}
		for _, attempts := range tl.sends {
			sent[attempts[0].Endpoint.ID] = true
		}
		if id := tl.loop.endpoints.id; len(sent) != 2 || !sent[id("s-1")] {
			t.Errorf("invalid %s: calls were sent to the endpoints %v", name, sent)
		}
	}
}

// The ID of an endpoint is the same at all sidecars, regardless of the order in which lists mention it, and is unique.
func TestEndpointIDsAreSameAtAllSidecars(t *testing.T) {
	a, b := newEndpointTable(nil, nil, time.Now(), zap.NewNop()), newEndpointTable(nil, nil, time.Now(), zap.NewNop())
	put := func(t *endpointTable, uid string) decision.EndpointID {
		id := t.id(uid)
		t.add(&Endpoint{ID: id, uid: uid})
		return id
	}
	if a.id("s-00000001") != 1 || a.id("s-5be2a07c") != 0x5be2a07c {
		t.Error("the ID is not the number at the end of the uid")
	}
	b.id("s-5be2a07c")
	if b.id("s-00000001") != a.id("s-00000001") || a.id("box.west") != b.id("box.west") {
		t.Error("the ID depends on the order of the uids")
	}
	if x, y := put(a, "s-1"), put(a, "t-1"); x == y || x != a.id("s-1") || y != a.id("t-1") {
		t.Errorf("two uids with the same number have the IDs %d and %d, want two stable and different IDs", x, y)
	}
}

// A start time is always converted to the same time on the event clock. The Balancer would take a later one for a restart.
func TestStartTimesAreStable(t *testing.T) {
	now := time.Now()
	table := newEndpointTable(nil, nil, now.Add(-clockStart), zap.NewNop())
	boot := now.Add(-3 * time.Second).UnixMilli()
	if got := table.startTime(boot); got < clockStart-4*time.Second || got > clockStart-2*time.Second || got != table.startTime(boot) {
		t.Errorf("a start 3 s ago is at %v on an event clock at %v", got, clockStart)
	}
	if table.startTime(0) != 0 || table.startTime(1) != 0 {
		t.Error("a start of 0 or before the clock's origin is not 0")
	}
}

// An endpoint whose address or start time changes is replaced. Partial lists leave other endpoints alone, full lists remove
// the endpoints that they omit, and the number of zone and model names is bounded.
func TestChangedAddressOrStartReplacesEndpoint(t *testing.T) {
	table := newEndpointTable([]string{"y", "z"}, []string{"m"}, time.Now().Add(-clockStart), zap.NewNop())
	target := ready("s-1", 0)
	entries, _ := table.update(List{Full: true, Targets: []Target{target, ready("s-2", 0)}})
	if len(entries) != 2 || entries[0].Zone != 1 || entries[0].Kind != 0 {
		t.Fatalf("entries %+v, want two, the first with zone 1 and kind 0", entries)
	}
	first := table.byID[1]
	for _, change := range []func(){
		func() { target.Address = "127.0.0.1:10" },
		func() { target.BootMS = time.Now().UnixMilli() },
	} {
		change()
		old := table.byID[1]
		entries, retired := table.update(List{Targets: []Target{target}})
		if len(retired) != 1 || retired[0] != old || old.IsOpen() || !table.byID[1].IsOpen() || table.byID[1].Address != target.Address {
			t.Errorf("the endpoint was not replaced after a change: %+v", table.byID[1])
		}
		if target.BootMS > 0 && entries[0].Started == 0 {
			t.Error("the entry for the Balancer lacks the start time")
		}
	}
	if first.IsOpen() || !table.byID[2].IsOpen() {
		t.Error("a partial list closed an endpoint that it omits, or the replaced endpoint is still open")
	}
	table.update(List{Full: true, Targets: []Target{target}})
	if table.byID[2] != nil || len(table.ids) != 1 {
		t.Error("an endpoint that a full list omits was not removed")
	}
	for i := range 2 * maxNames {
		other := ready("s-3", 0)
		other.Zone, other.Model = fmt.Sprint(i), fmt.Sprint(i)
		table.update(List{Targets: []Target{other}})
	}
	if len(table.zones) > maxNames || len(table.models) > maxNames {
		t.Error("the number of zone or model names exceeds maxNames")
	}
	if entries, _ := table.update(List{Targets: []Target{{UID: "s-3", Address: "nowhere", State: "Ready"}}}); len(entries) != 0 {
		t.Error("an endpoint without a valid address is passed to the Balancer")
	}
}
