package settings

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"dykering/internal/decision"
)

// config is the JSON form of the settings, with the platform's keys. Times are in microseconds. The fixture in
// testdata/compatibility depends on the field names.
type config struct {
	Allowed struct {
		Cancel         bool  `json:"cancel"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		OpenCap        int   `json:"openCap"`
		RetryAfter     bool  `json:"retryAfter"`
		SendCap        int   `json:"sendCap"`
	} `json:"allowed"`
	ClientHabits struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Discovery string   `json:"discovery"`
	Models    []string `json:"models"`
	Zones     []string `json:"zones"`
	Goal      struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worstClass"`
	} `json:"goal"`
	WorthBy   string `json:"worthBy"`
	Instances int    `json:"instances"`
	Ordinal   int    `json:"ordinal"`
	Stage     int    `json:"stage"`
	Quantum   int64  `json:"quantum"`
	Tiers     []any  `json:"tiers"`
	Rules     struct {
		AskEvery    int64   `json:"askEvery"`
		Cold        int64   `json:"cold"`
		ColdFrom    float64 `json:"coldFrom"`
		Fall        int64   `json:"fall"`
		Grace       int64   `json:"graceToAnswer"`
		TipMultiple float64 `json:"tipMultiple"`
	} `json:"rules"`
	Services []struct {
		Name      string  `json:"name"`
		Aim       int64   `json:"aim"`
		Deadline  int64   `json:"deadline"`
		Gain      float64 `json:"gain"`
		LateValue float64 `json:"lateValue"`
		Effect    string  `json:"effect"`
		KeyScope  string  `json:"keyScope"`
		Window    int64   `json:"window"`
		Streamed  bool    `json:"streamed"`
	} `json:"services"`
	Tenants []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"tenants"`
}

// knownKeys are the top-level keys that Parse does not report as unknown: those in config, and those that the program ignores.
var knownKeys = map[string]bool{
	"allowed": true, "clientHabits": true, "discovery": true, "family": true, "familyInfo": true,
	"feedback": true, "goal": true, "instances": true, "models": true, "myZone": true, "ordinal": true,
	"overShareWorth": true, "prices": true, "quantum": true, "rules": true, "services": true,
	"stage": true, "tenants": true, "tiers": true, "weights": true, "worthBy": true, "zones": true,
}

// The platform's names of effects and scopes.
var (
	effects = map[string]decision.Effect{
		"read_like": decision.Safe, "idempotency_key": decision.Keyed, "non_idempotent": decision.Unsafe,
	}
	scopes = map[string]decision.Scope{
		"all": decision.ScopeAll, "zone": decision.ScopeZone, "cell": decision.ScopeCell,
	}
)

// Settings are the settings of the Balancer, and those that only the program around it needs.
type Settings struct {
	decision.Settings
	Zones         []string      // zone names; the Balancer uses their indexes
	Models        []string      // names of machine kinds; the Balancer uses their indexes
	ConnIdle      time.Duration // idle time after which endpoints close a connection; 0 if unknown
	GraceToAnswer time.Duration // how long after the deadline an answer still counts; attempts end this long before the deadline
	OpenCap       int           // maximum number of open requests; 0 means no limit
}

// Parse decodes the settings of an instance. It returns the unknown top-level keys in sorted order. The error reports that
// the text is not a settings object, or that its discovery mode is unknown.
func Parse(text []byte) (s Settings, unknown []string, err error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return s, nil, fmt.Errorf("not a settings object: %w", err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		return s, nil, fmt.Errorf("not a settings object: %w", err)
	}
	for k := range keys {
		if !knownKeys[k] {
			unknown = append(unknown, k)
		}
	}
	sort.Strings(unknown)
	switch c.Discovery {
	case "push", "ask":
	default:
		return s, unknown, fmt.Errorf("discovery: unknown word %q", c.Discovery)
	}
	return c.settings(), unknown, nil
}

// settings translates the JSON form to Settings.
func (c *config) settings() Settings {
	return Settings{
		Settings:      c.balancerSettings(),
		Zones:         c.Zones,
		Models:        c.Models,
		ConnIdle:      Micros(c.Allowed.ConnIdle),
		GraceToAnswer: Micros(c.Rules.Grace),
		OpenCap:       c.Allowed.OpenCap,
	}
}

// balancerSettings translates the settings of the Balancer from the JSON form.
func (c *config) balancerSettings() decision.Settings {
	s := decision.Settings{
		Instances:          c.Instances,
		Ordinal:            c.Ordinal,
		Stage:              c.Stage,
		Tiers:              len(c.Tiers),
		Quantum:            Micros(c.Quantum),
		ValueByWork:        c.WorthBy == "work",
		GoalTotal:          c.Goal.Whole,
		GoalWorstClass:     c.Goal.WorstClass,
		MayCancel:          c.Allowed.Cancel,
		MaxAttempts:        c.Allowed.SendCap,
		ConnectTimeout:     Micros(c.Allowed.ConnectTimeout),
		PullDiscovery:      c.Discovery == "ask",
		DiscoveryInterval:  Micros(c.Rules.AskEvery),
		ClientsMarkRetries: c.ClientHabits.MarksRetry,
		ColdCapacity:       c.Rules.ColdFrom,
		WarmUp:             Micros(c.Rules.Cold),
		OverloadMultiple:   c.Rules.TipMultiple,
		OverloadWindow:     Micros(c.Rules.Fall),
	}
	if c.Allowed.RetryAfter {
		s.MaxRetryAfter = Micros(c.Allowed.MaxRetryAfter)
	}
	for _, service := range c.Services {
		s.Classes = append(s.Classes, decision.Class{
			Name:          service.Name,
			LatencyTarget: Micros(service.Aim),
			Deadline:      Micros(service.Deadline),
			Value:         service.Gain,
			LateValue:     service.LateValue,
			Effect:        lookUpTerm(effects, service.Effect),
			Scope:         lookUpTerm(scopes, service.KeyScope),
			Window:        Micros(service.Window),
			Streamed:      service.Streamed,
		})
	}
	for _, tenant := range c.Tenants {
		s.Tenants = append(s.Tenants, decision.Tenant{Name: tenant.Name, QuotaPerS: tenant.QuotaPerS})
	}
	return s
}

// lookUpTerm translates one of the platform's names. It returns an unknown name unchanged, so that the error of
// decision.Settings.Check contains it.
func lookUpTerm[T ~string](terms map[string]T, name string) T {
	if term, ok := terms[name]; ok {
		return term
	}
	return T(name)
}

// Micros converts microseconds, the unit of all times in the settings, to a time.Duration.
func Micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
