package config

import (
	"dykering/internal/core"
	"dykering/internal/settings"
)

// Config is the configuration of a sidecar process.
type Config struct {
	Name      string
	Listen    string      // host:port for clients
	Control   string      // host:port for operators; empty if there is no control address
	Discovery string      // host:port of the discovery service
	Seed      uint64      // seed of the random numbers
	Limits    core.Limits // limits of the container; see Plan
	Known     core.List   // last endpoint list of a previous process; may be stale
	Settings  settings.Settings

	// Accept is the descriptor of a listening socket that this process has inherited from the platform. It is nil if the
	// process opens its own socket. The previous or the next version of the process may accept on an inherited socket
	// too.
	Accept *int

	// Handover is a directory that is shared by the processes that accept on the inherited socket, or empty. A stopping
	// process finds the socket of its successor there, to which it passes its connections.
	Handover string

	path      string // of the file
	getenv    func(string) string
	sources   map[string]string // by key, the sources of values that do not come from the file
	positions keyPositions
}

// maxProcesses is the number of processes that may accept on an inherited socket at the same time.
const maxProcesses = 2

// LeastSockets is the minimum number of sockets of a process. It leaves some for connections besides the reserved ones.
const LeastSockets = 64

// Plan returns the limits of this process. A process with an inherited socket plans for an equal share of the container's
// memory and sockets, because the next process shares the container with it during an upgrade.
func (c *Config) Plan() core.Limits {
	limits := c.Limits
	if c.Accept != nil {
		limits.MemoryMB /= maxProcesses
		limits.Sockets /= maxProcesses
	}
	return limits
}

// Core returns the configuration of the event loop.
func (c *Config) Core() core.Config {
	return core.Config{Settings: c.Settings, Seed: c.Seed, Limits: c.Plan(), CachedList: c.Known, DiscoveryAddress: c.Discovery}
}
