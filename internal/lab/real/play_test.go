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

// TestMain lets the test binary act as a broker, a correct or a faulty one.
func TestMain(m *testing.M) {
	if len(os.Args) < 3 || os.Args[1] != "broker" {
		os.Exit(m.Run())
	}
	fmt.Fprintln(os.Stderr, "pid", os.Getpid())
	var err error
	switch how := os.Args[2]; how {
	case "right":
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
		err = runFaultyBroker(how)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runFaultyBroker runs a broker that reports to be ready and then has the named fault.
func runFaultyBroker(fault string) error {
	go http.ListenAndServe(os.Getenv("BALANCER_CONTROL"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	if fault == "crashes" {
		time.Sleep(time.Second)
		panic("as it is meant to")
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
	var turn atomic.Int64
	return http.Serve(socket, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sends := 1
		if fault == "sends all twice" {
			sends = 2
		}
		if fault == "forgets" && turn.Load()%5 == 0 {
			turn.Add(1)
			panic(http.ErrAbortHandler)
		}
		status := http.StatusBadGateway
		for range sends {
			to := l.Targets[int(turn.Add(1))%len(l.Targets)]
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

// Under faults of connections and processes the program keeps the rules and serves what can be served.
// Requests are retried where nothing can have run, or where their class allows it.
func TestConnectionFaultsAreRetriedWhereAllowed(t *testing.T) {
	for name, testCase := range map[string]struct {
		scenario.InjectedFault
		retried bool // further attempts reach servers
	}{
		"reset in the head":   {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "reset", Bytes: 9}, true},
		"reset before":        {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "reset"}, true},
		"cut in the head":     {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "cut", Bytes: 9}, true},
		"cut in the body":     {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "cut", Bytes: 120}, true},
		"half closed":         {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "half_close", Bytes: 9}, true},
		"stall":               {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "stall", Bytes: 9}, false},
		"slow read":           {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "slow_read", Bytes: 40}, false},
		"slow write":          {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "slow_write", Bytes: 40}, false},
		"garbage":             {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "garbage"}, true},
		"never up":            {scenario.InjectedFault{Kind: "bytes", ConnectionFault: "syn"}, false},
		"vanish":              {scenario.InjectedFault{Kind: "vanish"}, false},
		"connections reset":   {scenario.InjectedFault{Kind: "reset"}, false},
		"discovery broke off": {scenario.InjectedFault{Kind: "break"}, false},
		"replaced":            {scenario.InjectedFault{Kind: "replace"}, false},
		"handover":            {scenario.InjectedFault{Kind: "handover", InstanceShare: 1}, false},
		"killed":              {scenario.InjectedFault{Kind: "kill", InstanceShare: 1}, false},
		"stands still":        {scenario.InjectedFault{Kind: "stall", InstanceShare: 1}, false},
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
			r, err := Play(t.Context(), s, 3, options(t, "right"))
			if err != nil {
				t.Fatal(err)
			}
			if len(r.ViolationCounts) > 0 || r.Service < floor || r.Offered < 100 {
				t.Errorf("service %.3f of %d, broken %v, %+v", r.Service, r.Offered, r.ViolationCounts, r.Violations)
			}
			if testCase.retried && r.Attempts <= 2*r.Requests { // each request leads to a call to the next tier
				t.Errorf("%d attempts for %d tries", r.Attempts, r.Requests)
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
	for how, rule := range map[string]string{
		"hangs": rules.Time, "forgets": rules.Answer, "sends all twice": rules.Effect,
		"heeds no drain": rules.Drain,
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			s := shortScenario(t, drain)
			s.Servers.DrainGrace, s.Discovery.Delay = tomlconfig.Duration(100*time.Millisecond), scenario.DurationRange{}
			s.Callers.AttemptTimeout = tomlconfig.Duration(time.Second)
			r, err := Play(t.Context(), s, 3, options(t, how))
			if err != nil {
				t.Fatal(err)
			}
			if r.ViolationCounts[rule] == 0 {
				t.Errorf("not caught: %v", r.ViolationCounts)
			}
			for _, v := range r.Violations {
				if v.Rule == rule && len(v.History) == 0 {
					t.Errorf("without a history: %+v", v)
				}
			}
		})
	}
}

// A run whose broker exits, hangs or never becomes ready, and a run that is cancelled, ends soon with an
// error that quotes the log, and leaves no process behind.
func TestFailingBrokerEndsRunWithItsLog(t *testing.T) {
	for how, want := range map[string]string{
		"exits": "exit status 3", "never ready": "could not serve within", "crashes": "as it is meant to",
		"hangs": "canceled", "right": "canceled",
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			o := options(t, how)
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
				t.Errorf("after %v: %v", time.Since(began), err)
			}
			logs, _ := filepath.Glob(filepath.Join(o.Dir, "*", "log"))
			if len(logs) != 1 {
				t.Fatalf("logs: %v", logs)
			}
			text, _ := os.ReadFile(logs[0])
			m := regexp.MustCompile(`pid (\d+)`).FindSubmatch(text)
			if m == nil {
				t.Fatalf("its log: %q", text)
			}
			pid, _ := strconv.Atoi(string(m[1]))
			if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
				t.Errorf("process %d is still there: %v", pid, err)
			}
		})
	}
}

// Scenarios that only virtual time can play are refused at once.
func TestPlayRefusesWhatOnlyVirtualTimePlays(t *testing.T) {
	s := shortScenario(t, scenario.InjectedFault{Kind: "partition"})
	if _, err := Play(t.Context(), s, 1, options(t, "right")); err == nil || !strings.Contains(err.Error(), "trouble[0]") {
		t.Error(err)
	}
	s = shortScenario(t)
	s.Broker.Instances = maxInstances + 1
	if _, err := Play(t.Context(), s, 1, options(t, "right")); err == nil || !strings.Contains(err.Error(), "instances") {
		t.Error(err)
	}
}

// A fleet serves while one broker is killed and starts again later, one is stalled, and a partition cuts
// gossip and heals; at the end all brokers hold the same view.
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
	if wrong := s.Check(); len(wrong) > 0 {
		t.Fatal(wrong)
	}
	r, err := Play(t.Context(), s, 3, options(t, "right"))
	if err != nil {
		t.Fatal(err)
	}
	if len(r.ViolationCounts) > 0 || len(r.Views.Digests) != 1 || r.Views.Deaths == 0 || r.Views.Suspicions < r.Views.Deaths || r.Service < 0.5 {
		t.Errorf("service %.3f, broken %v, views %+v", r.Service, r.ViolationCounts, r.Views)
	}
	s.Broker.Fleet = false
	if wrong := s.Check(); len(wrong) != 1 || !strings.Contains(wrong[0].Error(), "broker.fleet") {
		t.Errorf("faults without a fleet: %v", wrong)
	}
}
