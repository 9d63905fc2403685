package connlimit

import (
	"bytes"
	"net/http"
	"time"
)

// Limits bound what the clients of a listener can take up.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// HeadBytes is the memory for the heads of requests, or for messages, beyond lightHeadBytes of each connection.
	HeadBytes int
	// BodyTimeout bounds the time in which a body must arrive.
	BodyTimeout time.Duration
	// Weigh returns the memory that a part of a head or of a message takes up.
	Weigh func(input []byte) int
	// Refuse answers a request whose head finds no room. The request has not run.
	Refuse http.HandlerFunc
}

const (
	// lightHeadBytes is the weight of a head that is included in the memory of a connection.
	lightHeadBytes = 12 << 10
	// receiveBufferBytes is the receive buffer that is asked of the kernel, which doubles the size. Unread input counts as memory
	// of the process.
	receiveBufferBytes = 16 << 10
	// connectionBytes is the memory of a connection: two buffers and two stacks of net/http, a light head, and unread input.
	connectionBytes = 64 << 10
	// minConnections is the lowest limit of connections, however low the limits of the process are.
	minConnections = 16

	// reservedDescriptors is the number of descriptors that the platform keeps for files.
	reservedDescriptors = 200
)

// MaxConnections returns a limit of connections that takes up at most a share of the memory and a share of the descriptors for
// sockets of a process.
func MaxConnections(memoryMB int, memoryShare float64, descriptors int, descriptorShare float64) int {
	byMemory := int(memoryShare * float64(memoryMB<<20) / connectionBytes)
	byDescriptors := int(descriptorShare * float64(SocketDescriptors(descriptors)))
	return max(min(byMemory, byDescriptors), minConnections)
}

// SocketDescriptors returns the number of descriptors that a process may use for sockets.
func SocketDescriptors(descriptors int) int {
	return max(descriptors-reservedDescriptors, descriptors/2)
}

// Weights of a head of HTTP. A parsed line has a slice and strings of its own, and an entry of a map that grows by doubling. The
// text is held up to three times: in the reader, as a line, and as strings.
const (
	headLineWeight = 256
	headByteWeight = 3
)

// HeadWeight returns the memory that a part of a head of HTTP takes up at most.
func HeadWeight(input []byte) int {
	return headByteWeight*len(input) + headLineWeight*bytes.Count(input, []byte{'\n'})
}

// HeavyPart returns the part of a head's weight that is not included in the memory of its connection.
func HeavyPart(weight int) int { return max(weight-lightHeadBytes, 0) }

// headerWeight returns the weight of the parsed head of a request.
func headerWeight(r *http.Request) int {
	weight := headByteWeight * len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			weight += headLineWeight + headByteWeight*(len(name)+len(value))
		}
	}
	return weight
}

// messageByteWeight covers the buffer of a message, the copy of gob and the decoded form.
const messageByteWeight = 4

// MessageWeight returns the memory that a part of a message between processes takes up.
func MessageWeight(input []byte) int { return messageByteWeight * len(input) }
