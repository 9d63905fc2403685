package configsoak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	routeHost = "config.example"
	// keptPath is the path of a route that every configuration has.
	keptPath = "/kept/"
	// markPrefix begins the path of the route that identifies a change.
	markPrefix = "/mark-"
	// slotCount is the number of paths whose routes are added, moved and removed.
	slotCount = 5
	// routeTimeoutMs is the time-out of the routes.
	routeTimeoutMs = 2000
)

// serviceNames are the names of the services. Each configuration has all of them.
var serviceNames = [...]string{"alpha", "beta"}

// bothServices is the target of a route that is split between the services.
const bothServices = "both"

// routeTable maps the paths of a configuration's routes to a service or to bothServices.
type routeTable map[string]string

// allows reports whether the table gives a request with a path the outcome.
func (t routeTable) allows(path string, o outcome) bool {
	target, ok := t[path]
	switch {
	case !ok:
		return o == noRoute
	case target == bothServices:
		return o == outcome(serviceNames[0]) || o == outcome(serviceNames[1])
	}
	return o == outcome(target)
}

func slotPath(slot int) string { return fmt.Sprintf("/slot-%d/", slot) }
func markPath(id int) string   { return fmt.Sprint(markPrefix, id, "/") }

// next returns a table with some routes added, moved or removed, and with the mark of the change.
func (t routeTable) next(random *rand.Rand, id int) routeTable {
	next := maps.Clone(t)
	for path := range next {
		if strings.HasPrefix(path, markPrefix) {
			delete(next, path)
		}
	}
	next[keptPath] = serviceNames[0]
	next[markPath(id)] = serviceNames[random.IntN(len(serviceNames))]
	for range 1 + random.IntN(slotCount) {
		path := slotPath(random.IntN(slotCount))
		switch random.IntN(4) {
		case 0:
			delete(next, path)
		case 1:
			next[path] = bothServices
		default:
			next[path] = serviceNames[random.IntN(len(serviceNames))]
		}
	}
	return next
}

// route is a route of the operator's API.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path_prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeout_ms"`
	TargetLatencyMs int     `json:"target_latency_ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service,omitempty"`
	TrafficSplit    []share `json:"traffic_split,omitempty"`
	MaxAttempts     int     `json:"max_attempts"`
}

// share is a part of a route's traffic.
type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// service is a service of the operator's API.
type service struct {
	Name            string `json:"name"`
	HealthCheckPath string `json:"health_check_path"`
	ConnectionLimit int    `json:"connection_limit"`
	Protocol        string `json:"protocol"`
	TLS             bool   `json:"tls"`
}

// document is a complete configuration of the operator's API.
type document struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
}

// modification is a change of named items of the operator's API.
type modification struct {
	Version int `json:"version"`
	Upsert  struct {
		Routes []route `json:"routes"`
	} `json:"upsert"`
	Remove struct {
		Routes []string `json:"routes"`
	} `json:"remove"`
}

// routeName returns the name of the route with a path.
func routeName(path string) string { return "r" + strings.Trim(path, "/") }

func newRoute(path, target string) route {
	r := route{
		Name: routeName(path), Host: routeHost, PathPrefix: path, Kind: "idempotent", TimeoutMs: routeTimeoutMs, TargetLatencyMs: 500,
		Service: target, MaxAttempts: 2,
	}
	if target == bothServices {
		r.Service = ""
		r.TrafficSplit = []share{{Service: serviceNames[0], Weight: 50}, {Service: serviceNames[1], Weight: 50}}
	}
	return r
}

// document returns the configuration with the table's routes.
func (t routeTable) document(version int) document {
	d := document{Version: version}
	for _, path := range slices.Sorted(maps.Keys(t)) {
		d.Routes = append(d.Routes, newRoute(path, t[path]))
	}
	for _, name := range serviceNames {
		d.Services = append(d.Services, service{Name: name, HealthCheckPath: "/health", ConnectionLimit: 200, Protocol: "h1"})
	}
	return d
}

// modification returns the change from one table to another.
func (t routeTable) modification(to routeTable, version int) modification {
	m := modification{Version: version}
	for _, path := range slices.Sorted(maps.Keys(to)) {
		if t[path] != to[path] {
			m.Upsert.Routes = append(m.Upsert.Routes, newRoute(path, to[path]))
		}
	}
	for _, path := range slices.Sorted(maps.Keys(t)) {
		if _, ok := to[path]; !ok {
			m.Remove.Routes = append(m.Remove.Routes, routeName(path))
		}
	}
	return m
}

// table returns the routes of a configuration that was read.
func (d document) table() routeTable {
	t := routeTable{}
	for _, r := range d.Routes {
		t[r.PathPrefix] = r.Service
		if len(r.TrafficSplit) > 0 {
			t[r.PathPrefix] = bothServices
		}
	}
	return t
}

// mark returns the identifier of the change that led to a configuration, or 0.
func (d document) mark() int {
	for _, r := range d.Routes {
		var id int
		if n, _ := fmt.Sscanf(r.PathPrefix, markPrefix+"%d/", &id); n == 1 {
			return id
		}
	}
	return 0
}
