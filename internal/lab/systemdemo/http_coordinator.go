package systemdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// callTimeout bounds a call. After a timeout the client calls the next control process.
const callTimeout = time.Second

// HTTPCoordinator implements Coordinator over HTTP. After a failed call it switches to the next control process.
type HTTPCoordinator struct {
	addresses []string // HOST:PORT of the control processes
	next      atomic.Uint32
}

// NewHTTPCoordinator returns a client of the control processes at the addresses.
func NewHTTPCoordinator(addresses []string) *HTTPCoordinator {
	return &HTTPCoordinator{addresses: addresses}
}

// lockCall is the request body of calls on locks.
type lockCall struct {
	Holder string `json:"lease_holder"`
	Token  uint64 `json:"fencing_token,omitempty"`
	HoldMs int64  `json:"hold_ms,omitempty"`
}

// AcquireLock implements Coordinator.
func (c *HTTPCoordinator) AcquireLock(ctx context.Context, lock, holder string, hold time.Duration) (uint64, error) {
	var granted struct {
		Token uint64 `json:"fencing_token"`
	}
	err := c.post(ctx, "/locks/"+lock+"/begin", lockCall{Holder: holder, HoldMs: hold.Milliseconds()}, &granted, ErrLockHeld)
	return granted.Token, err
}

// RenewLock implements Coordinator.
func (c *HTTPCoordinator) RenewLock(ctx context.Context, lock, holder string, token uint64, hold time.Duration) error {
	call := lockCall{Holder: holder, Token: token, HoldMs: hold.Milliseconds()}
	return c.post(ctx, "/locks/"+lock+"/heartbeat", call, nil, ErrLockLost)
}

// ReleaseLock implements Coordinator.
func (c *HTTPCoordinator) ReleaseLock(ctx context.Context, lock, holder string, token uint64) error {
	return c.post(ctx, "/locks/"+lock+"/finish", lockCall{Holder: holder, Token: token}, nil, ErrLockLost)
}

// NextNumber implements Coordinator.
func (c *HTTPCoordinator) NextNumber(ctx context.Context, name string) (uint64, error) {
	var number struct {
		Value uint64 `json:"value"`
	}
	err := c.post(ctx, "/numbers/"+name, struct{}{}, &number, nil)
	return number.Value, err
}

// PutKey implements Coordinator.
func (c *HTTPCoordinator) PutKey(ctx context.Context, key, value string, ifRevision uint64) (uint64, error) {
	put := struct {
		Value      string `json:"value"`
		IfRevision uint64 `json:"if_revision"`
	}{value, ifRevision}
	var done Change
	err := c.post(ctx, "/cells/"+key+"/replace", put, &done, ErrRevisionMismatch)
	return done.Revision, err
}

// ReadKey implements Coordinator.
func (c *HTTPCoordinator) ReadKey(ctx context.Context, key string) (Change, error) {
	read := Change{Name: key}
	err := c.call(ctx, http.MethodGet, "/cells/"+key+"/read", nil, &read, callTimeout, nil)
	if errors.Is(err, ErrNotServed) {
		return read, nil // 404 is also the answer for a key that does not exist
	}
	return read, err
}

// WatchGroup implements Coordinator.
func (c *HTTPCoordinator) WatchGroup(ctx context.Context, group string, after uint64, wait time.Duration) (Changes, error) {
	var seen Changes
	path := fmt.Sprintf("/watch/%s?after=%d&wait_ms=%d", group, after, wait.Milliseconds())
	err := c.call(ctx, http.MethodGet, path, nil, &seen, wait+callTimeout, nil)
	return seen, err
}

func (c *HTTPCoordinator) post(ctx context.Context, path string, body, answer any, refused error) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, text, answer, callTimeout, refused)
}

// call sends one request and decodes its answer. The statuses 409 and 412 become the error refused.
func (c *HTTPCoordinator) call(
	ctx context.Context, method, path string, body []byte, answer any, timeout time.Duration, refused error,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	index := c.next.Load()
	address := c.addresses[int(index)%len(c.addresses)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.next.CompareAndSwap(index, index+1)
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	err = statusError(response.StatusCode, refused)
	if err == nil && answer != nil && json.NewDecoder(response.Body).Decode(answer) != nil {
		err = errors.Wrap(ErrUnavailable, "the body of the answer is not valid JSON")
	}
	if errors.Is(err, ErrUnavailable) {
		c.next.CompareAndSwap(index, index+1)
	}
	return errors.Wrapf(err, "%s %s", method, path)
}

// statusError returns the error for a status, or nil for 200.
func statusError(status int, refused error) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNotServed
	case refused != nil && (status == http.StatusConflict || status == http.StatusPreconditionFailed):
		return refused
	case status >= http.StatusInternalServerError, status == http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	return errors.Errorf("status %d", status)
}
