package flood

import (
	"context"
	"fmt"
	"time"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/pause"
)

// descriptorsForFiles is the part of the limit of descriptors that the platform keeps for files outside the disk folder.
const descriptorsForFiles = 200

// Process is a process under a flood.
type Process interface {
	PID() int
	HasEnded() bool
}

// Case is one flood at one listener.
type Case struct {
	Process  Process
	Target   Target
	Behavior Behavior
	Count    int // clients
	// Limits are those of the process's settings file.
	Limits localprocess.Limits
	// AllDescriptorsForSockets is true for a process of which no descriptors are kept for files.
	AllDescriptorsForSockets bool
}

// Result is what a case showed.
type Result struct {
	Usage       Usage
	Connections int64
	Violations  []string
}

const (
	// settleTime is how long the flood lasts before the ordinary request.
	settleTime = time.Second
	// minReadings is the number of readings of the usage without which the settle time is extended.
	minReadings = 5
	// serveTimeout bounds the time in which the ordinary request must be answered. It is as long as a hang of a test would be.
	serveTimeout = 20 * time.Second
	retryPause   = 100 * time.Millisecond
)

// Run plays a case. The process must be ready.
func (c *Case) Run(ctx context.Context) Result {
	monitor := Watch(c.Process.PID())
	clients := Start(ctx, c.Target, c.Behavior, c.Count)
	pause.For(ctx.Done(), settleTime)
	for began := time.Now(); (monitor.Readings() < minReadings || clients.Connections() < int64(c.Count)) && time.Since(began) < serveTimeout; {
		pause.For(ctx.Done(), retryPause)
	}
	served := awaitServed(ctx, c.Target, c.Process)
	result := Result{Connections: clients.Connections()}
	clients.Close()
	result.Usage = monitor.Stop()
	if c.Process.HasEnded() {
		result.Violations = append(result.Violations, "the process ended by itself")
		return result
	}
	if !served {
		result.Violations = append(result.Violations, "no ordinary request was served while the flood was connected")
	}
	if !awaitServed(ctx, c.Target, c.Process) {
		result.Violations = append(result.Violations, "no ordinary request was served after the flood")
	}
	result.Violations = append(result.Violations, overLimits(result.Usage, c.Limits, c.AllDescriptorsForSockets)...)
	return result
}

// awaitServed sends ordinary requests to a target until one is served. It returns false if none is within serveTimeout, or if the
// process ends.
func awaitServed(ctx context.Context, target Target, process Process) bool {
	for began := time.Now(); time.Since(began) < serveTimeout && !process.HasEnded(); {
		if target.isServed() {
			return true
		}
		if !pause.For(ctx.Done(), retryPause) {
			return false
		}
	}
	return false
}

// overLimits returns the limits that a usage exceeds.
func overLimits(usage Usage, limits localprocess.Limits, allForSockets bool) (violations []string) {
	sockets := limits.FileDescriptors
	if !allForSockets {
		sockets -= descriptorsForFiles
	}
	if usage.MemoryBytes > int64(limits.MemoryMB)<<20 {
		violations = append(violations, fmt.Sprintf("memory over %d MiB: %v", limits.MemoryMB, usage))
	}
	if usage.Sockets > sockets {
		violations = append(violations, fmt.Sprintf("sockets over %d: %v", sockets, usage))
	}
	return violations
}
