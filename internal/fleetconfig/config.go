package fleetconfig

import (
	"encoding/json"
	"time"

	"github.com/samber/lo"
)

// Config is a configuration in the terms of the program. Keys of the JSON form that are not listed here are ignored.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// RouteKind is how requests of a route are answered, and whether they may be executed more than once. An empty one is
// treated as NonIdempotent.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"
	NonIdempotent RouteKind = "non_idempotent"
	Streaming     RouteKind = "streaming" // the response is a stream of events
)

// Route is where requests with a host and a path prefix are sent.
type Route struct {
	Name       string    `json:"name"`
	Host       string    `json:"host"` // in any case
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// TimeoutMs bounds the time for a request, in milliseconds. Above 0.
	TimeoutMs float64 `json:"timeout_ms"`
	// TargetLatencyMs is the time within which the response should begin, in milliseconds; 0 for none.
	TargetLatencyMs float64 `json:"target_latency_ms"`
	// TargetGapMs is the longest time that should pass between two events of a stream, in milliseconds; 0 for none.
	TargetGapMs float64 `json:"gap_aim_ms"`
	// Priority ranks the route when endpoints are overloaded: 0 is the most urgent.
	Priority float64 `json:"priority"`
	// MaxAttempts bounds the attempts that may have been executed; less than 1 counts as 1.
	MaxAttempts float64 `json:"max_attempts"`
	// StickySessions asks for affinity: requests with the same beginning of their prompt go to the same few endpoints.
	StickySessions bool `json:"sticky_sessions"`
	// Resumable is true for a stream that can be resumed at another endpoint after its last event.
	Resumable bool `json:"resumable"`
	// Service is the service, unless TrafficSplit is set.
	Service string `json:"service"`
	// TrafficSplit divides the requests among services by weight.
	TrafficSplit []WeightedService `json:"traffic_split"`
}

// WeightedService is a service with its weight in a traffic split.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of endpoints that serve the same.
type Service struct {
	Name            string `json:"name"`
	HealthCheckPath string `json:"health_check_path"`
	// ConnectionLimit is the number of connections that an endpoint accepts from all callers together; 0 for unknown.
	ConnectionLimit float64 `json:"connection_limit"`
	// Engine describes the endpoints of a service for inference; nil for others.
	Engine *Engine `json:"inference_engine"`
}

// Engine describes the endpoints of a service for inference. All have the same size.
type Engine struct {
	Slots         float64 `json:"slots"`           // requests in a batch
	KVCacheTokens float64 `json:"kv_cache_tokens"` // size of the cache of prompts
	WeightsSizeMB float64 `json:"weights_size_mb"` // memory for models and adapters, in MB
	AdapterSlots  float64 `json:"adapter_slots"`   // adapters that an endpoint can have loaded
	LoadsPerS     float64 `json:"loads_per_s"`     // rate limit of the store of weights, over all endpoints
	Models        []Model `json:"models"`
}

// Model is one of the models that a service can be asked for.
type Model struct {
	Name          string  `json:"name"`
	WeightsSizeMB float64 `json:"weights_size_mb"` // memory that it takes, in MB
	LoadTimeS     float64 `json:"load_time_s"`     // time for loading it from the store, in seconds
	Adapters      float64 `json:"adapters"`        // number of its adapters
	AdapterSizeMB float64 `json:"adapter_size_mb"` // memory that each of them takes, in MB
}

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes  float64 `json:"max_header_bytes"`
	MaxBodyBytes    float64 `json:"max_body_bytes"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms"`
}

// Parse reads and validates a document. The error is an *errkind.Error of the kind errkind.InvalidConfig.
func Parse(d *Document) (*Config, error) {
	config := &Config{Version: d.Version}
	for _, item := range d.Services {
		var service Service
		if err := json.Unmarshal(item.Text, &service); err != nil {
			return nil, invalidConfigError("service " + item.Name + ": " + err.Error())
		}
		config.Services = append(config.Services, service)
	}
	for _, item := range d.Routes {
		var route Route
		if err := json.Unmarshal(item.Text, &route); err != nil {
			return nil, invalidConfigError("route " + item.Name + ": " + err.Error())
		}
		config.Routes = append(config.Routes, route)
	}
	if len(d.Limits) > 0 {
		if err := json.Unmarshal(d.Limits, &config.Limits); err != nil {
			return nil, invalidConfigError("limits: " + err.Error())
		}
	}
	return config, config.validate()
}

// Service returns the service with a name.
func (c *Config) Service(name string) (Service, bool) {
	return lo.Find(c.Services, func(s Service) bool { return s.Name == name })
}

// IsRetryable reports whether a request of the route may be executed more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Timeout returns TimeoutMs as a duration.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs * float64(time.Millisecond))
}

// TargetLatency returns TargetLatencyMs as a duration.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMs * float64(time.Millisecond))
}

// TargetGap returns TargetGapMs as a duration.
func (r *Route) TargetGap() time.Duration {
	return time.Duration(r.TargetGapMs * float64(time.Millisecond))
}

// WeightedServices returns the services that the route's requests are divided among: one, without a traffic split.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}
