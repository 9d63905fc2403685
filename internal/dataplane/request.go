package dataplane

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dykering/internal/core"
	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
)

// Headers of the protocol with clients and endpoints.
const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerModel     = "X-Model"
	headerUsage     = "X-Token-Usage"
	headerPrefix    = "X-Prompt-Prefix"
	headerExpected  = "X-Expected-Instance"
	headerNotRun    = "X-Not-Executed"
	headerStamp     = "X-Response-Signature"
	headerLoad      = "X-Instance-Load"
	headerLastEvent = "Last-Event-Id"
	headerPriority  = "Priority"

	headerVersions      = "Versions"
	headerExpectVersion = "Expect-Version"
)

const (
	mostBody        = 8 << 20
	defaultDeadline = 30 * time.Second
)

// request is a client's request, read whole.
type request struct {
	id       string
	route    *fleetconfig.Route
	service  string
	engine   *fleetconfig.Engine
	method   string
	target   string
	host     string
	header   http.Header // end to end
	body     []byte
	held     int // bytes of the memory for bodies
	model    string
	adapter  string
	usage    usage
	prefix   []part
	arrived  time.Time
	deadline time.Time // when the client, or the operator's time-out, gives it up
	size     promptSize
	again    bool // it seems to come after another try
}

// usage is the size of a generation.
type usage struct{ prompt, output float64 }

// work is a generation's size as it is weighed: a token out counts as ten in.
func (u usage) work() float64 { return u.prompt + 10*u.output }

// part is a part of a prompt that requests may share.
type part struct {
	id     string
	tokens float64
}

// left is the time that a request has.
func (r *request) left() time.Duration { return time.Until(r.deadline) }

// key is what the demand for its model is counted under.
func (r *request) key() demandKey {
	return demandKey{service: r.service, model: r.model, adapter: r.adapter}
}

// leastShared is how many tokens the shared beginning of a prompt must have for its requests to be kept together: reading
// fewer again costs less than a worse endpoint does.
const leastShared = 1024

// affinity tells apart requests that share the beginning of their prompts, for the same model and adapter; 0 where too little
// is shared to matter. The last part of a prompt is the request's own.
func (r *request) affinity() uint64 {
	if !r.route.StickySessions || len(r.prefix) == 0 {
		return 0
	}
	hash := fnv.New64a()
	io.WriteString(hash, r.model+"/"+r.adapter)
	var tokens float64
	for _, shared := range r.prefix[:len(r.prefix)-1] {
		tokens += shared.tokens
		io.WriteString(hash, ","+shared.id)
	}
	if tokens < leastShared {
		return 0
	}
	return max(hash.Sum64(), 1)
}

// readRequest reads a request whose route is known. What it holds of the memory for bodies is to be given back, also after
// an error.
func readRequest(r *http.Request, route *fleetconfig.Route, limits fleetconfig.Limits, memory *core.Budget) (*request, error) {
	q := &request{
		id: r.Header.Get(headerRequestID), route: route, method: r.Method, target: r.RequestURI, host: r.Host,
		header: r.Header, arrived: time.Now(),
	}
	q.deadline = q.arrived.Add(patience(r, route))
	q.model, q.adapter, _ = strings.Cut(r.Header.Get(headerModel), "/")
	q.usage = parseUsage(r.Header.Get(headerUsage))
	q.prefix = parsePrefix(r.Header.Get(headerPrefix))
	most := int64(mostBody)
	if limits.MaxBodyBytes > 0 {
		most = min(most, int64(limits.MaxBodyBytes))
	}
	if r.ContentLength > most {
		return q, errkind.New(errkind.TooLarge, "")
	}
	return q, q.readBody(r.Body, most, memory)
}

const bodyPiece = 16 << 10

// readBody reads a body of bounded length. Memory is taken as it comes: a length is only a word.
func (q *request) readBody(from io.Reader, most int64, memory *core.Budget) error {
	for {
		if len(q.body) == cap(q.body) {
			more := max(bodyPiece, len(q.body))
			if !memory.TryAcquire(more) {
				return errkind.New(errkind.Overloaded, "no memory for the body")
			}
			q.held += more
			q.body = append(make([]byte, 0, len(q.body)+more), q.body...)
		}
		n, err := from.Read(q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		switch {
		case int64(len(q.body)) > most:
			return errkind.New(errkind.TooLarge, "")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errkind.New(errkind.Malformed, "the body was cut short")
		}
	}
}

// patience is how long a request is waited for: by its client, and by the operator.
func patience(r *http.Request, route *fleetconfig.Route) time.Duration {
	wait := defaultDeadline
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil && ms >= 0 {
		wait = min(time.Duration(ms*float64(time.Millisecond)), time.Hour)
	}
	if timeout := route.Timeout(); timeout > 0 {
		wait = min(wait, timeout)
	}
	return wait
}

func parseUsage(text string) usage {
	in, out, _ := strings.Cut(text, ",")
	prompt, err := strconv.ParseFloat(strings.TrimSpace(in), 64)
	if err != nil {
		return usage{}
	}
	output, err := strconv.ParseFloat(strings.TrimSpace(out), 64)
	if err != nil {
		output = 0
	}
	return usage{prompt: prompt, output: output}
}

const mostParts = 64

func parsePrefix(text string) []part {
	var parts []part
	for piece := range strings.SplitSeq(text, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(piece), ":")
		if !ok || len(parts) >= mostParts {
			continue
		}
		tokens, err := strconv.ParseFloat(count, 64)
		if err != nil {
			continue
		}
		parts = append(parts, part{id: id, tokens: tokens})
	}
	return parts
}

// deadlines are the longest times that clients have given requests, by route. A request with a good deal less has used
// some of its client's time: it comes after another try.
type deadlines struct {
	mu      sync.Mutex
	longest map[string]float64
}

const (
	mostRoutes = 4096
	// usedShare is the part of the longest time below which a request's own tells that some of it was used.
	usedShare = 0.95
)

// shorter notes a request's time, in milliseconds, and tells whether some of it was used before.
func (d *deadlines) shorter(route, text string) bool {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil || len(d.longest) > mostRoutes {
		d.longest = map[string]float64{}
	}
	d.longest[route] = max(d.longest[route], ms)
	return ms < usedShare*d.longest[route]
}
