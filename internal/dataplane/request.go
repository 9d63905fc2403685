package dataplane

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
)

// Limits of a request.
const (
	// maxBodyBytes bounds the size of a body. The limit in the configuration may be lower.
	maxBodyBytes = 8 << 20
	// bodyBufferSize is the size of the first buffer for a body. The buffer doubles whenever it is full. Its size does not
	// follow Content-Length, since the client need not send as many bytes as it announces.
	bodyBufferSize = 16 << 10
	// maxDiscardedBytes bounds the body that is read of a request without a route. It is what net/http reads by itself of a request
	// that was answered early.
	maxDiscardedBytes = 256 << 10
	// minSharedTokens is the number of tokens that the shared beginning of a prompt needs for an affinity. For fewer tokens,
	// processing them again at another endpoint costs less than the use of a busier endpoint.
	minSharedTokens = 1024
)

// request is a request of a client that has been read completely.
type request struct {
	id     string
	route  *fleetconfig.Route
	method string
	target string
	host   string
	header http.Header

	body       []byte
	bodyMemory int // bytes acquired from the memory budget for bodies

	model        string
	adapter      string
	usage        tokenUsage
	promptPrefix []promptSegment
	arrivedAt    time.Time
	deadline     time.Time // when the client's deadline or the route's timeout ends, whichever is earlier
	service      string
	engine       *fleetconfig.Engine // inference engine of the service; nil for a service without models
	promptSize   promptSize
	isRetry      bool // the request is probably a client's retry; see clientDeadlines
}

// readRequest reads a request whose route is known. Its errors have a kind (package errkind): TooLarge, Malformed if the body is
// truncated, DeadlineExceeded if it does not arrive in time, or Overloaded if there is no memory for the body. The returned request
// is never nil, and the caller must release its bodyMemory, which acquire has acquired, also after an error.
func readRequest(
	w http.ResponseWriter, r *http.Request, route *fleetconfig.Route, limits fleetconfig.Limits, acquire func(bytes int) bool,
) (*request, error) {
	req := &request{
		id:     r.Header.Get(headerRequestID),
		method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header,
		usage:        parseTokenUsage(r.Header.Get(headerTokenUsage)),
		promptPrefix: parsePromptPrefix(r.Header.Get(headerPromptPrefix)),
		arrivedAt:    time.Now(),
	}
	req.setRoute(r, route)
	req.model, req.adapter, _ = strings.Cut(r.Header.Get(headerModel), "/")
	limit := int64(maxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		limit = min(limit, int64(limits.MaxBodyBytes))
	}
	if r.ContentLength > limit {
		return req, errkind.New(errkind.TooLarge, "")
	}
	if r.Body == http.NoBody {
		return req, nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(req.deadline) // a writer without deadlines has no connection to wait for
	return req, req.readBody(r.Body, limit, acquire)
}

// setRoute sets the route of a request, and the deadline that follows from it.
func (req *request) setRoute(r *http.Request, route *fleetconfig.Route) {
	req.route = route
	req.deadline = req.arrivedAt.Add(requestTimeout(r, route))
}

// readBody reads the body, of at most limit bytes, into memory that it acquires.
func (req *request) readBody(from io.Reader, limit int64, acquire func(bytes int) bool) error {
	for {
		if len(req.body) == cap(req.body) {
			growth := max(bodyBufferSize, len(req.body))
			if !acquire(growth) {
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
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errkind.New(errkind.DeadlineExceeded, "the body did not arrive in time")
		case err != nil:
			return errkind.New(errkind.Malformed, "the body was cut short")
		}
	}
}

// remaining returns the time until the deadline.
func (req *request) remaining() time.Duration { return time.Until(req.deadline) }

// demandKey returns the key under which the request counts in the demand report.
func (req *request) demandKey() demandKey {
	return demandKey{service: req.service, model: req.model, adapter: req.adapter}
}

// affinity returns a hash that is equal for requests to the same model and adapter whose prompts begin with the same segments.
// The last segment of a prompt is not shared with other requests and does not count. The result is 0 if the shared segments
// have fewer than minSharedTokens tokens, or if the route does not use affinity.
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
