package client

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Times that are fractions of a hold, as divisors.
const (
	marginDivisor       = 20 // the client treats a lock as lost a twentieth of the hold before it expires
	renewalDivisor      = 3  // a lock is renewed after a third of the hold
	renewAttemptDivisor = 6  // time limit of a renewal attempt; a sixth leaves time for retries
	beginAttemptDivisor = 2  // time limit of an attempt to begin; the hold counts from the sending, so half of it remains
)

// Grant is the result of a successful call that acquires or renews a lock.
type Grant struct {
	// Token is the fencing token, which is higher than the tokens of all former holders.
	Token uint64
	// Sent is the time at which the call was sent.
	Sent time.Time
	// Until is the time at which the holder must stop relying on the lock if no further call succeeds. It is a safety margin
	// before the end of the hold.
	Until time.Time
}

// lockBody is the request body of the lock calls.
type lockBody struct {
	Holder       string  `json:"lease_holder"`
	FencingToken *uint64 `json:"fencing_token,omitempty"`
	HoldMs       int64   `json:"hold_ms,omitempty"`
}

// Begin tries once to acquire a lock and does not renew it; most programs use Acquire. A holder that already has the lock is
// granted it again with a higher token. Begin returns ErrLockHeld if another holder has the lock, and ErrLockLost if the
// response arrived after the hold had passed.
func (c *Client) Begin(ctx context.Context, name string, hold time.Duration) (Grant, error) {
	return c.grant(ctx, "begin", name, lockBody{Holder: c.Holder()}, hold)
}

// Heartbeat renews a lock once. It returns ErrLockLost if the lock is lost, or if the response arrived after the new hold had
// passed. The renewal is valid only if it returns before Grant.Until of the previous call.
func (c *Client) Heartbeat(ctx context.Context, name string, token uint64, hold time.Duration) (Grant, error) {
	body := lockBody{Holder: c.Holder(), FencingToken: &token}
	return c.grant(ctx, "heartbeat", name, body, hold)
}

// Finish releases a lock. It succeeds whether or not the lock was held. It does not release a lock that the holder has
// acquired again with a higher token.
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

// grant sends a call that acquires a lock, or renews it if the body has a token.
func (c *Client) grant(ctx context.Context, verb, name string, body lockBody, hold time.Duration) (Grant, error) {
	body.HoldMs = hold.Milliseconds()
	if body.HoldMs <= 0 {
		return Grant{}, errors.Errorf("invalid hold %v of lock %s: it must be at least 1ms", hold, name)
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

// parseGrant returns the Grant of a successful response.
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

// checkNotExpired returns ErrLockLost for a grant that expired before its response arrived.
func checkNotExpired(grant Grant) error {
	if time.Now().Before(grant.Until) {
		return nil
	}
	return errors.Wrap(ErrLockLost, "the answer came after the hold had passed")
}

func (c *Client) lockCall(verb, name string, body lockBody) (call, error) {
	path, err := pathOf("/locks/", name, "/"+verb)
	if err != nil {
		return call{}, err
	}
	return c.newPost(verb+" lock "+name, path, body), nil
}
