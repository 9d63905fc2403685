package config

import (
	"fmt"
	"net"

	"dykering/internal/validation"
)

// validationErrors collects the errors of the values in a file.
type validationErrors struct {
	path      string
	positions keyPositions
	errors    []validation.Error
}

// add records an error of the value of a key.
func (e *validationErrors) add(key, text string) {
	e.errors = append(e.errors, validation.Error{File: e.path, Line: e.positions.lines[key], Key: key, Text: text})
}

// check validates the values of the configuration.
func (c *Config) check(errs *validationErrors) {
	checkAddress("listen", c.Listen, errs)
	if c.Control != "" {
		checkAddress("control", c.Control, errs)
	}
	checkAddress("discovery", c.Discovery, errs)
	if c.Name == "" {
		errs.add("name", "missing")
	}
	if c.Limits.Cores <= 0 {
		errs.add("limits.cores", fmt.Sprintf("%v is not above 0", c.Limits.Cores))
	}
	if c.Plan().MemoryMB <= 0 {
		errs.add("limits.memory_mb", fmt.Sprintf("%v leaves no memory for a process", c.Limits.MemoryMB))
	}
	if c.Plan().Sockets < LeastSockets {
		errs.add("limits.sockets", fmt.Sprintf("%v leaves fewer than %d sockets for a process", c.Limits.Sockets, LeastSockets))
	}
	if c.Settings.Classes != nil && c.Settings.ConnectTimeout <= 0 {
		errs.add("settings.allowed.connectTimeout", "not above 0")
	}
}

// checkAddress checks that the value of a key has the form host:port.
func checkAddress(key, address string, errs *validationErrors) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		errs.add(key, fmt.Sprintf("%q is not host:port", address))
	}
}
