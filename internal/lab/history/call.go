package history

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Operation is what a call asks for.
type Operation string

// The operations of the coordination service, and those of the operator.
const (
	Begin             Operation = "begin" // takes a lock
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

// Event is a put that a watch shows.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Call is one try of a call. Times are those of the client's steady clock, from the beginning of the history.
type Call struct {
	Client    string        `json:"client"` // for locks, its lease_holder
	Operation Operation     `json:"operation"`
	Name      string        `json:"name,omitempty"` // of a lock, a number, a key or, with its dot, a group
	Address   string        `json:"address,omitempty"`
	Sent      time.Duration `json:"sent"`
	Received  time.Duration `json:"received"` // or given up
	Status    int           `json:"status"`   // 0 where no answer came
	// Final marks a call of the end, when all processes run again.
	Final bool `json:"final,omitempty"`

	Hold  time.Duration `json:"hold,omitempty"`
	Token uint64        `json:"token,omitempty"` // the fencing token: of Begin's answer, and of the other requests

	Value      string `json:"value,omitempty"` // of a put's request, and of a read's answer
	IfRevision uint64 `json:"if_revision,omitempty"`
	// Conditional says that the put had an if_revision.
	Conditional bool    `json:"conditional,omitempty"`
	After       uint64  `json:"after,omitempty"` // of a watch
	Revision    uint64  `json:"revision,omitempty"`
	Events      []Event `json:"events,omitempty"`
	Number      uint64  `json:"number,omitempty"` // of an answer

	Base    int    `json:"base,omitempty"`    // the version that a configuration builds on
	Version int    `json:"version,omitempty"` // of a configuration
	Content string `json:"content,omitempty"` // tells configurations of the same version apart
}

// succeeded reports whether the call was answered with 200.
func (c *Call) succeeded() bool { return c.Status == http.StatusOK }

// rejected reports whether the answer promises that the call never takes effect.
func (c *Call) rejected() bool {
	return c.Status == http.StatusPreconditionFailed || c.Status == http.StatusTooManyRequests ||
		c.Status == http.StatusServiceUnavailable
}

// answeredBefore reports whether the call's answer had come when another one was sent.
func (c *Call) answeredBefore(other *Call) bool { return c.Received <= other.Sent }

// String describes the call for a trace.
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
