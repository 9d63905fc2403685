package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

// Result is the outcome of one run. Its JSON keys are the format of result files and journals and
// stay as they are.
type Result struct {
	Scenario string `json:"scenario"`
	// The engine that ran the scenario: sim, real or whole.
	Engine    string `json:"engine"`
	Seed      uint64 `json:"seed"`
	Instances int    `json:"instances"`
	Servers   int    `json:"servers"`
	// Operations that clients sent at least one request for.
	Offered int `json:"asked"`
	// Operations not sent because too many were open.
	Suppressed int `json:"unmade"`
	// Requests sent by clients to instances, retries included.
	Requests int `json:"tries"`
	// Attempts sent by instances to servers.
	Attempts int `json:"attempts"`
	// Connections opened, where the scenario gives them a cost.
	Connects int `json:"connects,omitempty"`
	// Operations answered within the latency target of their class.
	Served int `json:"served"`
	// Operations answered after the latency target.
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Operations that found no instance to connect to.
	Unreachable int `json:"unheard"`
	TimedOut    int `json:"timedOut"`
	// Operations without an outcome at the end of the run.
	Open int `json:"open"`
	// Served operations as a share of all that were offered or suppressed.
	Service float64 `json:"service"`
	// The lowest share served in one second, of the seconds with enough operations to count.
	WorstSecond float64 `json:"worst"`
	// Seconds from the end of the last fault until service has recovered; -1 if it never does.
	RecoverySeconds float64 `json:"back"`
	// Median latency of answered operations, in seconds, retries included.
	P50     float64       `json:"p50"`
	P99     float64       `json:"p99"`
	Classes []ClassResult `json:"classes"`
	Teams   []TeamResult  `json:"teams,omitempty"`
	Seconds []Second      `json:"seconds"`
	// Violations by rule.
	ViolationCounts map[string]int    `json:"broken"`
	Violations      []rules.Violation `json:"violations,omitempty"`
	// Replicated facts sent between instances.
	FactsSent int `json:"replicated,omitempty"`
	// For each fact that reached 0.99 of the instances of its tier, the seconds until it did.
	PropagationSeconds []float64 `json:"spread,omitempty"`
	// Times that advice from other instances changed an ejection or a trial request.
	AppliedAdvice int `json:"heeded,omitempty"`
	// Fleet-wide budgets, where quotas are shared by leases.
	Budgets *Budgets `json:"budgets,omitempty"`
	// Views of the fleet at the end, where the instances keep them.
	Views *Views `json:"views,omitempty"`

	latency   *hdrhistogram.Histogram
	faultsEnd time.Duration
}

// Budgets measures how well the teams' quotas were divided among the instances.
type Budgets struct {
	// The share of quota that was admitted, over all seconds in which a team asked for at least its
	// quota.
	UsedShare float64 `json:"used"`
	// The number of such seconds, summed over the teams.
	OverloadedSeconds int `json:"over"`
	// Seconds, from the fifth on, in which the allotments of live instances summed to less than 0.95
	// of a quota.
	ShortSeconds float64 `json:"short"`
	// The highest sum of allotments at one time, as a multiple of the quota.
	MaxAllotted float64 `json:"most"`

	used, quota float64
}

// RecordSecond adds one second of a team: the requests it offered, those admitted within quota, and
// the quota itself. Seconds below the quota do not count.
func (b *Budgets) RecordSecond(offered, within, quota float64) {
	if offered < quota {
		return
	}
	b.OverloadedSeconds++
	b.used += within
	b.quota += quota
	b.UsedShare = b.used / b.quota
}

// Views summarizes the instances' views of the fleet at the end, with counters summed over the
// instances.
type Views struct {
	// The number of instances that hold each view, by its digest.
	Digests     map[string]int `json:"digests"`
	Suspicions  uint64         `json:"suspicions"`
	Refutations uint64         `json:"refutations"`
	Deaths      uint64         `json:"deaths"`
	// Bytes of gossip packets sent.
	BytesOut uint64 `json:"bytesOut"`
}

// ClassResult is the part of a result that belongs to one class of request.
type ClassResult struct {
	Name    string `json:"name"`
	Offered int    `json:"asked"`
	Served  int    `json:"served"`
}

