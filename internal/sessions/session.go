package sessions

import "slices"

// State is the state of an endpoint in its life cycle. The values of the constants are part of the stored and the sent form.
type State string

// The states, in the order of the life cycle; see State.Before. Ready and Expired have the same rank, since a heartbeat renews
// an expired session.
const (
	// Ready is the state of an endpoint that accepts requests.
	Ready State = "ready"
	// Expired is the state of an endpoint whose last heartbeat is older than the TTL. It is stored and sent as "silent".
	Expired State = "silent"
	// Draining is the state of an endpoint that finishes its requests and accepts no new ones.
	Draining State = "draining"
	// Departed is the state of an endpoint that has deregistered, or whose session has expired while it drained. It is stored
	// and sent as "gone".
	Departed State = "gone"
)

// stateOrder is the rank of each state in the life cycle.
var stateOrder = map[State]int{Ready: 0, Expired: 0, Draining: 1, Departed: 2}

// Before reports whether a state is earlier in the life cycle than another one. The empty state is before all others.
func (s State) Before(other State) bool {
	return s == "" && other != "" || stateOrder[s] < stateOrder[other]
}

// LoadedModel is a model that an endpoint has loaded, with the loaded adapters of the model.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// Heartbeat is the body of the heartbeat message of an endpoint. Endpoints are other programs, so its JSON form must not change.
type Heartbeat struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"` // Ready or Draining
	// ColdRemainingMs is the remaining warm-up time of the endpoint in milliseconds.
	ColdRemainingMs float64 `json:"cold_remaining_ms"`
	// RemainingMs is the time until a draining endpoint exits, in milliseconds. It is nil if the endpoint does not report it.
	RemainingMs *float64      `json:"remaining_ms"`
	Stage       string        `json:"stage"`
	Models      []LoadedModel `json:"models"`
	// Sequence rises with every heartbeat of an incarnation of the endpoint. It is 0 if the endpoint does not number its
	// heartbeats.
	Sequence uint64 `json:"sequence"`
}

// ModelOverride records that an order has loaded or unloaded one model or adapter since the endpoint's last heartbeat.
type ModelOverride struct {
	Model   string
	Adapter string // empty for the model itself
	Present bool   // true if the order has loaded the model or adapter, false if it has unloaded it
}

// Overlay contains the changes that orders have made to an endpoint's models ahead of its heartbeats. An overlay replaces one
// of a lower version.
type Overlay struct {
	Version uint64
	// Holdings are the overrides of the heartbeat's list of models. The name of the field is part of its stored form (gob).
	Holdings []ModelOverride
}

// Endpoint is the session of one incarnation of an endpoint, as subscribers receive it.
type Endpoint struct {
	ID        string
	Heartbeat Heartbeat // latest heartbeat
	State     State
	Overlay   Overlay
}

// HasLoaded reports whether an endpoint has loaded a model and, if adapter is not empty, that adapter of the model. The
// overrides of the overlay take precedence over the heartbeat.
func (e *Endpoint) HasLoaded(model, adapter string) bool {
	// An adapter is unloaded together with its model, even if only the model has an override.
	if adapter != "" && !e.hasLoaded(model, "") {
		return false
	}
	return e.hasLoaded(model, adapter)
}

// hasLoaded looks up one model or adapter in the overlay and the heartbeat.
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

// equalForSubscribers reports whether two versions of a session are equal in all fields that subscribers use. Sequence numbers
// and times are excluded, since they differ between any two heartbeats.
func equalForSubscribers(a, b *Endpoint) bool {
	x, y := &a.Heartbeat, &b.Heartbeat
	return a.State == b.State && a.Overlay.Version == b.Overlay.Version && x.Service == y.Service && x.Address == y.Address &&
		x.Zone == y.Zone && x.Version == y.Version && x.Slots == y.Slots && (x.RemainingMs == nil) == (y.RemainingMs == nil) &&
		equalModels(x.Models, y.Models)
}

// equalModels reports whether two lists of models are equal, including their order.
func equalModels(a, b []LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y LoadedModel) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}
