package config

import (
	"dykering/internal/core"
	"dykering/internal/settings"
)

// Config is the configuration of a process.
type Config struct {
	Name      string
	Listen    string // host:port for clients
	Control   string // host:port for operators; empty for none
	Discovery string // host:port of the discovery service
	Seed      uint64
	Limits    core.Limits // of the container; see Plan
	Known     core.List   // the endpoints as this sidecar last had them; may be old
	Settings  settings.Settings

	// Accept is the descriptor of a listening socket that the platform holds and this process has inherited; nil
	// where the process opens its own. The previous or the next version of the process may accept on it too.
	Accept *int

	// Handover is a directory that the processes that accept on that socket share; empty if there is none. A process
	// that ends passes its connections to its successor there.
	Handover string

	path      string
	getenv    func(string) string
	sources   map[string]string // by key, of the values that do not come from the file
	positions keyPositions
}

// maxProcesses is how many processes may accept on an inherited socket at a time.
const maxProcesses = 2

// LeastSockets is the smallest limit of sockets that leaves some for connections beside the reserved ones.
const LeastSockets = 64

// Plan returns the limits of this process. Processes that accept on the same socket share the limits of the container
// from the moment the second one starts.
func (c *Config) Plan() core.Limits {
	limits := c.Limits
	if c.Accept != nil {
		limits.MemoryMB /= maxProcesses
		limits.Sockets /= maxProcesses
	}
	return limits
}

// Core returns the configuration of the core.
func (c *Config) Core() core.Config {
	return core.Config{Settings: c.Settings, Seed: c.Seed, Limits: c.Plan(), CachedList: c.Known, DiscoveryAddress: c.Discovery}
}
