package http1

import (
	"errors"
)

var (
	// errTooLarge reports a body or head that exceeds its bound.
	errTooLarge = errors.New("too large")
	// errMalformed reports a message that cannot be parsed or whose framing is ambiguous.
	errMalformed = errors.New("cannot be read")
	// errNoMemory reports that no memory can be reserved for a body.
	errNoMemory = errors.New("no memory left for the request body")
	// errClientGone reports that the client has closed its connection.
	errClientGone = errors.New("client closed the connection")
	// errTransferred ends a copy that the successor continues.
	errTransferred = errors.New("connection transferred to the successor")
)
