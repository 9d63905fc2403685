package client

import (
	"context"
	"net/http"
)

// Next returns a number that is higher than all numbers returned under the same name before the call. The sequence may have
// gaps, because each attempt with an unknown outcome may have used a number.
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
