package localsystem

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dykering/internal/lab/controlclient"
	"dykering/internal/lab/pause"
)

const (
	serviceName   = "drafts"
	requestPath   = "/drafts/"
	retryPause    = 150 * time.Millisecond
	modelSizeMB   = 40
	weightsSizeMB = 200
)

// RouteHost is the host of the requests that the configuration has a route for.
const RouteHost = "drafts.example"

// ModelCount is the number of models of the configuration.
const ModelCount = 8

// Operator calls the control processes, both for itself and for the endpoints.
type Operator struct {
	control *controlclient.Client

	mu           sync.Mutex
	acknowledged int // highest acknowledged version
	changes      int // number of acknowledged changes
	violations   []string
}

func newOperator(addresses []string) *Operator {
	return &Operator{control: controlclient.New(addresses)}
}

// configuration returns a complete configuration document with the version.
func configuration(version int) map[string]any {
	var models []map[string]any
	for i := range ModelCount {
		models = append(models, map[string]any{
			"name": ModelName(i), "weights_size_mb": modelSizeMB, "load_time_s": loadTime.Seconds(), "adapters": 0, "adapter_size_mb": 1,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": fmt.Sprint("r-", version), "host": RouteHost, "path_prefix": requestPath, "kind": "idempotent", "timeout_ms": 3000,
			"target_latency_ms": 500, "priority": 0, "service": serviceName, "max_attempts": 2,
		}},
		"services": []map[string]any{{
			"name": serviceName, "health_check_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false,
			"inference_engine": map[string]any{
				"slots": 8, "kv_cache_tokens": 10000, "weights_size_mb": weightsSizeMB, "adapter_slots": 1, "loads_per_s": 10, "models": models,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// ModelName returns the name of a model of the configuration.
func ModelName(i int) string { return fmt.Sprint("model-", i) }

// change sends the next version until it is acknowledged or done is closed. The control processes must never reject it.
func (o *Operator) change(done <-chan struct{}) {
	o.mu.Lock()
	base := o.acknowledged
	o.mu.Unlock()
	for {
		status := o.control.Post("/configuration/replace", configuration(base+1), map[string]string{"X-Base-Version": fmt.Sprint(base)})
		if status == http.StatusOK {
			o.mu.Lock()
			o.acknowledged = base + 1
			o.changes++
			o.mu.Unlock()
			return
		}
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			o.addViolation("change %d was answered with %d", base+1, status)
			return
		}
		if !pause.For(done, retryPause) {
			return
		}
	}
}

// Changes returns the number of changes that were acknowledged.
func (o *Operator) Changes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes
}

// read reads the configuration at the address in use. It records a violation if the version is below an acknowledged one. It
// returns false if the read failed.
func (o *Operator) read() bool {
	o.mu.Lock()
	acknowledged := o.acknowledged
	o.mu.Unlock()
	var document struct {
		Version int `json:"version"`
	}
	if !o.control.Get("/configuration/read", &document) {
		return false
	}
	if document.Version < acknowledged {
		o.addViolation("version %d was read after version %d was acknowledged", document.Version, acknowledged)
	}
	return true
}

// run changes and reads the configuration until done is closed.
func (o *Operator) run(done <-chan struct{}) {
	for pause.For(done, retryPause) {
		o.change(done)
		o.read()
	}
}

func (o *Operator) addViolation(format string, arguments ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, arguments...))
}
