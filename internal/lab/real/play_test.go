package real

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dykering/internal/core"
	"dykering/internal/lab/faultnet"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
	"dykering/internal/sidecar"
	"dykering/internal/tomlconfig"
)

// TestMain runs the tests. With the arguments "broker KIND" the test binary acts as a correct or a
// faulty broker instead.
func TestMain(m *testing.M) {
	if len(os.Args) < 3 || os.Args[1] != "broker" {
		os.Exit(m.Run())
	}
	fmt.Fprintln(os.Stderr, "pid", os.Getpid())
	var err error
	switch kind := os.Args[2]; kind {
	case "correct":
		operator := ""
		if len(os.Args) == 5 { // after --operator
			operator = os.Args[4]
		}
		err = sidecar.Main(os.Getenv, operator)
	case "exits":
		os.Exit(3)
	case "never ready":
		select {}
	default:
		err = runFaultyBroker(kind)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runFaultyBroker runs a broker that reports that it is ready and then shows the named fault. It sends
// requests to all listed servers in turn and ignores drains.
func runFaultyBroker(fault string) error {
	go http.ListenAndServe(os.Getenv("BALANCER_CONTROL"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	if fault == "crashes" {
		time.Sleep(time.Second)
		panic("crash of the faulty test broker")
	}
	var c struct{ Discovery string }
	text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		return err
	}
	var l core.List
	res, err := http.Get("http://" + c.Discovery + "/v1/endpoints")
	if err != nil {
		return err
	}
	if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
		return err
	}
	if fault == "hangs" {
		select {}
	}
	socket, err := net.FileListener(os.NewFile(3, "socket"))
	if err != nil {
		return err
	}
	var sent atomic.Int64
	return http.Serve(socket, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sends := 1
		if fault == "sends all twice" {
			sends = 2
		}
		if fault == "drops every fifth" && sent.Load()%5 == 0 {
			sent.Add(1)
			panic(http.ErrAbortHandler)
		}
		status := http.StatusBadGateway
		for range sends {
			to := l.Targets[int(sent.Add(1))%len(l.Targets)]
			q, _ := http.NewRequest(r.Method, "http://"+to.Address+"/", bytes.NewReader(body))
			q.Header = r.Header
			if res, err := http.DefaultClient.Do(q); err == nil {
				res.Body.Close()
				status = res.StatusCode
			}
		}
		w.WriteHeader(status)
	}))
}

func shortScenario(t *testing.T, faults ...scenario.InjectedFault) *scenario.Scenario {
	t.Helper()
	s := scenario.Default()
	s.Duration = tomlconfig.Duration(3 * time.Second)
	s.Broker.Instances, s.Servers.Count = 1, 4
	s.Callers.Rate = scenario.Range{From: 60, To: 60}
	s.Teams = nil
	s.InjectedFaults = faults
	return s
}

func options(t *testing.T, fault string) Options {
	t.Helper()
	return Options{Command: []string{os.Args[0], "broker", fault}, Dir: t.TempDir()}
}

// Under faults of connections and processes the broker breaks no rule and serves most requests. It
// retries a request that cannot have been executed, or whose class allows a second execution.
func TestConnectionFaultsAreRetriedWhereAllowed(t *testing.T) {
	for name, testCase := range map[string]struct {
		scenario.InjectedFault
		retried bool // further attempts reach servers
	}{
		"reset in the head": {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "reset", Bytes: 9}, true},
		"reset before":      {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "reset"}, true},
		"cut in the head":   {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "cut", Bytes: 9}, true},
		"cut in the body":   {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "cut", Bytes: 120}, true},
		"half-close":        {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "half_close", Bytes: 9}, true},
		"stall":             {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "stall", Bytes: 9}, false},
		"slow read":         {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "slow_read", Bytes: 40}, false},
		"slow write":        {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "slow_write", Bytes: 40}, false},
		"garbage":           {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "garbage"}, true},
		"no handshake":      {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "syn"}, false},
		"vanish":            {scenario.InjectedFault{Kind: "vanish"}, false},
		"connections reset": {scenario.InjectedFault{Kind: "reset"}, false},
		"watches broken":    {scenario.InjectedFault{Kind: "break"}, false},
		"replaced":          {scenario.InjectedFault{Kind: "replace"}, false},
		"handover":          {scenario.InjectedFault{Kind: "handover", InstanceShare: 1}, false},
		"killed":            {scenario.InjectedFault{Kind: "kill", InstanceShare: 1}, false},
		"stalled":           {scenario.InjectedFault{Kind: "stall", InstanceShare: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fault := testCase.InjectedFault
			fault.Start, fault.Duration, fault.ServerShare = scenario.DurationRange{From: time.Second, To: time.Second}, scenario.DurationRange{From: time.Second, To: time.Second}, 0.25
			floor := 0.85
			if fault.Kind == "kill" || fault.Kind == "stall" {
				fault.Duration, floor = scenario.DurationRange{From: 200 * time.Millisecond, To: 200 * time.Millisecond}, 0.5
			}
			s := shortScenario(t, fault)
			s.DownstreamTiers = []scenario.DownstreamTier{{
				Name: "below", Instances: 1, Servers: 2, Calls: scenario.Range{From: 1, To: 1},
				Work: scenario.Range{From: 0.002, To: 0.004}, ReservedShare: 0.1,
			}}
			r, err := Play(t.Context(), s, 3, options(t, "correct"))
			if err != nil {
				t.Fatal(err)
			}
			if len(r.ViolationCounts) > 0 || r.Service < floor || r.Offered < 100 {
				t.Errorf("service share %.3f of %d offered requests, violations %v: %+v", r.Service, r.Offered, r.ViolationCounts, r.Violations)
			}
			if testCase.retried && r.Attempts <= 2*r.Requests { // each request leads to a call to the next tier
				t.Errorf("no retries: %d attempts for %d requests in two tiers", r.Attempts, r.Requests)
			}
		})
	}
}

