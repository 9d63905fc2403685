// Package config loads the configuration that the platform passes to a sidecar process at startup: the JSON file at the path
// in BALANCER_CONFIG, and the environment variables that take precedence over it.
//
// The package owns the names of the keys and variables, the validation of the values, and the list of values with their
// sources for `dykering config show`. Package settings decodes the key "settings" of the file. The operator's own file
// belongs to package operator.
//
// A configuration with an error is never used. The errors of all values are reported together, each with its line and key.
// A Config does not change after Load; Reload returns a new one.
package config
