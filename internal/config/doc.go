// Package config reads the configuration that the platform gives a sidecar process at its start: the JSON file that
// BALANCER_CONFIG names, and the environment variables that take precedence over it.
//
// It owns the names of those keys and variables, the checks of the values, and the list of values with their sources for
// `dykering config show`. The settings of the decisions inside the file belong to package settings, the operator's own
// file to package operator.
//
// Invariants: a configuration with an error is not used; the errors of the values are reported together, each with its
// line and key. The configuration does not change; Reload makes another.
package config
