package fleetconfig

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/samber/lo"

	"dykering/internal/errkind"
)

// RouteKind tells whether a request may be repeated and how it is answered.
type RouteKind string

// The kinds of route.
const (
	Idempotent    RouteKind = "idempotent"
	NonIdempotent RouteKind = "non_idempotent"
	Streaming     RouteKind = "streaming"
)

// Route says where requests of a host and path go.
type Route struct {
	Name            string            `json:"name"`
	Host            string            `json:"host"`
	PathPrefix      string            `json:"path_prefix"`
	Kind            RouteKind         `json:"kind"`
	TimeoutMs       float64           `json:"timeout_ms"`
	TargetLatencyMs float64           `json:"target_latency_ms"`
	TargetGapMs     float64           `json:"gap_aim_ms"`
	Priority        float64           `json:"priority"`
	MaxAttempts     float64           `json:"max_attempts"`
	StickySessions  bool              `json:"sticky_sessions"`
	Resumable       bool              `json:"resumable"`
	Service         string            `json:"service"`
	TrafficSplit    []WeightedService `json:"traffic_split"`
}

// WeightedService is a service's share of a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// IsRetryable tells whether a request of the route may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Timeout is the longest that a request of the route is held; 0 for no bound.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs * float64(time.Millisecond))
}

// TargetLatency is the time within which an answer earns its full worth.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMs * float64(time.Millisecond))
}

// WeightedServices are the services that the route goes to.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Service describes a service.
type Service struct {
	Name            string  `json:"name"`
	HealthCheckPath string  `json:"health_check_path"`
	ConnectionLimit float64 `json:"connection_limit"`
	Engine          *Engine `json:"inference_engine"`
}

// Engine describes the model endpoints of a service.
type Engine struct {
	Slots         float64 `json:"slots"`
	KVCacheTokens float64 `json:"kv_cache_tokens"`
	WeightsSizeMB float64 `json:"weights_size_mb"`
	AdapterSlots  float64 `json:"adapter_slots"`
	LoadsPerS     float64 `json:"loads_per_s"`
	Models        []Model `json:"models"`
}

// Model is one of the models that a service may be asked for.
type Model struct {
	Name          string  `json:"name"`
	WeightsSizeMB float64 `json:"weights_size_mb"`
	LoadTimeS     float64 `json:"load_time_s"`
	Adapters      float64 `json:"adapters"`
	AdapterSizeMB float64 `json:"adapter_size_mb"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  float64 `json:"max_header_bytes"`
	MaxBodyBytes    float64 `json:"max_body_bytes"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms"`
}

// Config is a configuration in the terms of the program.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Service finds a service by name.
func (p *Config) Service(name string) (Service, bool) {
	return lo.Find(p.Services, func(s Service) bool { return s.Name == name })
}

// Parse reads a document and checks what a schema cannot: references, shared places, weights and time-outs.
func Parse(d *Document) (*Config, error) {
	p := &Config{Version: d.Version}
	for _, item := range d.Services {
		var s Service
		if err := json.Unmarshal(item.Text, &s); err != nil {
			return nil, invalid("service " + item.Name + ": " + err.Error())
		}
		p.Services = append(p.Services, s)
	}
	for _, item := range d.Routes {
		var r Route
		if err := json.Unmarshal(item.Text, &r); err != nil {
			return nil, invalid("route " + item.Name + ": " + err.Error())
		}
		p.Routes = append(p.Routes, r)
	}
	if len(d.Limits) > 0 {
		if err := json.Unmarshal(d.Limits, &p.Limits); err != nil {
			return nil, invalid("limits: " + err.Error())
		}
	}
	return p, p.check()
}

func (p *Config) check() error {
	services := map[string]bool{}
	for _, s := range p.Services {
		if services[s.Name] {
			return invalid("two services are named " + s.Name)
		}
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	places, names := map[place]bool{}, map[string]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		at := place{strings.ToLower(r.Host), r.PathPrefix}
		if places[at] {
			return invalid("two routes share host and prefix: " + r.Name)
		}
		if names[r.Name] {
			return invalid("two routes are named " + r.Name)
		}
		places[at], names[r.Name] = true, true
		if err := r.check(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if r.TimeoutMs <= 0 {
		return invalid("route " + r.Name + ": timeout_ms is 0")
	}
	var sum float64
	for _, share := range r.WeightedServices() {
		if !services[share.Service] {
			return invalid("route " + r.Name + ": unknown service " + share.Service)
		}
		sum += share.Weight
	}
	if sum <= 0 {
		return invalid("route " + r.Name + ": the weights sum to 0")
	}
	return nil
}

func invalid(detail string) error { return errkind.New(errkind.InvalidConfig, detail) }
