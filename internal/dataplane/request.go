package dataplane

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"dykering/internal/core"
	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
)

// Bounds of a request.
const (
	// maxBodyBytes bounds a body; the configuration's limit may be lower.
	maxBodyBytes = 8 << 20
	// bodyBufferSize is how many bytes of memory a body takes first. It takes as much again as it has each time it grows: its
	// length is only what the client says.
	bodyBufferSize = 16 << 10
	// minSharedTokens is how many tokens the shared beginning of a prompt must have for an affinity: below it, reading it again
	// costs less than a worse endpoint. Half or double: not measured.
	minSharedTokens = 1024
)

// request is a client's request, read completely.
type request struct {
	id     string
	route  *fleetconfig.Route
	method string
	target string
	host   string
	header http.Header

	body       []byte
	bodyMemory int // bytes of the memory for bodies that it holds, to be given back

	model        string
	adapter      string
	usage        tokenUsage
	promptPrefix []promptSegment
	arrivedAt    time.Time
	deadline     time.Time // at which the client, or the operator's timeout, gives it up
	service      string
	engine       *fleetconfig.Engine // of the service; nil for a service without models
	promptSize   promptSize
	isRetry      bool // it seems to be a client's retry
}

// readRequest reads a request whose route is known. Its errors have a kind (errkind): TooLarge, Malformed where the body is
// cut short, Overloaded where there is no memory for the body. The memory that the request holds is to be given back also
// after an error.
func readRequest(r *http.Request, route *fleetconfig.Route, limits fleetconfig.Limits, memory *core.Budget) (*request, error) {
	req := &request{
		id: r.Header.Get(headerRequestID), route: route,
		method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header,
		usage:        parseTokenUsage(r.Header.Get(headerTokenUsage)),
		promptPrefix: parsePromptPrefix(r.Header.Get(headerPromptPrefix)),
		arrivedAt:    time.Now(),
	}
	req.deadline = req.arrivedAt.Add(requestTimeout(r, route))
	req.model, req.adapter, _ = strings.Cut(r.Header.Get(headerModel), "/")
	limit := int64(maxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		limit = min(limit, int64(limits.MaxBodyBytes))
	}
	if r.ContentLength > limit {
		return req, errkind.New(errkind.TooLarge, "")
	}
	return req, req.readBody(r.Body, limit, memory)
}

// readBody reads a body of bounded length.
func (req *request) readBody(from io.Reader, limit int64, memory *core.Budget) error {
	for {
		if len(req.body) == cap(req.body) {
			growth := max(bodyBufferSize, len(req.body))
			if !memory.TryAcquire(growth) {
				return errkind.New(errkind.Overloaded, "no memory for the body")
			}
			req.bodyMemory += growth
			req.body = append(make([]byte, 0, len(req.body)+growth), req.body...)
		}
		n, err := from.Read(req.body[len(req.body):cap(req.body)])
		req.body = req.body[:len(req.body)+n]
		switch {
		case int64(len(req.body)) > limit:
			return errkind.New(errkind.TooLarge, "")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errkind.New(errkind.Malformed, "the body was cut short")
		}
	}
}

// remaining is the time until the deadline.
func (req *request) remaining() time.Duration { return time.Until(req.deadline) }

// demandKey is what the demand for its model is counted under.
func (req *request) demandKey() demandKey {
	return demandKey{service: req.service, model: req.model, adapter: req.adapter}
}

// affinity is equal for requests that share the beginning of their prompts, for the same model and adapter; 0 where less than
// minSharedTokens are shared, or the route has no affinity. The last segment of a prompt is the request's own.
func (req *request) affinity() uint64 {
	if !req.route.StickySessions || len(req.promptPrefix) == 0 {
		return 0
	}
	hash := fnv.New64a()
	io.WriteString(hash, req.model+"/"+req.adapter)
	var tokens float64
	for _, shared := range req.promptPrefix[:len(req.promptPrefix)-1] {
		tokens += shared.tokens
		io.WriteString(hash, ","+shared.id)
	}
	if tokens < minSharedTokens {
		return 0
	}
	return max(hash.Sum64(), 1)
}
