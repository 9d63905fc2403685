package decision

import (
	"fmt"
	"time"
)

// Effect says whether a request may run more than once, which decides how it may be retried.
type Effect string

// The effects of a class.
const (
	Safe   Effect = "safe"   // the request may run any number of times
	Keyed  Effect = "keyed"  // endpoints within Class.Scope drop duplicates for Class.Window
	Unsafe Effect = "unsafe" // the request must not run twice
)

// Scope names the group of endpoints that together drop duplicates of a keyed request.
type Scope string

// The scopes of a keyed class.
const (
	ScopeAll  Scope = "all"  // all endpoints
	ScopeZone Scope = "zone" // the endpoints of one zone
	ScopeCell Scope = "cell" // the endpoints of one cell (Entry.Cell)
)

// Class describes one class of requests.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer within this time earns the full Value
	Deadline      time.Duration // how long the client waits in total, over all its attempts
	Value         float64       // value of one answer, in the unit of the site's score
	LateValue     float64       // share of Value that an answer after LatencyTarget earns, from 0 to 1
	Effect        Effect
	Scope         Scope         // only for Keyed: the endpoints that drop duplicates
	Window        time.Duration // only for Keyed: how long endpoints drop duplicates
	Streamed      bool          // responses are streamed, and the Host reports ResponseStarted
}

// Tenant is one of the customers that share the service.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests per second, over all instances
}

// Settings is the configuration of an instance. It holds the properties of the site; the constants that tune
// the algorithms are in tunables.go.
type Settings struct {
	// Position of this instance in the fleet.
	Instances int           // number of instances that call the same tier, at least 1
	Ordinal   int           // number of this instance among them, from 0
	Stage     int           // index of the tier that this instance calls; tier 0 is called for clients
	Tiers     int           // number of tiers; a call may wait in each tier from Stage on
	Quantum   time.Duration // shortest time between two batches of events

	// Requests, and how the site values them.
	Classes        []Class
	Tenants        []Tenant
	ValueByWork    bool    // Class.Value applies to a unit of work instead of a request
	GoalTotal      float64 // weight of the total served value in the site's score
	GoalWorstClass float64 // weight of the answered share of the worst-served class in that score

	// Limits that the site sets.
	MayCancel      bool          // attempts in flight may be cancelled
	MaxAttempts    int           // attempts of one request; 0 if the site sets no limit
	MaxRetryAfter  time.Duration // longest wait that a refused client may be told
	ConnectTimeout time.Duration // time within which a connection must be established

	// Discovery of the endpoint list.
	PullDiscovery     bool          // changes arrive only after Watch or Fetch; otherwise they are pushed
	DiscoveryInterval time.Duration // discovery assumes after this time that an instance knows a change

	// ClientsMarkRetries says that clients flag their retries.
	ClientsMarkRetries bool

	// Warm-up of endpoints that have just started, and the load that makes an endpoint fail.
	ColdCapacity     float64       // share of its capacity that an endpoint starts with, from 0 to 1
	WarmUp           time.Duration // time from the start of an endpoint until it has its full capacity
	OverloadMultiple float64       // load that makes an endpoint fail, as a multiple of its present capacity
	OverloadWindow   time.Duration // how long an endpoint withstands that load
}

// Check returns an error that names the first invalid setting, under its key in the configuration.
func (s *Settings) Check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: at least one class is required")
	}
	type lowerBound struct {
		key     string
		value   float64
		minimum float64
	}
	bounds := []lowerBound{
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
		bounds = append(bounds, lowerBound{fmt.Sprintf("tenants[%d].quotaPerS", i), t.QuotaPerS, 0})
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("classes[%d].", i)
		bounds = append(bounds, lowerBound{key + "aim", float64(c.LatencyTarget), 0},
			lowerBound{key + "deadline", float64(c.Deadline), 0}, lowerBound{key + "window", float64(c.Window), 0})
		switch {
		case c.Effect != Safe && c.Effect != Keyed && c.Effect != Unsafe:
			return fmt.Errorf("settings: %seffect: unknown effect %q", key, c.Effect)
		case c.Effect == Keyed && c.Scope != ScopeAll && c.Scope != ScopeZone && c.Scope != ScopeCell:
			return fmt.Errorf("settings: %sscope: unknown scope %q", key, c.Scope)
		}
	}
	for _, bound := range bounds {
		if bound.value < bound.minimum {
			return fmt.Errorf("settings: %s: must not be below %v, but is %v", bound.key, bound.minimum, bound.value)
		}
	}
	if s.ColdCapacity > 1 {
		return fmt.Errorf("settings: coldFrom: must not be above 1, but is %v", s.ColdCapacity)
	}
	return nil
}
