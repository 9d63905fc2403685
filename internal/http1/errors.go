package http1

import (
	"errors"
)

var (
	errTooLarge   = errors.New("too large")
	errSpoilt     = errors.New("cannot be read")
	errNoRoom     = errors.New("no memory for the body")
	errCallerGone = errors.New("the caller has gone")
	errPassedOn   = errors.New("passed on to the successor")
)
