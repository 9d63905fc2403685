package config

import (
	"fmt"
	"strconv"
)

// override describes an environment variable that takes precedence over a key of the file.
type override struct {
	variable, key string
	field         func(c *Config) *string
}

// overrides apply to Load and Reload.
var overrides = []override{
	{"BALANCER_NAME", "name", func(c *Config) *string { return &c.Name }},
	{"BALANCER_LISTEN", "listen", func(c *Config) *string { return &c.Listen }},
	{"BALANCER_CONTROL", "control", func(c *Config) *string { return &c.Control }},
}

// discoveryOverride applies to Load only; Reload explains why.
var discoveryOverride = override{"BALANCER_DISCOVERY", "discovery", func(c *Config) *string { return &c.Discovery }}

// applyEnvironment overrides the values whose environment variables are not empty.
func (c *Config) applyEnvironment(overrides []override) {
	for _, o := range overrides {
		if value := c.getenv(o.variable); value != "" {
			*o.field(c) = value
			c.sources[o.key] = environmentSource(o.variable)
		}
	}
}

// inheritListener reads the descriptor of the inherited listening socket and the handover directory from the environment.
func (c *Config) inheritListener() error {
	text := c.getenv("BALANCER_ACCEPT_FD")
	if text == "" {
		return nil
	}
	parsed, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return fmt.Errorf("BALANCER_ACCEPT_FD: %q is not a descriptor", text)
	}
	descriptor := int(parsed)
	c.Accept = &descriptor
	c.Handover = c.getenv("TMPDIR")
	return nil
}

// environmentSource returns the text of Value.Source for a value from an environment variable.
func environmentSource(variable string) string { return "environment " + variable }
