package requestsoak

import (
	"fmt"
	"net/http"
	"time"

	"dykering/internal/lab/controlclient"
	"dykering/internal/lab/pause"
)

const (
	resendPause = 150 * time.Millisecond
	// maxChangePause bounds the time between two changes of the configuration.
	maxChangePause = 2 * time.Second
	routeTimeoutMs = 2500
	targetMs       = 1000
	maxAttempts    = 2
)

// serviceNames are the services that the routes are split among.
var serviceNames = []string{"desk", "counter"}

// operator changes the configuration in series: the weights and time-outs of the routes, and further routes that come and go.
type operator struct {
	control *controlclient.Client
	dice    *dice
	version int
	changes int
}

// configuration returns a configuration with random weights and time-outs.
func (o *operator) configuration(version int) map[string]any {
	var routes, services []map[string]any
	for _, kind := range []RouteKind{NonIdempotent, Idempotent, Streaming, Resumable} {
		routes = append(routes, o.route("r-"+string(kind), pathOf(kind), kind))
	}
	for i := range o.dice.number(4) {
		routes = append(routes, o.route(fmt.Sprintf("r-extra-%d", i), fmt.Sprintf("/extra-%d/", version+i), Idempotent))
	}
	for _, name := range serviceNames {
		services = append(services, map[string]any{
			"name": name, "health_check_path": "/health", "connection_limit": endpointConnections, "protocol": "h1", "tls": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (o *operator) route(name, prefix string, kind RouteKind) map[string]any {
	var split []map[string]any
	for _, service := range serviceNames {
		split = append(split, map[string]any{"service": service, "weight": 20 + o.dice.number(80)})
	}
	return map[string]any{
		"name": name, "host": routeHost, "path_prefix": prefix, "kind": kind.configured(), "resumable": kind == Resumable, "timeout_ms": routeTimeoutMs - o.dice.number(500),
		"target_latency_ms": targetMs, "priority": 0, "traffic_split": split, "max_attempts": maxAttempts,
	}
}

// change sends the next configuration until it is acknowledged. It returns false if done is closed before.
func (o *operator) change(done <-chan struct{}) bool {
	body := o.configuration(o.version + 1)
	header := map[string]string{"X-Base-Version": fmt.Sprint(o.version)}
	for o.control.Post("/configuration/replace", body, header) != http.StatusOK {
		if !pause.For(done, resendPause) {
			return false
		}
	}
	o.version++
	o.changes++
	return true
}

// run changes the configuration until done is closed.
func (o *operator) run(done <-chan struct{}) {
	for pause.For(done, o.dice.duration(0, maxChangePause)) && o.change(done) {
		continue
	}
}
