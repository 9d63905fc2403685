package core

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// A draining endpoint may finish its calls; it gets no new ones, and no idle connection to it is kept.
func TestDrainingEndpointKeepsCallsAndLosesIdleConnections(t *testing.T) {
	goOn := make(chan bool)
	b := newTestLoop(t, nil, ready("s-1", 0))
	b.send = func(a *Attempt, _ int) Result {
		if a.Call.ID == "slow" {
			<-goOn
		}
		return b.served(a.Endpoint.Address)
	}
	slow := b.submit("slow", once)
	b.finalAnswer(b.submit("quick", once))
	b.waitFor("one is idle", func(s Stats) bool { return s.IdleConns == 1 && s.Attempts == 1 })
	drains, other := ready("s-1", 0), ready("s-2", 0)
	drains.State, other.Address = "Terminating", "127.0.0.1:10"
	b.loop.Post(func() {
		b.loop.ListReceived(b.loop.discovery, List{Rev: 2, Targets: []Target{drains, other}}, FromWatch)
	})
	b.waitFor("it is taken in", func(s Stats) bool { return s.Revision == 2 && s.IdleConns == 0 })
	for i := range 9 {
		if got := b.finalAnswer(b.submit(fmt.Sprint(i), read)); got != other.Address {
			t.Errorf("a call went to %s", got)
		}
	}
	goOn <- true
	if got := b.finalAnswer(slow); got != drains.Address {
		t.Errorf("what was running: %s", got)
	}
	b.waitFor("its connection is closed", func(s Stats) bool { return s.Conns == s.IdleConns && s.IdleConns == 1 })
}

// A line of a full list that cannot be read loses nothing: its endpoint stays as it was, also one that
// drains, and others are served. An endpoint that is not named has departed.
func TestMalformedLinesKeepTheirEndpoints(t *testing.T) {
	drains := ready("s-4", 0)
	drains.State = "Terminating"
	for name, spoil := range map[string]func(*Target){
		"state":   func(x *Target) { x.State = "Reddy" },
		"address": func(x *Target) { x.Address = "127.0.0.1" },
	} {
		b := newTestLoop(t, nil, ready("s-1", 0), ready("s-2", 0), ready("s-3", 0), drains)
		b.send = func(*Attempt, int) Result { return b.served("ok") }
		bad, alsoBad := ready("s-1", 0), ready("s-4", 0)
		spoil(&bad)
		spoil(&alsoBad)
		list := List{Rev: 2, Full: true, Targets: []Target{bad, ready("s-2", 0), alsoBad}}
		b.loop.Post(func() { b.loop.ListReceived(b.loop.discovery, list, FromWatch) })
		open := map[decision.EndpointID]bool{}
		for _, e := range b.loop.Stats().Endpoints {
			open[e.ID] = e.Open
		}
		if id := b.loop.endpoints.id; len(open) != 3 || !open[id("s-1")] || !open[id("s-2")] || open[id("s-4")] {
			t.Errorf("%s: %v", name, open)
		}
		for i := range 20 {
			if got := b.finalAnswer(b.submit(fmt.Sprint(name, i), read)); got != "ok" {
				t.Errorf("%s: %s", name, got)
			}
		}
		sent := map[decision.EndpointID]bool{}
		for _, attempts := range b.sends {
			sent[attempts[0].Endpoint.ID] = true
		}
		if id := b.loop.endpoints.id; len(sent) != 2 || !sent[id("s-1")] {
			t.Errorf("%s: sent to %v", name, sent)
		}
	}
}

// An endpoint's number is the same at every sidecar, in whatever order lists name it, and no two share one.
func TestEndpointIDsAreSameAtAllSidecars(t *testing.T) {
	a, b := newEndpointTable(nil, nil, time.Now(), zap.NewNop()), newEndpointTable(nil, nil, time.Now(), zap.NewNop())
	put := func(t *endpointTable, uid string) decision.EndpointID {
		id := t.id(uid)
		t.add(&Endpoint{ID: id, uid: uid})
		return id
	}
	if a.id("s-00000001") != 1 || a.id("s-5be2a07c") != 0x5be2a07c {
		t.Error("the uid's own number is not used")
	}
	b.id("s-5be2a07c")
	if b.id("s-00000001") != a.id("s-00000001") || a.id("box.west") != b.id("box.west") {
		t.Error("the order tells")
	}
	if x, y := put(a, "s-1"), put(a, "t-1"); x == y || x != a.id("s-1") || y != a.id("t-1") {
		t.Errorf("two uids have %d and %d", x, y)
	}
}

// A start has the same time on the event clock each time: a later one means a restart.
func TestStartTimesAreStable(t *testing.T) {
	now := time.Now()
	e := newEndpointTable(nil, nil, now.Add(-clockStart), zap.NewNop())
	boot := now.Add(-3 * time.Second).UnixMilli()
	if got := e.startTime(boot); got < clockStart-4*time.Second || got > clockStart-2*time.Second || got != e.startTime(boot) {
		t.Errorf("3 s ago is %v on a clock at %v", got, clockStart)
	}
	if e.startTime(0) != 0 || e.startTime(1) != 0 {
		t.Error("long past is not 0")
	}
}

func TestChangedAddressOrStartReplacesEndpoint(t *testing.T) {
	e := newEndpointTable([]string{"y", "z"}, []string{"m"}, time.Now().Add(-clockStart), zap.NewNop())
	x := ready("s-1", 0)
	entries, _ := e.update(List{Full: true, Targets: []Target{x, ready("s-2", 0)}})
	if len(entries) != 2 || entries[0].Zone != 1 || entries[0].Kind != 0 {
		t.Fatalf("entries %+v", entries)
	}
	first := e.byID[1]
	for _, change := range []func(){
		func() { x.Address = "127.0.0.1:10" },
		func() { x.BootMS = time.Now().UnixMilli() },
	} {
		change()
		old := e.byID[1]
		entries, retired := e.update(List{Targets: []Target{x}})
		if len(retired) != 1 || retired[0] != old || old.IsOpen() || !e.byID[1].IsOpen() || e.byID[1].Address != x.Address {
			t.Errorf("after a change: %+v", e.byID[1])
		}
		if x.BootMS > 0 && entries[0].Started == 0 {
			t.Error("the start is not told")
		}
	}
	if first.IsOpen() || !e.byID[2].IsOpen() {
		t.Error("a delta closed what it does not name, or left the old address open")
	}
	e.update(List{Full: true, Targets: []Target{x}})
	if e.byID[2] != nil || len(e.ids) != 1 {
		t.Error("an endpoint that left the whole list is open")
	}
	for i := range 2 * maxNames {
		y := ready("s-3", 0)
		y.Zone, y.Model = fmt.Sprint(i), fmt.Sprint(i)
		e.update(List{Targets: []Target{y}})
	}
	if len(e.zones) > maxNames || len(e.models) > maxNames {
		t.Error("names that lists bring are kept without end")
	}
	if entries, _ := e.update(List{Targets: []Target{{UID: "s-3", Address: "nowhere", State: "Ready"}}}); len(entries) != 0 {
		t.Error("an endpoint without an address is told to the Balancer")
	}
}
