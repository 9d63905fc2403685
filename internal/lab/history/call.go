package history

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Operation is the kind of a call.
type Operation string

// The operations of the coordination service, and those of the operator.
const (
	Begin             Operation = "begin" // acquires a lock
	Heartbeat         Operation = "heartbeat"
	Finish            Operation = "finish"
	Number            Operation = "number"
	Put               Operation = "put"
	Read              Operation = "read"
	Watch             Operation = "watch"
	Configure         Operation = "configure"
	ReadConfiguration Operation = "read configuration"
)

// Operations returns all operations.
func Operations() []Operation {
	return []Operation{Begin, Heartbeat, Finish, Number, Put, Read, Watch, Configure, ReadConfiguration}
}

// Event is a put as a watch delivers it.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Call is one attempt of a call. Times come from the client's monotonic clock and count from the beginning of the history.
type Call struct {
	Client    string        `json:"client"` // also the lease_holder of calls on locks
	Operation Operation     `json:"operation"`
	Name      string        `json:"name,omitempty"` // name of the lock, number, key or group; the name of a group ends with a dot
	Address   string        `json:"address,omitempty"`
	Sent      time.Duration `json:"sent"`
	Received  time.Duration `json:"received"` // time of the answer, or of the timeout
	Status    int           `json:"status"`   // 0 if no answer arrived
	// Final marks a call that was made after the final restart of all processes.
	Final bool `json:"final,omitempty"`

	Hold  time.Duration `json:"hold,omitempty"`
	Token uint64        `json:"token,omitempty"` // fencing token: granted by Begin, sent with Heartbeat and Finish

	Value      string `json:"value,omitempty"` // value that a put wrote or a read returned
	IfRevision uint64 `json:"if_revision,omitempty"`
	// Conditional is true if the put had an if_revision.
	Conditional bool    `json:"conditional,omitempty"`
	After       uint64  `json:"after,omitempty"` // revision that a watch resumes from
	Revision    uint64  `json:"revision,omitempty"`
	Events      []Event `json:"events,omitempty"`
	Number      uint64  `json:"number,omitempty"` // number that the answer contains

	Base    int    `json:"base,omitempty"`    // version that a configuration change replaces
	Version int    `json:"version,omitempty"` // version of the configuration that was sent or read
	Content string `json:"content,omitempty"` // distinguishes configurations of the same version
}

func (c *Call) succeeded() bool { return c.Status == http.StatusOK }

// rejected reports whether the answer guarantees that the call never takes effect.
func (c *Call) rejected() bool {
	return c.Status == http.StatusPreconditionFailed || c.Status == http.StatusTooManyRequests ||
		c.Status == http.StatusServiceUnavailable
}

// answeredBefore reports whether the call was answered before the other call was sent.
func (c *Call) answeredBefore(other *Call) bool { return c.Received <= other.Sent }

// String formats the call for a trace.
func (c *Call) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[%.4f to %.4f s] %s %s %s at %s", c.Sent.Seconds(), c.Received.Seconds(), c.Client, c.Operation, c.Name, c.Address)
	switch c.Operation {
	case Begin, Heartbeat, Finish:
		fmt.Fprintf(&text, " hold %v token %d", c.Hold, c.Token)
	case Number:
		fmt.Fprintf(&text, " number %d", c.Number)
	case Put:
		fmt.Fprintf(&text, " value %s", c.Value)
		if c.Conditional {
			fmt.Fprintf(&text, " if_revision %d", c.IfRevision)
		}
		fmt.Fprintf(&text, " revision %d", c.Revision)
	case Read:
		fmt.Fprintf(&text, " value %s revision %d", c.Value, c.Revision)
	case Watch:
		fmt.Fprintf(&text, " after %d revision %d events %v", c.After, c.Revision, c.Events)
	case Configure, ReadConfiguration:
		fmt.Fprintf(&text, " base %d version %d content %s", c.Base, c.Version, c.Content)
	}
	fmt.Fprintf(&text, " -> %d", c.Status)
	return text.String()
}
