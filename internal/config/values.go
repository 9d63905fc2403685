package config

import (
	"fmt"
	"strconv"
)

// Value is a configuration value for display. Its source is "path:line", "environment NAME" or "not set".
type Value struct{ Key, Text, Source string }

// Values returns the values of the configuration for display. It summarizes the settings and the endpoint list, which are
// long.
func (c *Config) Values() []Value {
	var values []Value
	add := func(key, text string) {
		values = append(values, Value{Key: key, Text: text, Source: c.sourceOf(key)})
	}
	add("name", strconv.Quote(c.Name))
	add("listen", strconv.Quote(c.Listen))
	if c.Accept != nil {
		values = append(values, Value{Key: "accept_fd", Text: strconv.Itoa(*c.Accept), Source: environmentSource("BALANCER_ACCEPT_FD")})
	}
	add("control", strconv.Quote(c.Control))
	add("discovery", strconv.Quote(c.Discovery))
	add("limits.cores", fmt.Sprint(c.Limits.Cores))
	add("limits.memory_mb", fmt.Sprint(c.Limits.MemoryMB))
	add("limits.sockets", fmt.Sprint(c.Limits.Sockets))
	add("known", fmt.Sprintf("%d endpoints of version %d", len(c.Known.Targets), c.Known.Rev))
	add("settings", fmt.Sprintf("%d classes, %d tenants, %d instances", len(c.Settings.Classes), len(c.Settings.Tenants),
		c.Settings.Instances))
	return values
}

// sourceOf returns the text of Value.Source for the value of a key.
func (c *Config) sourceOf(key string) string {
	if source, ok := c.sources[key]; ok {
		return source
	}
	if line := c.positions.lines[key]; line > 0 {
		return fmt.Sprintf("%s:%d", c.path, line)
	}
	return "not set"
}
