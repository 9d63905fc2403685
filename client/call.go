package client

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

const (
	maxResponseBytes        = 64 << 20         // limit of a response body; that of a watch may have many events
	maxErrorTextBytes       = 200              // bytes of the body that a StatusError contains
	maxRetryAfter           = 10 * time.Second // upper limit of a Retry-After
	retryAfterJitterDivisor = 10               // random jitter of up to a tenth of the Retry-After is added
)

// call is a request that can be sent to any address.
type call struct {
	operation string // for error texts
	method    string
	path      string
	query     any           // struct with url tags, or nil
	body      any           // struct with json tags, or nil
	timeout   time.Duration // time limit of one attempt
}

// finalResponse is a response that ends a call.
type finalResponse struct {
	status int
	body   []byte
	sent   time.Time // when the attempt with this response was sent
	// earlierOutcomeUnknown is true if an earlier attempt of the same call may have been executed.
	earlierOutcomeUnknown bool
}

// attemptError is the error of an attempt without a final response.
type attemptError struct {
	cause           error
	mayHaveExecuted bool // the service may have executed the request
	retryAfter      time.Duration
}

// newPost returns a call that changes state.
func (c *Client) newPost(operation, path string, body any) call {
	return call{operation: operation, method: http.MethodPost, path: path, body: body, timeout: c.options.AttemptTimeout}
}

// newGet returns a call that only reads.
func (c *Client) newGet(operation, path string, query any) call {
	return call{operation: operation, method: http.MethodGet, path: path, query: query, timeout: c.options.AttemptTimeout}
}

// do sends a call to one address after another, until it has a final response or the time limit has passed.
func (c *Client) do(ctx context.Context, call call) (finalResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	address, mayHaveExecuted := noAddressIndex, false
	var lastError error
	for attempt := 0; ; attempt++ {
		var err error
		address, err = c.awaitAddress(ctx, attempt, address)
		if err != nil {
			return finalResponse{}, call.errorWithoutAnswer(mayHaveExecuted, err, lastError)
		}
		response, failure := c.attempt(ctx, call, c.addresses.hostPorts[address])
		if failure == nil {
			response.earlierOutcomeUnknown = mayHaveExecuted
			return response, nil
		}
		c.addresses.markFailed(address, failure.retryAfter)
		mayHaveExecuted = mayHaveExecuted || failure.mayHaveExecuted
		lastError = errors.Wrap(failure.cause, c.addresses.hostPorts[address])
	}
}

// awaitAddress waits until the next attempt is due, and returns the index of its address.
func (c *Client) awaitAddress(ctx context.Context, attempt, failed int) (index int, err error) {
	if err := sleep(ctx, backoff(attempt, c.options.MaxPause)); err != nil {
		return failed, err
	}
	index, notBefore := c.addresses.next(failed)
	wait := time.Until(notBefore)
	if wait <= 0 {
		return index, nil
	}
	return index, sleep(ctx, wait+randomBetween(0, wait/retryAfterJitterDivisor))
}

// attempt sends a call to one address.
func (c *Client) attempt(ctx context.Context, call call, address string) (finalResponse, *attemptError) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	request, err := call.request(address)
	if err != nil {
		return finalResponse{}, &attemptError{cause: err}
	}
	sent := time.Now()
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return finalResponse{}, &attemptError{cause: err, mayHaveExecuted: !neverSent(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return finalResponse{}, &attemptError{cause: errors.Errorf("status %d", status), retryAfter: retryAfter(response.Header)}
	case status >= http.StatusInternalServerError:
		return finalResponse{}, &attemptError{cause: errors.Errorf("status %d", status), mayHaveExecuted: true}
	case err != nil:
		return finalResponse{}, &attemptError{cause: errors.Wrap(err, "body"), mayHaveExecuted: true}
	}
	return finalResponse{status: response.StatusCode, body: body, sent: sent}, nil
}

// request builds the HTTP request for one address.
func (c call) request(address string) (*http.Request, error) {
	builder := sling.New().Base("http://" + address)
	if c.method == http.MethodGet {
		builder = builder.Get(c.path)
	} else {
		builder = builder.Post(c.path).BodyJSON(c.body)
	}
	if c.query != nil {
		builder = builder.QueryStruct(c.query)
	}
	return builder.Request()
}

// errorWithoutAnswer returns the error of a call without a final response. The kind is ErrOutcomeUnknown only for calls that
// change state.
func (c call) errorWithoutAnswer(mayHaveExecuted bool, contextError, lastError error) error {
	kind := ErrUnavailable
	if mayHaveExecuted && c.method != http.MethodGet {
		kind = ErrOutcomeUnknown
	}
	return &callError{operation: c.operation, kind: kind, contextError: contextError, lastError: lastError}
}

// statusError returns the error for a status that the operation does not define.
func (c call) statusError(response finalResponse) error {
	text := string(response.body[:min(len(response.body), maxErrorTextBytes)])
	return &StatusError{Operation: c.operation, Status: response.status, Text: text}
}

// decode decodes the body of a final response.
func (c call) decode(response finalResponse, into any) error {
	if err := json.Unmarshal(response.body, into); err != nil {
		return c.errorWithoutAnswer(true, nil, errors.Wrap(err, "malformed answer"))
	}
	return nil
}

// neverSent reports whether an error occurred while dialing, so that the service cannot have received the request.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// retryAfter parses the Retry-After header in seconds, which may have a fraction. It returns 0 for an absent or invalid one.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// pathOf returns a path with an escaped name, such as "/locks/" + name + "/begin".
func pathOf(prefix, name, suffix string) (string, error) {
	if name == "" || name == "." || name == ".." {
		return "", errors.Errorf("invalid name %q: it must not be empty, \".\" or \"..\"", name)
	}
	return prefix + url.PathEscape(name) + suffix, nil
}
