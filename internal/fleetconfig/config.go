package fleetconfig

import (
	"encoding/json"
	"time"

	"github.com/samber/lo"
)

// Config is a parsed configuration. Unknown keys of the JSON form are ignored.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// RouteKind determines how the responses of a route are sent, and whether its requests may be executed more than once. An
// empty kind is treated as NonIdempotent.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"
	NonIdempotent RouteKind = "non_idempotent"
	Streaming     RouteKind = "streaming" // the response is a stream of server-sent events
)

// Route sends the requests with a host and a path prefix to a service.
type Route struct {
	Name       string    `json:"name"`
	Host       string    `json:"host"` // case-insensitive
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// TimeoutMs bounds the duration of a request, in milliseconds. It is above 0.
	TimeoutMs float64 `json:"timeout_ms"`
	// TargetLatencyMs is the time within which the response should begin, in milliseconds; 0 for no target.
	TargetLatencyMs float64 `json:"target_latency_ms"`
	// TargetGapMs is the longest time that should pass between two events of a stream, in milliseconds; 0 for no target.
	TargetGapMs float64 `json:"gap_aim_ms"`
	// Priority is the priority of the route's requests at overloaded endpoints. 0 is the most urgent.
	Priority float64 `json:"priority"`
	// MaxAttempts bounds the attempts of a request that may have executed it. A value below 1 counts as 1.
	MaxAttempts float64 `json:"max_attempts"`
	// StickySessions enables affinity: requests whose prompts begin equally go to the same few endpoints.
	StickySessions bool `json:"sticky_sessions"`
	// Resumable is true if another endpoint can resume a stream after its last event.
	Resumable bool `json:"resumable"`
	// Service is the name of the service. It is ignored if TrafficSplit is set.
	Service string `json:"service"`
	// TrafficSplit divides the requests among services by weight.
	TrafficSplit []WeightedService `json:"traffic_split"`
}

// WeightedService is a service with its weight in a traffic split.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name            string `json:"name"`
	HealthCheckPath string `json:"health_check_path"`
	// ConnectionLimit is the number of connections that an endpoint accepts from all callers together; 0 if it is unknown.
	ConnectionLimit float64 `json:"connection_limit"`
	// Engine describes the inference engine of the endpoints. It is nil for a service without models.
	Engine *Engine `json:"inference_engine"`
}

// Engine describes the inference engine of each endpoint of a service. All endpoints of a service have the same size.
type Engine struct {
	Slots         float64 `json:"slots"`           // largest number of requests in a batch
	KVCacheTokens float64 `json:"kv_cache_tokens"` // size of the key-value cache, in tokens
	WeightsSizeMB float64 `json:"weights_size_mb"` // memory for the weights of models and adapters, in MB
	AdapterSlots  float64 `json:"adapter_slots"`   // largest number of loaded adapters
	LoadsPerS     float64 `json:"loads_per_s"`     // rate limit of the weight store over all endpoints, in loads a second
	Models        []Model `json:"models"`
}

// Model is a model that a service offers.
type Model struct {
	Name          string  `json:"name"`
	WeightsSizeMB float64 `json:"weights_size_mb"` // memory for the weights of the model, in MB
	LoadTimeS     float64 `json:"load_time_s"`     // time to load the model from the weight store, in seconds
	Adapters      float64 `json:"adapters"`        // number of adapters of the model
	AdapterSizeMB float64 `json:"adapter_size_mb"` // memory for the weights of one adapter, in MB
}

// Limits bounds the size of requests, and the time that a client may take to send headers or keep a connection idle.
type Limits struct {
	MaxHeaderBytes  float64 `json:"max_header_bytes"`
	MaxBodyBytes    float64 `json:"max_body_bytes"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms"`
}

// Parse parses and validates a document. Its errors have the type *errkind.Error and the kind errkind.InvalidConfig.
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

// Service returns the service with a name, and whether the configuration has one.
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

// WeightedServices returns the services among which the route's requests are divided. Without a traffic split it is one service.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}
