package localsystem

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	serviceName   = "drafts"
	routeHost     = "drafts.example"
	requestPath   = "/drafts/"
	callTimeout   = time.Second
	retryPause    = 150 * time.Millisecond
	modelSizeMB   = 40
	weightsSizeMB = 200
)

// ModelCount is the number of models of the configuration.
const ModelCount = 8

// Operator calls the control processes, both for itself and for the endpoints.
type Operator struct {
	addresses []string // addresses of the control processes
	client    http.Client

	mu           sync.Mutex
	next         int // index of the address in use, modulo the number of addresses
	acknowledged int // highest acknowledged version
	changes      int // number of acknowledged changes
	violations   []string
}

func newOperator(addresses []string) *Operator {
	return &Operator{addresses: addresses, client: http.Client{Timeout: callTimeout}}
}

// address returns the address to call. It switches to the next one if failed is true.
func (o *Operator) address(failed bool) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if failed {
		o.next++
	}
	return o.addresses[o.next%len(o.addresses)]
}

// post sends a body as JSON and returns the status of the answer, or 0 if no answer arrived.
func (o *Operator) post(path string, body any, header map[string]string) int {
	text, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+o.address(false)+path, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := o.client.Do(request)
	if err != nil {
		o.address(true)
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		o.address(true)
	}
	return response.StatusCode
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
			"name": fmt.Sprint("r-", version), "host": routeHost, "path_prefix": requestPath, "kind": "idempotent", "timeout_ms": 3000,
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
		status := o.post("/configuration/replace", configuration(base+1), map[string]string{"X-Base-Version": fmt.Sprint(base)})
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
		if !pause(done, retryPause) {
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
	response, err := o.client.Get("http://" + o.address(false) + "/configuration/read")
	if err != nil {
		o.address(true)
		return false
	}
	defer response.Body.Close()
	var document struct {
		Version int `json:"version"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&document) != nil {
		o.address(true)
		return false
	}
	if document.Version < acknowledged {
		o.addViolation("version %d was read after version %d was acknowledged", document.Version, acknowledged)
	}
	return true
}

// run changes and reads the configuration until done is closed.
func (o *Operator) run(done <-chan struct{}) {
	for pause(done, retryPause) {
		o.change(done)
		o.read()
	}
}

func (o *Operator) addViolation(format string, arguments ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, arguments...))
}

// pause waits for the duration. It returns false if done is closed meanwhile.
func pause(done <-chan struct{}, duration time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(duration):
		return true
	}
}
