package client

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// The parts of a hold.
const (
	marginDivisor       = 20 // a holder stops to rely on a lock a twentieth of the hold before its end
	renewalDivisor      = 3  // it is renewed once a third of the hold has passed
	renewAttemptDivisor = 6  // an attempt to renew may take a sixth of the hold, so that there is time for others
	beginAttemptDivisor = 2  // an attempt to begin may take half of it, as the hold counts from its sending
)

// Grant is what a lock's holder was given by one good call.
type Grant struct {
	// Token is the fencing token: above that of each former holder.
	Token uint64
	// Sent is when the call was sent.
	Sent time.Time
	// Until is when the holder must stop to rely on the lock, if no further call succeeds. It is a little before the hold
	// is over.
	Until time.Time
}

// lockBody is the body of the calls of a lock.
type lockBody struct {
	Holder       string  `json:"lease_holder"`
	FencingToken *uint64 `json:"fencing_token,omitempty"`
	HoldMs       int64   `json:"hold_ms,omitempty"`
}

// Begin asks for a lock once, without renewing it later; most programs use Acquire. The holder itself gets the lock again,
// with a higher token. The error is ErrLockHeld if another holder has it, and ErrLockLost if the answer came too late.
func (c *Client) Begin(ctx context.Context, name string, hold time.Duration) (Grant, error) {
	return c.grant(ctx, "begin", name, lockBody{Holder: c.Holder()}, hold)
}

// Heartbeat renews a lock once. The error is ErrLockLost if the lock is lost, or if the answer came too late. The renewal
// counts only if the holder still had time left when this function returned; see Grant.Until of the call before.
func (c *Client) Heartbeat(ctx context.Context, name string, token uint64, hold time.Duration) (Grant, error) {
	body := lockBody{Holder: c.Holder(), FencingToken: &token}
	return c.grant(ctx, "heartbeat", name, body, hold)
}

// Finish gives a lock back. It succeeds whether the lock was held or not. A lock that the holder has got again since, with
// a higher token, is kept.
func (c *Client) Finish(ctx context.Context, name string, token uint64) error {
	call, err := c.lockCall("finish", name, lockBody{Holder: c.Holder(), FencingToken: &token})
	if err != nil {
		return err
	}
	response, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if response.status != http.StatusOK {
		return call.statusError(response)
	}
	return nil
}

// grant sends a call that asks for time, and returns the time that it gave. A call with a token is a renewal.
func (c *Client) grant(ctx context.Context, verb, name string, body lockBody, hold time.Duration) (Grant, error) {
	body.HoldMs = hold.Milliseconds()
	if body.HoldMs <= 0 {
		return Grant{}, errors.Errorf("a lock cannot be held for %v", hold)
	}
	hold = time.Duration(body.HoldMs) * time.Millisecond
	call, err := c.lockCall(verb, name, body)
	if err != nil {
		return Grant{}, err
	}
	conflict, attempt := ErrLockHeld, hold/beginAttemptDivisor
	if body.FencingToken != nil {
		conflict, attempt = ErrLockLost, hold/renewAttemptDivisor
	}
	call.timeout = min(call.timeout, attempt)
	response, err := c.do(ctx, call)
	if err != nil {
		return Grant{}, err
	}
	switch response.status {
	case http.StatusOK:
	case http.StatusConflict:
		return Grant{}, errors.Wrap(conflict, name)
	default:
		return Grant{}, call.statusError(response)
	}
	return call.parseGrant(response, body, hold)
}

// granted returns what a good answer gives.
func (c call) parseGrant(response finalResponse, body lockBody, hold time.Duration) (Grant, error) {
	grant := Grant{Sent: response.sent, Until: response.sent.Add(hold - hold/marginDivisor)}
	if body.FencingToken != nil {
		grant.Token = *body.FencingToken
		return grant, checkNotExpired(grant)
	}
	var begun struct {
		FencingToken uint64 `json:"fencing_token"`
	}
	if err := c.decode(response, &begun); err != nil {
		return Grant{}, err
	}
	grant.Token = begun.FencingToken
	return grant, checkNotExpired(grant)
}

// inTime returns ErrLockLost for a grant whose time was over before its answer came.
func checkNotExpired(grant Grant) error {
	if time.Now().Before(grant.Until) {
		return nil
	}
	return errors.Wrap(ErrLockLost, "the answer came too late")
}

func (c *Client) lockCall(verb, name string, body lockBody) (call, error) {
	path, err := pathOf("/locks/", name, "/"+verb)
	if err != nil {
		return call{}, err
	}
	return c.newPost(verb+" lock "+name, path, body), nil
}
