package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// forwardedRequest is what goes on to an endpoint unchanged.
type forwardedRequest struct {
	method string
	target string // as the client wrote it
	host   string
	header http.Header
	body   []byte // all of it, or its beginning where there is more
	upload *upload
	// deserted tells whether its caller has gone, and has the call lapse then: the word of who watches the caller may stand
	// behind others in a loop that is late. Nil where there is nobody to ask.
	clientHungUp func() bool
}

// request is a call with what goes on of it.
type request struct {
	*core.Call
	forwardedRequest
}

func newRequest() *request {
	r := &request{}
	r.Call = core.NewCall(decision.Request{}, &r.forwardedRequest)
	return r
}

// clientGone tells whether nobody waits for the answer any more.
func (in *forwardedRequest) clientGone() bool { return in.clientHungUp != nil && in.clientHungUp() }

// rewrittenHeaders are the headers that encode words itself.
var rewrittenHeaders = map[string]bool{"Content-Length": true, "X-Remaining": true}

// encodeHead is the head of the request as it goes on to an endpoint, which is told how long its answer is waited
// for.
func (in *forwardedRequest) encodeHead(left time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Remaining: %du\r\n", in.method, in.target, in.host,
		max(left, 0).Microseconds())
	switch {
	case in.upload != nil && in.upload.body.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case in.upload != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", in.upload.body.length)
	case len(in.body) > 0 || in.method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(in.body))
	}
	in.header.WriteSubset(&b, rewrittenHeaders)
	b.WriteString("\r\n")
	return b.Bytes()
}
