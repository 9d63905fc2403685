package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

// Result is what came of a run.
type Result struct {
	Scenario   string            `json:"scenario"`
	Engine     string            `json:"engine"` // sim or real
	Seed       uint64            `json:"seed"`
	Instances  int               `json:"instances"`
	Servers    int               `json:"servers"`
	Asked      int               `json:"asked"`  // requests that clients wanted
	Unmade     int               `json:"unmade"` // of them, beyond what may be open: callers ask for more than is ever answered
	Tries      int               `json:"tries"`
	Attempts   int               `json:"attempts"`
	Connects   int               `json:"connects,omitempty"` // connections opened, where they cost
	Served     int               `json:"served"`             // in time
	Late       int               `json:"late"`
	Refused    int               `json:"refused"`
	Failed     int               `json:"failed"`
	Unheard    int               `json:"unheard"` // there was nobody to take it
	TimedOut   int               `json:"timedOut"`
	Open       int               `json:"open"` // at the end
	Service    float64           `json:"service"`
	Worst      float64           `json:"worst"` // of a second in which enough was asked
	Back       float64           `json:"back"`  // seconds from the end of the last trouble until service is back, -1 for never
	P50        float64           `json:"p50"`   // seconds from what a client wanted to its answer
	P99        float64           `json:"p99"`
	Classes    []ClassResult     `json:"classes"`
	Teams      []TeamResult      `json:"teams,omitempty"`
	Seconds    []Second          `json:"seconds"`
	Broken     map[string]int    `json:"broken"` // rules, and how often
	Violations []rules.Violation `json:"violations,omitempty"`
	Replicated int               `json:"replicated,omitempty"` // facts sent between brokers
	Spread     []float64         `json:"spread,omitempty"`     // seconds until a fact was at 0.99 of its tier's brokers
	Heeded     int               `json:"heeded,omitempty"`     // words of others that changed a mark or a trial
	Budgets    *Budgets          `json:"budgets,omitempty"`    // of the fleet, where quotas are divided
	Views      *Views            `json:"views,omitempty"`      // of the fleet, where the brokers keep them

	latency     *hdrhistogram.Histogram
	troubleEnds time.Duration
}

// Budgets are what came of dividing the teams' quotas among the brokers.
type Budgets struct {
	Used  float64 `json:"used"`  // of the quotas, in seconds in which a team asked for more than its quota: what was admitted within shares
	Over  int     `json:"over"`  // such seconds, summed over the teams
	Short float64 `json:"short"` // seconds, from the fifth on, in which living brokers' parts came to less than 0.95 of a quota
	Most  float64 `json:"most"`  // of any quota that parts came to at a time

	used, of float64
}

// Second takes in one second of a team: requests asked for and admitted within shares, of its quota.
func (b *Budgets) Second(asked, within, quota float64) {
	if asked < quota {
		return
	}
	b.Over++
	b.used += within
	b.of += quota
	b.Used = b.used / b.of
}

// Views are the brokers' views of the fleet at the end, and what they counted, summed over the brokers.
type Views struct {
	Digests     map[string]int `json:"digests"` // and how many brokers hold each
	Suspicions  uint64         `json:"suspicions"`
	Refutations uint64         `json:"refutations"`
	Deaths      uint64         `json:"deaths"`
	BytesOut    uint64         `json:"bytesOut"` // of packets
}

// ClassResult is what came of a class.
type ClassResult struct {
	Name   string `json:"name"`
	Asked  int    `json:"asked"`
	Served int    `json:"served"`
}

// TeamResult is what came of a team.
type TeamResult struct {
	ClassResult
	Floods bool `json:"floods,omitempty"` // for a time
}

// Others is the service of all teams that do not flood, 1 where there are none.
func (r *Result) Others() float64 {
	asked, served := 0, 0
	for _, t := range r.Teams {
		if !t.Floods {
			asked, served = asked+t.Asked, served+t.Served
		}
	}
	if asked == 0 {
		return 1
	}
	return float64(served) / float64(asked)
}

// Second is what came of what was asked in a second.
type Second struct {
	Asked  int `json:"asked"`
	Served int `json:"served"`
}

const (
	// enough is how many requests a second must have to count by itself.
	enough = 20
	// well is the service from which on it counts as back, for backFor seconds.
	well    = 0.95
	backFor = 3
)

func newResult(s *scenario.Scenario, seed uint64) *Result {
	r := &Result{
		Scenario: s.Name, Engine: "sim", Seed: seed, Instances: s.Broker.Instances, Servers: s.Servers.Count, Back: -1,
		Classes: make([]ClassResult, len(s.Classes)), Seconds: make([]Second, 1+int(time.Duration(s.Lasts).Seconds())),
		latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	for i, c := range s.Classes {
		r.Classes[i].Name = c.Name
	}
	for _, t := range s.Teams {
		r.Teams = append(r.Teams, TeamResult{ClassResult: ClassResult{Name: t.Name}})
	}
	for _, t := range s.Troubles {
		if i := s.TeamOf(t.Team); t.What == "flood" && i >= 0 {
			r.Teams[i].Floods = true
		}
		r.troubleEnds = max(r.troubleEnds, t.At.To+t.Lasts.To)
	}
	return r
}

func (r *Result) second(a *ask) *Second { return &r.Seconds[int((a.born - Origin).Seconds())] }

func (r *Result) ask(_ *World, a *ask) {
	r.Asked++
	r.Classes[a.class].Asked++
	if len(r.Teams) > 0 {
		r.Teams[a.team].Asked++
	}
	r.second(a).Asked++
}

func (r *Result) done(w *World, a *ask, how string) {
	w.Checker.Forget(a.origin())
	switch took := w.Now() - a.born; {
	case how == Served && took <= time.Duration(w.S.Classes[a.class].Aim):
		r.Served++
		r.Classes[a.class].Served++
		if len(r.Teams) > 0 {
			r.Teams[a.team].Served++
		}
		r.second(a).Served++
		r.latency.RecordValue(took.Microseconds())
	case how == Served:
		r.Late++
		r.latency.RecordValue(took.Microseconds())
	case how == Refused:
		r.Refused++
	case how == Failed:
		r.Failed++
	case how == Unheard:
		r.Unheard++
	default:
		r.TimedOut++
	}
}

func (r *Result) finish(w *World) {
	r.Open = w.open
	r.Broken, r.Violations = w.Checker.Counts(), w.Checker.Violations()
	if all := r.Asked + r.Unmade; all > 0 {
		r.Service = float64(r.Served) / float64(all)
	}
	r.Worst = 1
	in := 0
	for i, s := range r.Seconds {
		share := 1.0
		if s.Asked > 0 {
			share = float64(s.Served) / float64(s.Asked)
		}
		if s.Asked >= enough {
			r.Worst = min(r.Worst, share)
		}
		if after := float64(i) - r.troubleEnds.Seconds(); after >= 0 && r.Back < 0 {
			if in++; share < well {
				in = 0
			}
			if in == backFor {
				r.Back = max(after-backFor+1, 0)
			}
		}
	}
	r.P50, r.P99 = float64(r.latency.ValueAtQuantile(50))/1e6, float64(r.latency.ValueAtQuantile(99))/1e6
}
