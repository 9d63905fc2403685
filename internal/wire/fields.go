package wire

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"time"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

// fields parses the values of a line one after another. The first missing or malformed value sets err, and all values
// after it are zero.
type fields struct {
	server *server
	// The name of the event, which is the first word of the line.
	name string
	// The part of the line that has not been parsed.
	rest []byte
	// The line has another value, which may be empty.
	more bool
	// The first error; nil if there was none.
	err error
}

// cut splits off the next value. It returns nil at the end of the line.
func (f *fields) cut() []byte {
	if !f.more {
		return nil
	}
	part, rest, more := bytes.Cut(f.rest, []byte{' '})
	f.rest, f.more = rest, more
	return part
}

// fail sets the error for a field, unless there already is an error.
func (f *fields) fail(field, what string) {
	if f.err == nil {
		f.err = f.server.malformed(f.name, field, what)
	}
}

// required returns the next value, which must be present.
func (f *fields) required(field string) []byte {
	p := f.cut()
	if f.err == nil && (len(p) == 0 || len(p) == 1 && p[0] == '-') {
		f.fail(field, "missing")
	}
	return p
}

// number parses the next value, a whole number that must be present.
func (f *fields) number(field string) int64 { return f.parseInt(field, f.required(field)) }

// parseInt parses a whole number.
func (f *fields) parseInt(field string, p []byte) int64 {
	if f.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(string(p), 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("%q is not a whole number", p))
		return 0
	}
	return n
}

// optional parses the next value, a whole number. It returns 0 for "-", which means that the number is absent.
func (f *fields) optional(field string) int64 {
	p := f.cut()
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	if len(p) == 0 {
		f.fail(field, "missing")
		return 0
	}
	return f.parseInt(field, p)
}

// optionalText returns the affinity of a request. It returns "" for "-", which means that there is none.
func (f *fields) optionalText() string {
	p := f.cut()
	if len(p) == 0 {
		f.fail("affinity", "missing")
	}
	if len(p) == 1 && p[0] == '-' {
		return ""
	}
	return string(p)
}

// float parses the next value, a finite number that must be present.
func (f *fields) float(field string) float64 {
	p := f.required(field)
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(string(p), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(field, fmt.Sprintf("%q is not a number", p))
		return 0
	}
	return v
}

// time parses the next value, a time in microseconds.
func (f *fields) time(field string) time.Duration { return settings.Micros(f.number(field)) }

// id parses the next value, a request id.
func (f *fields) id(field string) decision.RequestID {
	return decision.RequestID(f.required(field))
}

// endpoint parses the next value, an endpoint id.
func (f *fields) endpoint() decision.EndpointID {
	n := f.number("endpoint")
	if f.err == nil && (n < 0 || n > math.MaxUint32) {
		f.fail("endpoint", "out of range")
	}
	return decision.EndpointID(n)
}

// flag parses the next value, which is 0 or 1.
func (f *fields) flag(field string) bool {
	n := f.number(field)
	if f.err == nil && n != 0 && n != 1 {
		f.fail(field, "neither 0 nor 1")
	}
	return n == 1
}

// status parses the next value, the protocol's code of an attempt's outcome.
func (f *fields) status() decision.Status {
	switch n := f.number("ending"); n {
	case 100:
		return decision.OK
	case 301:
		return decision.Error
	case 302:
		return decision.Rejected
	case 303:
		return decision.Timeout
	case 304:
		return decision.ConnectFailed
	case 305:
		return decision.Reset
	case 306:
		return decision.Cancelled
	case 307:
		return decision.NotSent
	default:
		f.fail("ending", fmt.Sprintf("unknown outcome %d", n))
		return decision.Error
	}
}

// state parses the next value, the protocol's code of an endpoint's state.
func (f *fields) state() decision.State {
	switch n := f.number("mode"); n {
	case 2:
		return decision.Ready
	case 0:
		return decision.Draining
	case 1:
		return decision.Departed
	default:
		f.fail("mode", fmt.Sprintf("unknown state %d", n))
		return decision.Departed
	}
}

// load parses a load report. It returns nil for "-", which means that there is none.
func (f *fields) load() *decision.Load {
	p := f.cut()
	if len(p) == 0 {
		f.fail("pressure", "missing")
		return nil
	}
	if len(p) == 1 && p[0] == '-' || f.err != nil {
		return nil
	}
	l, err := settings.ParseLoad(string(p), ":")
	if err != nil {
		f.fail("pressure", err.Error())
	}
	return l
}

// bytes parses the next value, data in base64. It returns nil for "-", which means that there is none.
func (f *fields) bytes() []byte {
	p := f.cut()
	if len(p) == 0 {
		f.fail("data", "missing")
	}
	if len(p) == 1 && p[0] == '-' || f.err != nil {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(string(p))
	if err != nil {
		f.fail("data", "not base64")
	}
	return data
}
