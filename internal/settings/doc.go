// Package settings decodes the platform's settings of an instance, a JSON object, and the load reports of endpoints.
//
// The package owns the platform's vocabulary: the JSON keys, the values for effects, scopes and discovery modes, and
// microseconds as the unit of times. The platform defines the keys. Parse translates the settings to decision.Settings and
// to the additional settings of the program around the Balancer. It ignores unknown keys and returns them, so that a newer
// platform can start an older build. Parse reports only errors of the translation; decision.Settings.Check validates the
// values.
//
// The operator's own configuration belongs to internal/operator.
//
// internal/config uses the package for the sidecar, and internal/wire for the simulator. internal/http1 and internal/wire
// parse load reports.
package settings
