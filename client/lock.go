package client

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// renewalRetryDivisor is the part of the hold, as a divisor, that passes between a failed renewal and the next one.
const renewalRetryDivisor = 12

// Lock is a lock that this client holds. It is renewed in the background until it is released or lost.
type Lock struct {
	client *Client
	name   string
	token  uint64
	hold   time.Duration
	lease  *lease

	stopRenewal    context.CancelFunc
	renewalStopped chan struct{}
}

// Acquire waits until it has acquired a lock. It retries with random pauses and exponential backoff while another holder has
// the lock or the service is unavailable. The hold is how long others must wait if this process dies.
//
// The context bounds only the waiting. Its end has no effect on a lock that was acquired.
func (c *Client) Acquire(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	attempts := 0
	return c.acquire(ctx, name, hold, func() time.Duration {
		attempts++
		return backoff(attempts, c.options.MaxPause)
	})
}

// acquire tries to acquire a lock until it succeeds, with a pause after each attempt.
func (c *Client) acquire(ctx context.Context, name string, hold time.Duration, pause func() time.Duration) (*Lock, error) {
	for {
		lock, err := c.TryAcquire(ctx, name, hold)
		if err == nil || !isTransient(err) {
			return lock, err
		}
		if sleep(ctx, pause()) != nil {
			return nil, &callError{operation: "acquire lock " + name, kind: err, contextError: ctx.Err()}
		}
	}
}

// isTransient reports whether TryAcquire may succeed later after an error.
func isTransient(err error) bool {
	for _, transient := range []error{ErrLockHeld, ErrLockLost, ErrUnavailable, ErrOutcomeUnknown} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// TryAcquire tries once to acquire a lock, without waiting for its holder. It returns ErrLockHeld if another holder has the
// lock, or if this client already has it. After ErrOutcomeUnknown the service may have granted the lock to this client; other
// clients then wait until the hold has passed, or until this client acquires and releases the lock.
func (c *Client) TryAcquire(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	if !c.claim(name) {
		return nil, errors.Wrapf(ErrLockHeld, "%s, by this client", name)
	}
	grant, err := c.Begin(ctx, name, hold)
	if err != nil {
		c.unclaim(name)
		return nil, err
	}
	lock := &Lock{
		client: c, name: name, token: grant.Token, hold: hold,
		lease: newLease(grant.Until), renewalStopped: make(chan struct{}),
	}
	var background context.Context
	background, lock.stopRenewal = context.WithCancel(context.WithoutCancel(ctx))
	go lock.renewUntilLost(background, grant.Sent)
	return lock, nil
}

// claim records that this client has a lock or is acquiring it, and returns false if it already does. The service cannot
// distinguish two goroutines of a client, because it knows only the holder's name, and would grant the lock to both.
func (c *Client) claim(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.locks[name] {
		return false
	}
	c.locks[name] = true
	return true
}

func (c *Client) unclaim(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.locks, name)
}

// Name returns the name of the lock.
func (l *Lock) Name() string { return l.name }

// Token returns the fencing token. Send it with each change of the protected resource.
func (l *Lock) Token() uint64 { return l.token }

// Lost returns a channel that is closed when the lock was lost, has expired or was released.
func (l *Lock) Lost() <-chan struct{} { return l.lease.lost }

// Held reports whether this client may currently rely on the lock. Unlike Lost, it is exact even directly after the process
// was paused.
func (l *Lock) Held() bool { return l.lease.held() }

// Release releases the lock. It returns ErrLockLost if the lock was already lost. After another error the lock becomes free
// when its hold has passed.
func (l *Lock) Release(ctx context.Context) error {
	l.stopRenewal()
	<-l.renewalStopped
	held := l.lease.end()
	err := l.client.Finish(ctx, l.name, l.token)
	if !held {
		return errors.Wrap(ErrLockLost, l.name)
	}
	return err
}

// renewUntilLost renews the lock until it is lost or the context ends.
func (l *Lock) renewUntilLost(ctx context.Context, sent time.Time) {
	defer close(l.renewalStopped)
	defer l.client.unclaim(l.name)
	next := sent.Add(l.hold / renewalDivisor)
	for sleep(ctx, time.Until(next)) == nil {
		sent, err := l.renew(ctx)
		if err == nil {
			next = sent.Add(l.hold / renewalDivisor)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrLockLost) || !l.lease.held() {
			l.lease.end()
			return
		}
		next = time.Now().Add(l.hold / renewalRetryDivisor)
	}
}

// renew renews the lock once, and returns the time at which the call was sent. Its time limit is the end of the lease.
func (l *Lock) renew(ctx context.Context) (sent time.Time, err error) {
	ctx, cancel := context.WithDeadline(ctx, l.lease.deadline())
	defer cancel()
	grant, err := l.client.Heartbeat(ctx, l.name, l.token, l.hold)
	if err != nil {
		return time.Time{}, err
	}
	if !l.lease.extend(grant.Until) {
		return time.Time{}, errors.Wrap(ErrLockLost, "the renewal was answered after the lease expired")
	}
	return grant.Sent, nil
}
