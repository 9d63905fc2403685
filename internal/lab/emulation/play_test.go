package emulation

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dykering/internal/http1"
	"dykering/internal/lab/scenario"
	"dykering/internal/tomlconfig"
)

func bubble(t *testing.T) Bubble {
	t.Helper()
	return func(f func()) { synctest.Test(t, func(*testing.T) { f() }) }
}

func brief(troubles ...scenario.InjectedFault) *scenario.Scenario {
	s := scenario.Default()
	s.Duration = tomlconfig.Duration(3 * time.Second)
	s.Broker.Instances, s.Servers.Count = 1, 4
	s.Callers.Rate = scenario.Range{From: 60, To: 60}
	s.Teams = nil
	s.InjectedFaults = troubles
	s.DownstreamTiers = []scenario.DownstreamTier{{
		Name: "below", Instances: 1, Servers: 2, Calls: scenario.Range{From: 1, To: 1},
		Work: scenario.Range{From: 0.002, To: 0.004}, ReservedShare: 0.1,
	}}
	return s
}

// What goes wrong with servers' bytes and befalls servers, lists and brokers is played in virtual time as on real sockets.
func TestTroubles(t *testing.T) {
	for name, x := range map[string]scenario.InjectedFault{
		"none":              {Kind: "break"},
		"reset in the head": {Kind: "bytes", ConnectionFault: "reset", Bytes: 9},
		"cut in the body":   {Kind: "bytes", ConnectionFault: "cut", Bytes: 120},
		"half closed":       {Kind: "bytes", ConnectionFault: "half_close", Bytes: 9},
		"stall":             {Kind: "bytes", ConnectionFault: "stall", Bytes: 9},
		"slow read":         {Kind: "bytes", ConnectionFault: "slow_read", Bytes: 40},
		"slow write":        {Kind: "bytes", ConnectionFault: "slow_write", Bytes: 40},
		"garbage":           {Kind: "bytes", ConnectionFault: "garbage"},
		"never up":          {Kind: "bytes", ConnectionFault: "syn"},
		"vanish":            {Kind: "vanish"},
		"connections reset": {Kind: "reset"},
		"replaced":          {Kind: "replace"},
		"handover":          {Kind: "handover", InstanceShare: 1},
		"killed":            {Kind: "kill", InstanceShare: 1},
		"parted":            {Kind: "partition", InstanceShare: 1},
		"stopped":           {Kind: "stop", InstanceShare: 1},
		"stands still":      {Kind: "stall", InstanceShare: 1},
		"drained":           {Kind: "away", InstanceShare: 1},
		"reloaded":          {Kind: "reload", InstanceShare: 1},
		"an older list":     {Kind: "stale", InstanceShare: 1},
		"a list again":      {Kind: "again", InstanceShare: 1},
		"callers go":        {Kind: "gone", Factor: scenario.Range{From: 0.3, To: 0.3}},
		"callers dribble":   {Kind: "dribble", Factor: scenario.Range{From: 0.5, To: 0.5}},
		"an id twice":       {Kind: "twice", Factor: scenario.Range{From: 0.3, To: 0.3}},
		"no requests":       {Kind: "junk", Factor: scenario.Range{From: 0.3, To: 0.3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x.Start, x.Duration, x.ServerShare = scenario.DurationRange{From: time.Second, To: time.Second}, scenario.DurationRange{From: time.Second, To: time.Second}, 0.25
			floor := 0.85
			switch x.Kind {
			case "kill", "stop":
				x.Duration, floor = scenario.DurationRange{From: 200 * time.Millisecond, To: 200 * time.Millisecond}, 0.5
			case "away", "gone", "twice", "stall": // callers have gone or are to go
				floor = 0.5
			}
			began := time.Now()
			r, err := Play(t.Context(), bubble(t), brief(x), 3, Options{Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%v: service %.3f of %d, %d attempts", time.Since(began), r.Service, r.Offered, r.Attempts)
			if len(r.ViolationCounts) > 0 || r.Service < floor || r.Offered < 100 {
				t.Errorf("service %.3f of %d, broken %v, %+v", r.Service, r.Offered, r.ViolationCounts, r.Violations)
			}
		})
	}
}

// Callers that go while a broker stands still are sent nothing for once it goes on: they have been gone for longer than
// any attempt may begin after.
func TestCallersGoWhileItStandsStill(t *testing.T) {
	at := scenario.DurationRange{From: time.Second, To: time.Second}
	s := brief(scenario.InjectedFault{Kind: "stall", InstanceShare: 1, Start: at, Duration: scenario.DurationRange{From: 400 * time.Millisecond, To: 400 * time.Millisecond}},
		scenario.InjectedFault{
			Kind: "gone", Start: at, Duration: scenario.DurationRange{From: 300 * time.Millisecond, To: 300 * time.Millisecond},
			Factor: scenario.Range{From: 1, To: 1},
		})
	s.Callers.Rate = scenario.Range{From: 200, To: 200}
	r, err := Play(t.Context(), bubble(t), s, 3, Options{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.ViolationCounts) > 0 || r.Service < 0.5 {
		t.Errorf("service %.3f, broken %v, %+v", r.Service, r.ViolationCounts, r.Violations)
	}
}

// A process that is killed between any two steps of a handover, on either side of it, breaks no rule: what it had is
// lost with it, and what the other one has is served.
func TestKilledBetweenSteps(t *testing.T) {
	for _, step := range []string{"offered", "accepted", "go on", "started"} {
		for _, old := range []bool{true, false} {
			for _, nth := range []int64{1, 2, 4} {
				t.Run(fmt.Sprintf("%s %d, the old one %v", step, nth, old), func(t *testing.T) {
					t.Parallel()
					var n atomic.Int64
					s := brief(scenario.InjectedFault{Kind: "handover", InstanceShare: 1, Start: scenario.DurationRange{From: time.Second, To: time.Second}})
					r, err := Play(t.Context(), bubble(t), s, 5, Options{Dir: t.TempDir(), KillAt: func(at string) (bool, bool) {
						hit := at == step && n.Add(1) == nth
						return hit && old, hit && !old
					}})
					if err != nil {
						t.Fatal(err)
					}
					if n.Load() < nth {
						t.Fatalf("%d steps of this kind only", n.Load())
					}
					if len(r.ViolationCounts) > 0 || r.Service < 0.5 {
						t.Errorf("service %.3f, broken %v, %+v", r.Service, r.ViolationCounts, r.Violations)
					}
				})
			}
		}
	}
}

// wrongDials is a network whose connections are made in some way.
type wrongDials struct {
	http1.Network
	before func()
	twice  bool // and leaves one open
}

func (n wrongDials) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	if n.before != nil {
		n.before()
	}
	if n.twice {
		n.Network.Dial(ctx, address, within)
	}
	return n.Network.Dial(ctx, address, within)
}

// A broker that loops without waiting, and one that leaves a goroutine behind, are named; neither hangs the run.
func TestLoopsAndLeaks(t *testing.T) {
	var spins, once atomic.Bool
	spins.Store(true)
	told := ""
	spin := func() {
		for once.CompareAndSwap(false, true); spins.Load(); {
			continue // without waiting, which is the fault to be found
		}
	}
	wrong := func(before func()) func(http1.Network, net.Listener) (http1.Network, net.Listener) {
		return func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
			return wrongDials{Network: n, before: before}, l
		}
	}
	o := Options{Dir: t.TempDir(), StuckFor: 300 * time.Millisecond, Wrong: wrong(spin), Stuck: func(stacks string) {
		told = stacks
		spins.Store(false)
	}}
	if _, err := Play(t.Context(), bubble(t), brief(), 3, o); err != nil {
		t.Errorf("once it waits again the run goes on, not: %v", err)
	}
	if !strings.Contains(told, "TestLoopsAndLeaks") || !strings.Contains(told, "wrongDials") {
		t.Errorf("who loops is not named: %.300s", told)
	}
	o = Options{Dir: t.TempDir(), Wrong: wrong(func() { go func() { select {} }() })}
	if _, err := Play(t.Context(), bubble(t), brief(), 3, o); err == nil || !strings.Contains(err.Error(), "goroutines are left") {
		t.Errorf("a goroutine that is left: %v", err)
	}
	o = Options{Dir: t.TempDir(), Wrong: func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return wrongDials{Network: n, twice: true}, l
	}}
	if _, err := Play(t.Context(), bubble(t), brief(), 3, o); err == nil || !strings.Contains(err.Error(), "connections") {
		t.Errorf("connections that are left: %v", err)
	}
}
