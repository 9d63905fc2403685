// Package settings decodes the JSON object that starts an instance, and an endpoint's load report.
//
// It owns the platform's names: JSON keys, the words for effects, scopes and discovery, and microseconds as the unit of
// times. Parse translates them to decision.Settings and to what only the embedding program needs. Unknown keys are
// passed over and returned, so that a newer platform can start an older build. It checks what it translates; the
// Balancer checks the values (decision.Settings.Check).
//
// It is not for the operator's own configuration, which is internal/operator's.
//
// Callers: internal/config for the sidecar, internal/wire for the simulator, internal/http1 and internal/wire for load
// reports. Source: the platform's pages on deployment and on the wire; the keys are fixed.
package settings
