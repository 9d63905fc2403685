package client

import (
	"context"
	"net/http"
)

// Next returns a number that is above all that were given under the same name before the call. Numbers may be left out:
// each attempt without a clear answer may have used one.
func (c *Client) Next(ctx context.Context, name string) (uint64, error) {
	path, err := pathOf("/numbers/", name, "")
	if err != nil {
		return 0, err
	}
	call := c.newPost("number "+name, path, struct{}{})
	response, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	if response.status != http.StatusOK {
		return 0, call.statusError(response)
	}
	var number struct {
		Value uint64 `json:"value"`
	}
	return number.Value, call.decode(response, &number)
}
