package sessions

import "slices"

// State is the position of an endpoint in its life cycle. Its values are stored and sent as they are.
type State string

// The states, in the order in which an endpoint passes through them; see State.Before. Ready and Expired rank equally, as
// a session whose TTL has run out is renewed by a heartbeat.
const (
	// Ready is the state of an endpoint that takes requests.
	Ready State = "ready"
	// Expired is the state of an endpoint whose last heartbeat is older than the TTL. Stored and sent as "silent".
	Expired State = "silent"
	// Draining is the state of an endpoint that finishes its requests and takes no new ones.
	Draining State = "draining"
	// Departed is the state of an endpoint that has deregistered, or has expired while it drained. Stored and sent as
	// "gone".
	Departed State = "gone"
)

var stateOrder = map[State]int{Ready: 0, Expired: 0, Draining: 1, Departed: 2}

// Before reports whether a state is earlier in the life cycle than another. The empty state is before all others.
func (s State) Before(other State) bool {
	return s == "" && other != "" || stateOrder[s] < stateOrder[other]
}

// LoadedModel is a model that an endpoint has loaded, with its adapters.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// Heartbeat is the body of an endpoint's heartbeat, as the operators' page fixes it.
type Heartbeat struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"` // Ready or Draining
	// ColdRemainingMs is how long the endpoint still warms up, in milliseconds.
	ColdRemainingMs float64 `json:"cold_remaining_ms"`
	// RemainingMs is how long a draining endpoint stays, in milliseconds; nil where the endpoint does not say.
	RemainingMs *float64      `json:"remaining_ms"`
	Stage       string        `json:"stage"`
	Models      []LoadedModel `json:"models"`
	// Sequence rises with every heartbeat of an incarnation of the endpoint; 0 where the endpoint does not number them.
	Sequence uint64 `json:"sequence"`
}

// ModelOverride says that an order has loaded or unloaded one model or adapter since the endpoint's last heartbeat.
type ModelOverride struct {
	Model   string
	Adapter string // empty for the model itself
	Present bool   // loaded by the order; false where the order unloaded it
}

// Overlay is what orders have changed at an endpoint ahead of its heartbeats. An overlay replaces one of a lower version.
type Overlay struct {
	Version uint64
	// Holdings are the overrides of the heartbeat's list of models. (gob field name, fixed)
	Holdings []ModelOverride
}

// Endpoint is the session of one incarnation of an endpoint, as subscribers receive it.
type Endpoint struct {
	ID        string
	Heartbeat Heartbeat // the latest one
	State     State
	Overlay   Overlay
}

// HasLoaded reports whether an endpoint has loaded a model and, where adapter is not empty, that adapter of it. Overrides
// by orders take precedence over the heartbeat.
func (e *Endpoint) HasLoaded(model, adapter string) bool {
	// An adapter is unloaded together with its model, also where no override says so of the adapter.
	if adapter != "" && !e.hasLoaded(model, "") {
		return false
	}
	return e.hasLoaded(model, adapter)
}

// hasLoaded looks up one model or adapter by itself.
func (e *Endpoint) hasLoaded(model, adapter string) bool {
	for _, override := range e.Overlay.Holdings {
		if override.Model == model && override.Adapter == adapter {
			return override.Present
		}
	}
	for _, loaded := range e.Heartbeat.Models {
		if loaded.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, name := range loaded.Adapters {
			if name == adapter {
				return true
			}
		}
	}
	return false
}

// equalForSubscribers reports whether two versions of a session are equal in all fields that a subscriber acts on.
// Sequence numbers and times are left out, as they differ between any two heartbeats.
func equalForSubscribers(a, b *Endpoint) bool {
	x, y := &a.Heartbeat, &b.Heartbeat
	return a.State == b.State && a.Overlay.Version == b.Overlay.Version && x.Service == y.Service && x.Address == y.Address &&
		x.Zone == y.Zone && x.Version == y.Version && x.Slots == y.Slots && (x.RemainingMs == nil) == (y.RemainingMs == nil) &&
		equalModels(x.Models, y.Models)
}

func equalModels(a, b []LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y LoadedModel) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}
