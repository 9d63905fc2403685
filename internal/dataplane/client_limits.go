package dataplane

import (
	"net/http"

	"dykering/internal/connlimit"
	"dykering/internal/errkind"
	"dykering/internal/nodefile"
)

// Shares of the process's memory and of its descriptors for sockets that clients can take up. Bodies have a share of their own
// (package core). Each request in progress may need a connection to an endpoint, so clients get less than half of the descriptors.
const (
	clientMemoryShare     = 0.2
	clientDescriptorShare = 0.35
	headMemoryShare       = 0.05
)

const (
	// maxReadinessConnections bounds the connections of the platform and of monitoring.
	maxReadinessConnections = 16
	// readinessHeadBytes is the memory for their heads.
	readinessHeadBytes = 256 << 10
)

// frontendLimits returns the limits of the clients of a proxy.
func frontendLimits(limits nodefile.Limits) connlimit.Limits {
	memoryMB := max(limits.MemoryMB, minMemoryMB)
	return connlimit.Limits{
		Connections: connlimit.MaxConnections(memoryMB, clientMemoryShare, limits.FileDescriptors, clientDescriptorShare),
		HeadBytes:   int(headMemoryShare * float64(memoryMB<<20)),
		BodyTimeout: defaultRequestTimeout,
		Weigh:       connlimit.HeadWeight,
		Refuse:      refuseHead,
	}
}

// readinessLimits returns the limits of the clients that check the readiness of a proxy or read its metrics.
func readinessLimits() connlimit.Limits {
	return connlimit.Limits{
		Connections: maxReadinessConnections, HeadBytes: readinessHeadBytes, BodyTimeout: readHeaderTimeout,
		Weigh: connlimit.HeadWeight, Refuse: refuseHead,
	}
}

// refuseHead rejects a request whose head finds no room.
func refuseHead(w http.ResponseWriter, _ *http.Request) {
	rejected := &rejection{kind: errkind.Overloaded, detail: "no memory for the head", retryAfter: randomOverloadRetryAfter()}
	rejected.write(w)
}
