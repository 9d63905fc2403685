package requestsoak

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// libraryClient sends requests with the standard library, which keeps connections to each proxy and sends a request again by itself
// if a connection was closed before any of it was written.
type libraryClient struct {
	transport *http.Transport
}

func newLibraryClient() *libraryClient {
	return &libraryClient{transport: &http.Transport{MaxIdleConnsPerHost: 2}}
}

func (c *libraryClient) disconnect() { c.transport.CloseIdleConnections() }

// exchange sends a request to a proxy and reads the response into the try. It returns the header of the response, or nil. The library
// does not tell how a connection ended, so the end counts as one in which the proxy may have read the request.
func (c *libraryClient) exchange(try *Try, proxy, body string, deadline time.Time) http.Header {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	url := "http://" + proxy + pathOf(try.Kind) + try.Operation
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		try.End = Unreachable
		return nil
	}
	request.Host = routeHost
	request.Header.Set(requestIDHeader, try.ID)
	request.Header.Set(deadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		try.End = endOfRoundTrip(ctx)
		return nil
	}
	defer response.Body.Close()
	try.Status, try.AnsweredID = response.StatusCode, response.Header.Get(requestIDHeader)
	try.Signature = response.Header.Get(signatureHeader)
	text, err := io.ReadAll(response.Body)
	try.Body = string(text)
	if err != nil {
		try.End = Truncated
		if ctx.Err() != nil {
			try.End = TimedOut
		}
	}
	return response.Header
}

// endOfRoundTrip returns how a connection without a response ended.
func endOfRoundTrip(ctx context.Context) ConnectionEnd {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Closed
}
