package soak

import (
	"fmt"
	"net/http"
	"time"

	"dykering/internal/lab/history"
)

// lockBody is the request body of calls on locks.
type lockBody struct {
	Holder string `json:"lease_holder"`
	Token  uint64 `json:"fencing_token,omitempty"`
	HoldMs int64  `json:"hold_ms,omitempty"`
}

func (c *caller) begin(lock string, hold time.Duration) history.Call {
	var answer struct {
		Token uint64 `json:"fencing_token"`
	}
	return c.call(history.Call{Operation: history.Begin, Name: lock, Hold: hold},
		request{method: http.MethodPost, path: "/locks/" + lock + "/begin", body: lockBody{Holder: c.name, HoldMs: hold.Milliseconds()}},
		&answer, func(call *history.Call) { call.Token = answer.Token })
}

func (c *caller) heartbeat(lock string, token uint64, hold time.Duration) history.Call {
	body := lockBody{Holder: c.name, Token: token, HoldMs: hold.Milliseconds()}
	return c.call(history.Call{Operation: history.Heartbeat, Name: lock, Hold: hold, Token: token},
		request{method: http.MethodPost, path: "/locks/" + lock + "/heartbeat", body: body}, nil, nil)
}

func (c *caller) finish(lock string, token uint64) history.Call {
	return c.call(history.Call{Operation: history.Finish, Name: lock, Token: token},
		request{method: http.MethodPost, path: "/locks/" + lock + "/finish", body: lockBody{Holder: c.name, Token: token}}, nil, nil)
}

func (c *caller) number(name string) history.Call {
	var answer struct {
		Value uint64 `json:"value"`
	}
	return c.call(history.Call{Operation: history.Number, Name: name},
		request{method: http.MethodPost, path: "/numbers/" + name, body: struct{}{}}, &answer,
		func(call *history.Call) { call.Number = answer.Value })
}

// put writes a value. A non-nil revision makes the put conditional on the key's current revision.
func (c *caller) put(key, value string, revision *uint64) history.Call {
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	call := history.Call{Operation: history.Put, Name: key, Value: value}
	if revision != nil {
		call.Conditional, call.IfRevision = true, *revision
	}
	body := struct {
		Value      string  `json:"value"`
		IfRevision *uint64 `json:"if_revision,omitempty"`
	}{value, revision}
	return c.call(call, request{method: http.MethodPost, path: "/cells/" + key + "/replace", body: body}, &answer,
		func(call *history.Call) { call.Revision = answer.Revision })
}

func (c *caller) read(key string) history.Call {
	var answer struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	return c.call(history.Call{Operation: history.Read, Name: key},
		request{method: http.MethodGet, path: "/cells/" + key + "/read"}, &answer,
		func(call *history.Call) { call.Value, call.Revision = answer.Value, answer.Revision })
}

func (c *caller) watch(group string, after uint64, wait time.Duration) history.Call {
	var answer struct {
		Events   []history.Event `json:"events"`
		Revision uint64          `json:"revision"`
	}
	path := fmt.Sprintf("/watch/%s?after=%d&wait_ms=%d", group, after, wait.Milliseconds())
	return c.call(history.Call{Operation: history.Watch, Name: group, After: after}, request{method: http.MethodGet, path: path, wait: wait},
		&answer, func(call *history.Call) { call.Revision, call.Events = answer.Revision, answer.Events })
}

// configuration is the part of the configuration document that the scenario uses.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

type route struct {
	Name            string `json:"name"` // distinguishes configurations of the same version
	Host            string `json:"host"`
	PathPrefix      string `json:"path_prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeout_ms"`
	TargetLatencyMs int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
}

const serviceName = "lookups"

func newConfiguration(version int, content string) configuration {
	return configuration{
		Version: version,
		Routes: []route{{
			Name: content, Host: "lookups.example", PathPrefix: "/", Kind: "idempotent", TimeoutMs: 3000, TargetLatencyMs: 500,
			Service: serviceName, MaxAttempts: 2,
		}},
		Services: []map[string]any{{
			"name": serviceName, "health_check_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false,
		}},
		Limits: map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

func (c *caller) configure(base, version int, content string) history.Call {
	return c.call(history.Call{Operation: history.Configure, Base: base, Version: version, Content: content}, request{
		method: http.MethodPost, path: "/configuration/replace", body: newConfiguration(version, content),
		header: map[string]string{"X-Base-Version": fmt.Sprint(base)},
	}, nil, nil)
}

func (c *caller) readConfiguration() history.Call {
	var answer configuration
	return c.call(history.Call{Operation: history.ReadConfiguration},
		request{method: http.MethodGet, path: "/configuration/read"}, &answer, func(call *history.Call) {
			call.Version = answer.Version
			if len(answer.Routes) > 0 {
				call.Content = answer.Routes[0].Name
			}
		})
}
