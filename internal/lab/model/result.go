package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

// Result is the outcome of one run. The JSON keys are the format of result files and must not change.
type Result struct {
	Scenario string `json:"scenario"`
	// Engine is the engine that ran the scenario: sim, real or whole.
	Engine    string `json:"engine"`
	Seed      uint64 `json:"seed"`
	Instances int    `json:"instances"`
	Servers   int    `json:"servers"`
	// Offered counts the operations for which clients sent at least one request.
	Offered int `json:"asked"`
	// Suppressed counts the operations that were not sent because too many were open.
	Suppressed int `json:"unmade"`
	// Requests counts the requests that clients sent to instances, including retries.
	Requests int `json:"tries"`
	// Attempts counts the attempts that instances sent to servers.
	Attempts int `json:"attempts"`
	// Connects counts the opened connections, if the scenario gives them a cost.
	Connects int `json:"connects,omitempty"`
	// Served counts the operations that were answered within the latency target of their class.
	Served int `json:"served"`
	// Late counts the operations that were answered after the latency target.
	Late int `json:"late"`
	// Refused, Failed, Unreachable and TimedOut count the operations with these outcomes.
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
	Unreachable int `json:"unheard"`
	TimedOut    int `json:"timedOut"`
	// Open counts the operations without an outcome at the end of the run.
	Open int `json:"open"`
	// Service is the share of served operations among all that were offered or suppressed.
	Service float64 `json:"service"`
	// WorstSecond is the lowest share served within one second. Seconds with few operations do not count.
	WorstSecond float64 `json:"worst"`
	// RecoverySeconds is the time from the end of the last fault until the service has recovered; -1 if it
	// never recovers.
	RecoverySeconds float64 `json:"back"`
	// P50 and P99 are percentiles of the latency of answered operations, in seconds, including retries.
	P50     float64       `json:"p50"`
	P99     float64       `json:"p99"`
	Classes []ClassResult `json:"classes"`
	Teams   []TeamResult  `json:"teams,omitempty"`
	Seconds []Second      `json:"seconds"`
	// ViolationCounts is the number of violations of each rule.
	ViolationCounts map[string]int    `json:"broken"`
	Violations      []rules.Violation `json:"violations,omitempty"`
	// FactsSent counts the replicated facts that instances sent to each other.
	FactsSent int `json:"replicated,omitempty"`
	// PropagationSeconds contains, for each fact that reached 0.99 of the instances of its tier, the time until
	// it did.
	PropagationSeconds []float64 `json:"spread,omitempty"`
	// AppliedAdvice counts the servers that instances have ejected on the facts of other instances (peer ejections).
	AppliedAdvice int `json:"heeded,omitempty"`
	// Budgets is set if the instances share quotas by leases.
	Budgets *Budgets `json:"budgets,omitempty"`
	// Views is set if the instances keep views of the fleet.
	Views *Views `json:"views,omitempty"`

	latency   *hdrhistogram.Histogram
	faultsEnd time.Duration
}

// Budgets measures how well the teams' quotas were distributed among the instances.
type Budgets struct {
	// UsedShare is the admitted share of the quotas, over all seconds in which a team offered at least its
	// quota.
	UsedShare float64 `json:"used"`
	// OverloadedSeconds is the number of such seconds, summed over the teams.
	OverloadedSeconds int `json:"over"`
	// ShortSeconds is the time, from the fifth second on, in which the allotments of live instances summed to
	// less than 0.95 of some quota.
	ShortSeconds float64 `json:"short"`
	// MaxAllotted is the highest sum of allotments at any time, as a multiple of the quota.
	MaxAllotted float64 `json:"most"`

	used, quota float64
}

// RecordSecond records one second of a team: the offered requests, those admitted within the quota, and the
// quota itself. Seconds with fewer offered requests than the quota do not count.
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
	// Digests maps the digest of each view to the number of instances that hold it.
	Digests     map[string]int `json:"digests"`
	Suspicions  uint64         `json:"suspicions"`
	Refutations uint64         `json:"refutations"`
	Deaths      uint64         `json:"deaths"`
	// BytesOut is the number of bytes of the gossip packets that were sent.
	BytesOut uint64 `json:"bytesOut"`
}

// ClassResult is the part of a result for one class of request.
type ClassResult struct {
	Name    string `json:"name"`
	Offered int    `json:"asked"`
	Served  int    `json:"served"`
}

// TeamResult is the part of a result for one team.
type TeamResult struct {
	ClassResult
	// Floods is set if a fault of the scenario makes the team exceed its share.
	Floods bool `json:"floods,omitempty"`
}

// NonFloodingService returns the served share of the operations of all teams that do not flood. It is 1 if
// there are no such operations.
func (r *Result) NonFloodingService() float64 {
	offered, served := 0, 0
	for _, t := range r.Teams {
		if !t.Floods {
			offered, served = offered+t.Offered, served+t.Served
		}
	}
	if offered == 0 {
		return 1
	}
	return float64(served) / float64(offered)
}

// Second is the outcome of the operations created in one second of the run.
type Second struct {
	Offered int `json:"asked"`
	Served  int `json:"served"`
}

const (
	// minOfferedPerSecond is the minimum number of operations for which a second counts in WorstSecond.
	minOfferedPerSecond = 20
	// recoveredService is the minimum served share of a second that counts as recovered.
	recoveredService = 0.95
	// recoverySeconds is the number of consecutive recovered seconds after which the recovery is complete.
	recoverySeconds = 3
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
	for _, fault := range s.InjectedFaults {
		if i := s.TeamIndex(fault.Team); fault.Kind == "flood" && i >= 0 {
			r.Teams[i].Floods = true
		}
		r.faultsEnd = max(r.faultsEnd, fault.Start.To+fault.Duration.To)
	}
	return r
}

// second returns the entry of the second in which an operation was created.
func (r *Result) second(op *operation) *Second {
	return &r.Seconds[int((op.createdAt - Origin).Seconds())]
}

// recordOffered counts an operation for which the client sends its first request.
func (r *Result) recordOffered(_ *World, op *operation) {
	r.Offered++
	r.Classes[op.class].Offered++
	if len(r.Teams) > 0 {
		r.Teams[op.team].Offered++
	}
	r.second(op).Offered++
}

// recordOutcome counts the final outcome of an operation.
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

// summarize computes the shares, percentiles and the recovery time at the end of the run.
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
