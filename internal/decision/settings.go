package decision

import (
	"fmt"
	"time"
)

// Effect is what a repeated run of a request does, and so how it may be retried.
type Effect string

// The effects that a class can have.
const (
	Safe   Effect = "safe"   // may run any number of times
	Keyed  Effect = "keyed"  // endpoints within Scope drop duplicates for Window
	Unsafe Effect = "unsafe" // must not run twice
)

// Scope is the group of endpoints that drops duplicates of a keyed request.
type Scope string

// The scopes of a keyed class.
const (
	ScopeAll  Scope = "all"
	ScopeZone Scope = "zone"
	ScopeCell Scope = "cell"
)

// Class describes one class of requests.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer within it earns the full value
	Deadline      time.Duration // the client's total wait, over all its attempts
	Value         float64       // of one answer
	LateValue     float64       // share of Value for an answer after LatencyTarget, from 0 to 1
	Effect        Effect
	Scope         Scope         // of Keyed
	Window        time.Duration // of Keyed: how long duplicates are dropped
	Streamed      bool          // answers are streamed, and ResponseStarted is reported
}

// Tenant is one of several customers that share the service.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests a second, over all instances
}

// Settings is the configuration of an instance. The site states all of it; nothing is tuned here (see
// tunables.go).
type Settings struct {
	// The tier that this instance belongs to.
	Instances int           // in this tier, at least 1
	Ordinal   int           // of this instance, from 0
	Stage     int           // index of the tier that this instance sends to; 0 is the one that clients call
	Tiers     int           // in all; a call may wait in each from Stage on
	Quantum   time.Duration // least time between two batches of events

	// What is served, and how the site values it.
	Classes        []Class
	Tenants        []Tenant
	ValueByWork    bool    // Class.Value is of a unit of work, not of a request
	GoalTotal      float64 // weight of the value served, in the site's score
	GoalWorstClass float64 // weight of the share that the worst-served class has served

	// What the site permits.
	MayCancel      bool
	MaxAttempts    int // of each request; 0 where the site states no limit
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration

	// Discovery of the endpoint list.
	PullDiscovery     bool          // changes come only after Watch or Fetch; else they are pushed
	DiscoveryInterval time.Duration // an instance that has not asked for so long is taken to be informed

	// ClientsMarkRetries says that clients flag their retries.
	ClientsMarkRetries bool

	// Warm-up of endpoints that have just started, and what overload does to any.
	ColdCapacity     float64       // share of its capacity that an endpoint starts with, from 0 to 1
	WarmUp           time.Duration // until it has all of it
	OverloadMultiple float64       // load, as a multiple of the present capacity,
	OverloadWindow   time.Duration // that pushes an endpoint over when held for so long
}

// Check returns an error that names the first setting that cannot be acted on.
func (s *Settings) Check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	type figure struct {
		key   string
		value float64
		least float64
	}
	figures := []figure{
		{"instances", float64(s.Instances), 1},
		{"ordinal", float64(s.Ordinal), 0},
		{"quantum", float64(s.Quantum), 0},
		{"goalWhole", s.GoalTotal, 0},
		{"goalWorstClass", s.GoalWorstClass, 0},
		{"cold", float64(s.WarmUp), 0},
		{"coldFrom", s.ColdCapacity, 0},
		{"tipMultiple", s.OverloadMultiple, 0},
		{"fall", float64(s.OverloadWindow), 0},
		{"askEvery", float64(s.DiscoveryInterval), 0},
		{"maxRetryAfter", float64(s.MaxRetryAfter), 0},
		{"connectTimeout", float64(s.ConnectTimeout), 0},
	}
	for i, t := range s.Tenants {
		figures = append(figures, figure{fmt.Sprintf("tenants[%d].quotaPerS", i), t.QuotaPerS, 0})
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("classes[%d].", i)
		figures = append(figures, figure{key + "aim", float64(c.LatencyTarget), 0},
			figure{key + "deadline", float64(c.Deadline), 0}, figure{key + "window", float64(c.Window), 0})
		switch {
		case c.Effect != Safe && c.Effect != Keyed && c.Effect != Unsafe:
			return fmt.Errorf("settings: %seffect: unknown effect %q", key, c.Effect)
		case c.Effect == Keyed && c.Scope != ScopeAll && c.Scope != ScopeZone && c.Scope != ScopeCell:
			return fmt.Errorf("settings: %sscope: unknown scope %q", key, c.Scope)
		}
	}
	for _, f := range figures {
		if f.value < f.least {
			return fmt.Errorf("settings: %s: below %v", f.key, f.least)
		}
	}
	if s.ColdCapacity > 1 {
		return fmt.Errorf("settings: coldFrom: %v is not a share", s.ColdCapacity)
	}
	return nil
}
