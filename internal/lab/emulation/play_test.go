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

func shortScenario(faults ...scenario.InjectedFault) *scenario.Scenario {
	s := scenario.Default()
	s.Duration = tomlconfig.Duration(3 * time.Second)
	s.Broker.Instances, s.Servers.Count = 1, 4
	s.Callers.Rate = scenario.Range{From: 60, To: 60}
	s.Teams = nil
	s.InjectedFaults = faults
	s.DownstreamTiers = []scenario.DownstreamTier{{
		Name: "below", Instances: 1, Servers: 2, Calls: scenario.Range{From: 1, To: 1},
		Work: scenario.Range{From: 0.002, To: 0.004}, ReservedShare: 0.1,
	}}
	return s
}

// Under faults of connections, servers, lists and brokers in virtual time the broker breaks no rule and
// serves most requests.
func TestInjectedFaultsKeepRulesAndService(t *testing.T) {
	for name, fault := range map[string]scenario.InjectedFault{
		"none":              {Kind: "break"},
		"reset in the head": {Kind: "bytes", ConnectionFault: "reset", Bytes: 9},
		"cut in the body":   {Kind: "bytes", ConnectionFault: "cut", Bytes: 120},
		"half-close":        {Kind: "bytes", ConnectionFault: "half_close", Bytes: 9},
		"stall":             {Kind: "bytes", ConnectionFault: "stall", Bytes: 9},
		"slow read":         {Kind: "bytes", ConnectionFault: "slow_read", Bytes: 40},
		"slow write":        {Kind: "bytes", ConnectionFault: "slow_write", Bytes: 40},
		"garbage":           {Kind: "bytes", ConnectionFault: "garbage"},
		"no handshake":      {Kind: "bytes", ConnectionFault: "syn"},
		"vanish":            {Kind: "vanish"},
		"connections reset": {Kind: "reset"},
		"replaced":          {Kind: "replace"},
		"handover":          {Kind: "handover", InstanceShare: 1},
		"killed":            {Kind: "kill", InstanceShare: 1},
		"partitioned":       {Kind: "partition", InstanceShare: 1},
		"stopped":           {Kind: "stop", InstanceShare: 1},
		"stalled":           {Kind: "stall", InstanceShare: 1},
		"drained":           {Kind: "away", InstanceShare: 1},
		"reloaded":          {Kind: "reload", InstanceShare: 1},
		"older list":        {Kind: "stale", InstanceShare: 1},
		"repeated list":     {Kind: "again", InstanceShare: 1},
		"clients depart":    {Kind: "gone", Factor: scenario.Range{From: 0.3, To: 0.3}},
		"slow clients":      {Kind: "dribble", Factor: scenario.Range{From: 0.5, To: 0.5}},
		"duplicate id":      {Kind: "twice", Factor: scenario.Range{From: 0.3, To: 0.3}},
		"malformed request": {Kind: "junk", Factor: scenario.Range{From: 0.3, To: 0.3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fault.Start, fault.Duration, fault.ServerShare = scenario.DurationRange{From: time.Second, To: time.Second}, scenario.DurationRange{From: time.Second, To: time.Second}, 0.25
			floor := 0.85
			switch fault.Kind {
			case "kill", "stop":
				fault.Duration, floor = scenario.DurationRange{From: 200 * time.Millisecond, To: 200 * time.Millisecond}, 0.5
			case "away", "gone", "twice", "stall": // clients depart, or are sent to other instances
				floor = 0.5
			}
			began := time.Now()
			r, err := Play(t.Context(), bubble(t), shortScenario(fault), 3, Options{Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%v: service share %.3f of %d offered requests, %d attempts", time.Since(began), r.Service, r.Offered, r.Attempts)
			if len(r.ViolationCounts) > 0 || r.Service < floor || r.Offered < 100 {
				t.Errorf("service share %.3f of %d offered requests, violations %v: %+v", r.Service, r.Offered, r.ViolationCounts, r.Violations)
			}
		})
	}
}

// After a stall a broker sends no attempt for a client that departed during the stall, if more time has
// passed than the rules allow between a departure and an attempt.
func TestStalledBrokerSendsNothingForDepartedClients(t *testing.T) {
	at := scenario.DurationRange{From: time.Second, To: time.Second}
	s := shortScenario(
		scenario.InjectedFault{
			Kind: "stall", InstanceShare: 1, Start: at,
			Duration: scenario.DurationRange{From: 400 * time.Millisecond, To: 400 * time.Millisecond},
		},
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
		t.Errorf("service share %.3f, violations %v: %+v", r.Service, r.ViolationCounts, r.Violations)
	}
}

// A kill of either process between any two steps of a handover breaks no rule. The requests of the killed
// process are lost, and those of the other process are served.
func TestKillBetweenHandoverStepsKeepsRules(t *testing.T) {
	for _, step := range []string{"offered", "accepted", "go on", "started"} {
		for _, killPredecessor := range []bool{true, false} {
			for _, nth := range []int64{1, 2, 4} {
				t.Run(fmt.Sprintf("%s %d, kill predecessor %v", step, nth, killPredecessor), func(t *testing.T) {
					t.Parallel()
					var n atomic.Int64
					s := shortScenario(scenario.InjectedFault{Kind: "handover", InstanceShare: 1, Start: scenario.DurationRange{From: time.Second, To: time.Second}})
					r, err := Play(t.Context(), bubble(t), s, 5, Options{Dir: t.TempDir(), KillAt: func(at string) (bool, bool) {
						hit := at == step && n.Add(1) == nth
						return hit && killPredecessor, hit && !killPredecessor
					}})
					if err != nil {
						t.Fatal(err)
					}
					if n.Load() < nth {
						t.Fatalf("the run reached the step %q only %d times, want %d", step, n.Load(), nth)
					}
					if len(r.ViolationCounts) > 0 || r.Service < 0.5 {
						t.Errorf("service share %.3f, violations %v: %+v", r.Service, r.ViolationCounts, r.Violations)
					}
				})
			}
		}
	}
}

// faultyDialer is a network that runs a function before each dial, or leaks a connection with each dial.
type faultyDialer struct {
	http1.Network
	before func()
	leaks  bool // dials twice and leaves one connection open
}

func (n faultyDialer) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	if n.before != nil {
		n.before()
	}
	if n.leaks {
		n.Network.Dial(ctx, address, within)
	}
	return n.Network.Dial(ctx, address, within)
}

// A run reports a broker that loops without waiting, one that leaks a goroutine and one that leaks a
// connection. None of them makes the run hang.
func TestBusyLoopsAndLeaksAreReported(t *testing.T) {
	var spins, once atomic.Bool
	spins.Store(true)
	stacksReported := ""
	spin := func() {
		for once.CompareAndSwap(false, true); spins.Load(); {
			continue // busy loop: the fault that the run has to report
		}
	}
	wrap := func(before func()) func(http1.Network, net.Listener) (http1.Network, net.Listener) {
		return func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
			return faultyDialer{Network: n, before: before}, l
		}
	}
	o := Options{Dir: t.TempDir(), StuckTimeout: 300 * time.Millisecond, WrapNetwork: wrap(spin), OnStuck: func(stacks string) {
		stacksReported = stacks
		spins.Store(false)
	}}
	if _, err := Play(t.Context(), bubble(t), shortScenario(), 3, o); err != nil {
		t.Errorf("the run did not continue after the busy loop ended: %v", err)
	}
	if !strings.Contains(stacksReported, "TestBusyLoopsAndLeaksAreReported") || !strings.Contains(stacksReported, "faultyDialer") {
		t.Errorf("the reported stacks do not contain the busy loop: %.300s", stacksReported)
	}
	o = Options{Dir: t.TempDir(), WrapNetwork: wrap(func() { go func() { select {} }() })}
	if _, err := Play(t.Context(), bubble(t), shortScenario(), 3, o); err == nil || !strings.Contains(err.Error(), "goroutines that are still blocked") {
		t.Errorf("run with a leaked goroutine: error %v", err)
	}
	o = Options{Dir: t.TempDir(), WrapNetwork: func(n http1.Network, l net.Listener) (http1.Network, net.Listener) {
		return faultyDialer{Network: n, leaks: true}, l
	}}
	if _, err := Play(t.Context(), bubble(t), shortScenario(), 3, o); err == nil || !strings.Contains(err.Error(), "connections") {
		t.Errorf("run with leaked connections: error %v", err)
	}
}
