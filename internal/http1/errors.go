package http1

import (
	"errors"
)

var (
	// errTooLarge is a body or head beyond its bound.
	errTooLarge = errors.New("too large")
	// errMalformed is a message that cannot be parsed, or whose framing is ambiguous.
	errMalformed = errors.New("cannot be read")
	// errNoMemory is a body for which no memory can be reserved.
	errNoMemory = errors.New("no memory for the body")
	// errClientGone is a client that has closed its connection.
	errClientGone = errors.New("the client has gone")
	// errTransferred ends what the successor continues.
	errTransferred = errors.New("transferred to the successor")
)
