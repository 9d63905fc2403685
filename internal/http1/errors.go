package http1

import (
	"errors"
)

var (
	errTooLarge    = errors.New("too large")
	errMalformed   = errors.New("cannot be read")
	errNoMemory    = errors.New("no memory for the body")
	errClientGone  = errors.New("the caller has gone")
	errTransferred = errors.New("passed on to the successor")
)