// TeamResult is the part of a result that belongs to one team.
type TeamResult struct {
	ClassResult
	// A fault of the scenario has this team exceed its share.
	Floods bool `json:"floods,omitempty"`
}

// NonFloodingService is the share served of the operations of all teams that do not flood, 1 where
// there are none.
func (r *Result) NonFloodingService() float64 {
	asked, served := 0, 0
	for _, t := range r.Teams {
		if !t.Floods {
			asked, served = asked+t.Offered, served+t.Served
		}
	}
	if asked == 0 {
		return 1
	}
	return float64(served) / float64(asked)
}

// Second is the outcome of the operations created in one second of the run.
type Second struct {
	Offered int `json:"asked"`
	Served  int `json:"served"`
}

const (
	// minOfferedPerSecond is the least number of operations for which a second counts in WorstSecond.
	minOfferedPerSecond = 20
	// recoveredService is the share served from which on a second counts as recovered; recoverySeconds
	// of them in a row end the recovery.
	recoveredService = 0.95
	recoverySeconds  = 3
)

func newResult(s *scenario.Scenario, seed uint64) *Result {
	r := &Result{
		Scenario: s.Name, Engine: "sim", Seed: seed, Instances: s.Broker.Instances, Servers: s.Servers.Count, RecoverySeconds: -1,
		Classes: make([]ClassResult, len(s.Classes)), Seconds: make([]Second, 1+int(time.Duration(s.Duration).Seconds())),
		latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	for i, c := range s.Classes {
		r.Classes[i].Name = c.Name
	}
	for _, team := range s.Teams {
		r.Teams = append(r.Teams, TeamResult{ClassResult: ClassResult{Name: team.Name}})
	}
	for _, team := range s.InjectedFaults {
		if i := s.TeamIndex(team.Team); team.Kind == "flood" && i >= 0 {
			r.Teams[i].Floods = true
		}
		r.faultsEnd = max(r.faultsEnd, team.Start.To+team.Duration.To)
	}
	return r
}

func (r *Result) second(op *operation) *Second {
	return &r.Seconds[int((op.createdAt - Origin).Seconds())]
}

func (r *Result) recordOffered(_ *World, op *operation) {
	r.Offered++
	r.Classes[op.class].Offered++
	if len(r.Teams) > 0 {
		r.Teams[op.team].Offered++
	}
	r.second(op).Offered++
}

func (r *Result) recordOutcome(w *World, op *operation, outcome string) {
	w.Checker.ForgetOrigin(op.origin())
	switch latency := w.Now() - op.createdAt; {
	case outcome == Served && latency <= time.Duration(w.Scenario.Classes[op.class].LatencyTarget):
		r.Served++
		r.Classes[op.class].Served++
		if len(r.Teams) > 0 {
			r.Teams[op.team].Served++
		}
		r.second(op).Served++
		r.latency.RecordValue(latency.Microseconds())
	case outcome == Served:
		r.Late++
		r.latency.RecordValue(latency.Microseconds())
	case outcome == Refused:
		r.Refused++
	case outcome == Failed:
		r.Failed++
	case outcome == Unreachable:
		r.Unreachable++
	default:
		r.TimedOut++
	}
}

func (r *Result) summarize(w *World) {
	r.Open = w.openOperations
	r.ViolationCounts, r.Violations = w.Checker.Counts(), w.Checker.Violations()
	if total := r.Offered + r.Suppressed; total > 0 {
		r.Service = float64(r.Served) / float64(total)
	}
	r.WorstSecond = 1
	recovered := 0
	for i, s := range r.Seconds {
		service := 1.0
		if s.Offered > 0 {
			service = float64(s.Served) / float64(s.Offered)
		}
		if s.Offered >= minOfferedPerSecond {
			r.WorstSecond = min(r.WorstSecond, service)
		}
		if after := float64(i) - r.faultsEnd.Seconds(); after >= 0 && r.RecoverySeconds < 0 {
			if recovered++; service < recoveredService {
				recovered = 0
			}
			if recovered == recoverySeconds {
				r.RecoverySeconds = max(after-recoverySeconds+1, 0)
			}
		}
	}
	r.P50, r.P99 = float64(r.latency.ValueAtQuantile(50))/1e6, float64(r.latency.ValueAtQuantile(99))/1e6
}
