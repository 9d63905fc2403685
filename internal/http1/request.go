package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// forwardedRequest is the part of a request that is forwarded to an endpoint.
type forwardedRequest struct {
	method string
	// The request target as the client wrote it.
	target string
	host   string
	header http.Header
	// The body, or the beginning of a streamed one.
	body []byte
	// The rest of a streamed body; nil for a body in memory.
	upload *upload
	// Reports whether the client has closed its connection, and cancels the call if so. An attempt calls
	// it before it sends the request, because the event of the goroutine that watches the client may
	// still be queued at the core loop. It is nil if the client is not checked.
	clientHungUp func() bool
}

// request is a call of the core together with the request that it forwards.
type request struct {
	*core.Call
	forwardedRequest
}

// newRequest returns an empty request. The message of its call is the forwarded part.
func newRequest() *request {
	r := &request{}
	r.Call = core.NewCall(decision.Request{}, &r.forwardedRequest)
	return r
}

// clientGone reports whether the client has closed its connection, as far as that can be checked.
func (f *forwardedRequest) clientGone() bool { return f.clientHungUp != nil && f.clientHungUp() }

// rewrittenHeaders are the headers that encodeHead writes itself.
var rewrittenHeaders = map[string]bool{"Content-Length": true, "X-Remaining": true}

// encodeHead encodes the head of the request for an endpoint. The header X-Remaining states how long
// the endpoint's answer is awaited.
func (f *forwardedRequest) encodeHead(remaining time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Remaining: %du\r\n", f.method, f.target, f.host,
		max(remaining, 0).Microseconds())
	switch {
	case f.upload != nil && f.upload.body.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case f.upload != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", f.upload.body.length)
	case len(f.body) > 0 || f.method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(f.body))
	}
	f.header.WriteSubset(&b, rewrittenHeaders)
	b.WriteString("\r\n")
	return b.Bytes()
}
