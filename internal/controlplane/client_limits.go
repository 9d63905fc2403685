package controlplane

import (
	"net/http"
	"time"

	"dykering/internal/connlimit"
	"dykering/internal/core"
	"dykering/internal/errkind"
	"dykering/internal/nodefile"
)

// Shares of the process's memory and of its descriptors for sockets that callers of the HTTP interface, and other processes of the
// system, can take up.
const (
	callerMemoryShare     = 0.15
	callerDescriptorShare = 0.45
	headMemoryShare       = 0.05
	bodyMemoryShare       = 0.1

	peerMemoryShare     = 0.05
	peerDescriptorShare = 0.25
	// messageMemoryShare is the share for messages that are not received completely.
	messageMemoryShare = 0.1
)

const (
	// minMemoryMB is the memory limit, in MB, if the settings have a lower limit or none.
	minMemoryMB = 64
	// maxHeaderBytes bounds the head of a call.
	maxHeaderBytes = 16 << 10
	// bodyTimeout bounds the time in which the body of a call must arrive.
	bodyTimeout = 30 * time.Second
	// bodyBufferBytes is the size of the first buffer for a body. It doubles whenever it is full.
	bodyBufferBytes = 4 << 10
	// parsedConfigurationWeight is the memory that a parsed configuration takes up, for each byte of its text.
	parsedConfigurationWeight = 64
)

// callerLimits returns the limits of the callers of the HTTP interface.
func callerLimits(limits nodefile.Limits) connlimit.Limits {
	memoryMB := max(limits.MemoryMB, minMemoryMB)
	return connlimit.Limits{
		Connections: connlimit.MaxConnections(memoryMB, callerMemoryShare, limits.FileDescriptors, callerDescriptorShare),
		HeadBytes:   shareOf(memoryMB, headMemoryShare),
		BodyTimeout: bodyTimeout,
		Weigh:       connlimit.HeadWeight,
		Refuse: func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, errkind.New(errkind.Overloaded, "no memory for the head"))
		},
	}
}

// peerLimits returns the limits of the connections for messages between processes.
func peerLimits(limits nodefile.Limits) connlimit.Limits {
	memoryMB := max(limits.MemoryMB, minMemoryMB)
	return connlimit.Limits{
		Connections: connlimit.MaxConnections(memoryMB, peerMemoryShare, limits.FileDescriptors, peerDescriptorShare),
		HeadBytes:   shareOf(memoryMB, messageMemoryShare),
		Weigh:       connlimit.MessageWeight,
	}
}

// newBodyBudget returns the memory for the bodies of calls.
func newBodyBudget(limits nodefile.Limits) *core.Budget {
	budget := &core.Budget{}
	budget.Release(shareOf(max(limits.MemoryMB, minMemoryMB), bodyMemoryShare))
	return budget
}

// configurationBytes returns the length of the longest configuration that the process takes: its parsed form must fit into the
// memory.
func configurationBytes(limits nodefile.Limits) int64 {
	return min(maxConfigurationBytes, int64(max(limits.MemoryMB, minMemoryMB))<<20/parsedConfigurationWeight)
}

func shareOf(memoryMB int, share float64) int { return int(share * float64(memoryMB<<20)) }
