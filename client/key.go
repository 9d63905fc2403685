package client

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// putBody is the body of a put.
type putBody struct {
	Value      string  `json:"value"`
	IfRevision *uint64 `json:"if_revision,omitempty"`
}

// Put sets a key and returns its new revision. The value must differ from the values of all other puts of the key, since the
// service recognises a repeated attempt by its value and answers it with the revision of the first.
//
// After ErrOutcomeUnknown, Put may be called again with the same value.
func (c *Client) Put(ctx context.Context, key, value string) (revision uint64, err error) {
	return c.put(ctx, key, putBody{Value: value})
}

// PutIf sets a key if its revision is ifRevision; 0 requires that the key does not exist. Otherwise PutIf returns a
// *ConflictError with the current revision of the key. Values must be unique as for Put.
func (c *Client) PutIf(ctx context.Context, key, value string, ifRevision uint64) (revision uint64, err error) {
	return c.put(ctx, key, putBody{Value: value, IfRevision: &ifRevision})
}

func (c *Client) put(ctx context.Context, key string, body putBody) (revision uint64, err error) {
	path, err := pathOf("/cells/", key, "/replace")
	if err != nil {
		return 0, err
	}
	call := c.newPost("put "+key, path, body)
	response, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	if response.status != http.StatusOK && response.status != http.StatusPreconditionFailed {
		return 0, call.statusError(response)
	}
	var cell struct {
		Revision uint64 `json:"revision"`
	}
	if err := call.decode(response, &cell); err != nil {
		return 0, err
	}
	if response.status == http.StatusPreconditionFailed {
		return 0, &ConflictError{Key: key, Revision: cell.Revision, OutcomeUnknown: response.earlierOutcomeUnknown}
	}
	return cell.Revision, nil
}

// Get reads a key. The result is at least as new as every put that was acknowledged before the call. If the key does not
// exist, Get returns ErrNotFound and revision 0.
func (c *Client) Get(ctx context.Context, key string) (value string, revision uint64, err error) {
	path, err := pathOf("/cells/", key, "/read")
	if err != nil {
		return "", 0, err
	}
	call := c.newGet("get "+key, path, nil)
	response, err := c.do(ctx, call)
	if err != nil {
		return "", 0, err
	}
	switch response.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return "", 0, errors.Wrap(ErrNotFound, key)
	default:
		return "", 0, call.statusError(response)
	}
	var cell struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	err = call.decode(response, &cell)
	return cell.Value, cell.Revision, err
}