// The checker reports a broker that breaks a rule under the name of that rule.
func TestCheckerReportsRuleThatFaultyBrokerBreaks(t *testing.T) {
	drain := scenario.InjectedFault{
		Kind: "drain", ServerShare: 0.5, Start: scenario.DurationRange{From: 200 * time.Millisecond, To: 200 * time.Millisecond},
		Duration: scenario.DurationRange{From: 4 * time.Second, To: 4 * time.Second},
	}
	for kind, rule := range map[string]string{
		"hangs": rules.Time, "drops every fifth": rules.Answer, "sends all twice": rules.Effect,
		"ignores drains": rules.Drain,
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s := shortScenario(t, drain)
			s.Servers.DrainGrace, s.Discovery.Delay = tomlconfig.Duration(100*time.Millisecond), scenario.DurationRange{}
			s.Callers.AttemptTimeout = tomlconfig.Duration(time.Second)
			r, err := Play(t.Context(), s, 3, options(t, kind))
			if err != nil {
				t.Fatal(err)
			}
			if r.ViolationCounts[rule] == 0 {
				t.Errorf("the checker did not report rule %s, only %v", rule, r.ViolationCounts)
			}
			for _, v := range r.Violations {
				if v.Rule == rule && len(v.History) == 0 {
					t.Errorf("violation without a history: %+v", v)
				}
			}
		})
	}
}

// A run ends soon and leaves no process behind if its broker exits, hangs or never becomes ready, or if
// the run is cancelled. The error quotes the end of the log if the broker failed.
func TestFailingBrokerEndsRunWithItsLog(t *testing.T) {
	for kind, want := range map[string]string{
		"exits": "exit status 3", "never ready": "could not serve within", "crashes": "crash of the faulty test broker",
		"hangs": "canceled", "correct": "canceled",
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			o := options(t, kind)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if want == "canceled" {
				time.AfterFunc(2*time.Second, cancel)
			}
			s := shortScenario(t)
			s.Duration = tomlconfig.Duration(time.Minute)
			began := time.Now()
			_, err := Play(ctx, s, 3, o)
			if err == nil || !strings.Contains(err.Error(), want) || time.Since(began) > readyTimeout+stopTimeout+10*time.Second {
				t.Errorf("the run ended after %v with error %v, want one with %q", time.Since(began), err, want)
			}
			logs, _ := filepath.Glob(filepath.Join(o.Dir, "*", "log"))
			if len(logs) != 1 {
				t.Fatalf("the run left the logs %v, want one", logs)
			}
			text, _ := os.ReadFile(logs[0])
			m := regexp.MustCompile(`pid (\d+)`).FindSubmatch(text)
			if m == nil {
				t.Fatalf("the log has no process id: %q", text)
			}
			pid, _ := strconv.Atoi(string(m[1]))
			if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
				t.Errorf("process %d is still running: %v", pid, err)
			}
		})
	}
}

// Play refuses a scenario that only the engine in virtual time can play before it starts a process.
func TestPlayRefusesWhatOnlyVirtualTimePlays(t *testing.T) {
	s := shortScenario(t, scenario.InjectedFault{Kind: "partition"})
	if _, err := Play(t.Context(), s, 1, options(t, "correct")); err == nil || !strings.Contains(err.Error(), "trouble[0]") {
		t.Errorf("playing a partition on real sockets: error %v, want one with trouble[0]", err)
	}
	s = shortScenario(t)
	s.Broker.Instances = maxInstances + 1
	if _, err := Play(t.Context(), s, 1, options(t, "correct")); err == nil || !strings.Contains(err.Error(), "instances") {
		t.Errorf("playing more than maxInstances instances: error %v, want one with the number of instances", err)
	}
}

// A fleet serves while one broker is killed and restarted, another is suspended, and a partition cuts
// gossip and heals. At the end all brokers hold the same view.
func TestFleetConvergesAfterFaults(t *testing.T) {
	t.Parallel()
	s := shortScenario(t)
	s.Duration = tomlconfig.Duration(14 * time.Second)
	s.Broker.Instances, s.Broker.Fleet = 4, true
	at := func(seconds int) tomlconfig.Duration {
		return tomlconfig.Duration(time.Duration(seconds) * time.Second)
	}
	b := func(i int) string { return fmt.Sprintf("broker-0-%d", i) }
	s.NetworkFaults = []faultnet.Step{
		{At: at(1), Do: "kill", Member: b(1)},
		{At: at(2), Do: "stop", Member: b(2)},
		{At: at(3), Do: "cont", Member: b(2)},
		{At: at(4), Do: "start", Member: b(1)},
		{At: at(5), Do: "cut", Sets: [][]string{{b(0), b(1)}, {b(2), b(3)}}},
		{At: at(9), Do: "heal"},
	}
	if problems := s.Check(); len(problems) > 0 {
		t.Fatal(problems)
	}
	r, err := Play(t.Context(), s, 3, options(t, "correct"))
	if err != nil {
		t.Fatal(err)
	}
	if len(r.ViolationCounts) > 0 || len(r.Views.Digests) != 1 || r.Views.Deaths == 0 || r.Views.Suspicions < r.Views.Deaths || r.Service < 0.5 {
		t.Errorf("service share %.3f, violations %v, views %+v", r.Service, r.ViolationCounts, r.Views)
	}
	s.Broker.Fleet = false
	if problems := s.Check(); len(problems) != 1 || !strings.Contains(problems[0].Error(), "broker.fleet") {
		t.Errorf("check of network faults without a fleet: %v", problems)
	}
}
