package client

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// retryParts is the part of a hold after which a renewal is begun anew when the one before failed.
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

// Acquire waits until it has a lock. It asks again, with growing random pauses, while another holder has it and while the
// service is not available. The hold is how long others must wait if this process dies.
//
// The context bounds the waiting only: it may end without an effect on the acquired lock.
func (c *Client) Acquire(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	asked := 0
	return c.acquire(ctx, name, hold, func() time.Duration {
		asked++
		return backoff(asked, c.options.MaxPause)
	})
}

// acquire asks for a lock until it has it, with a pause in between.
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

// passes reports whether an error of TryAcquire may be gone by itself later.
func isTransient(err error) bool {
	for _, transient := range []error{ErrLockHeld, ErrLockLost, ErrUnavailable, ErrOutcomeUnknown} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// TryAcquire asks for a lock without waiting for its holder. The error is ErrLockHeld if another holder has it, or if this
// client has it already. After ErrOutcomeUnknown this client may have the lock without knowing it: others then wait until
// the hold is over, or until this client acquires it again.
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

// claim notes that this client is asking for a lock or has it. The service would give it the same lock again, as it knows
// only the holder's name.
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

// Name is the lock's name.
func (l *Lock) Name() string { return l.name }

// Token is the fencing token. Send it with each change of what the lock protects.
func (l *Lock) Token() uint64 { return l.token }

// Lost is closed when the lock may no longer be relied on: it was lost, its time is over, or it was released.
func (l *Lock) Lost() <-chan struct{} { return l.lease.lost }

// Held reports whether the lock may be relied on at this moment. Unlike Lost it is exact after the process was paused.
func (l *Lock) Held() bool { return l.lease.held() }

// Release gives the lock back. The error is ErrLockLost if it was no longer held before that. After another error the lock
// becomes free once its hold is over.
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

// keepAlive renews the lock until it is lost or the context ends.
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

// renew renews the lock once, and returns when the call was sent. It gives up when the lease ends.
func (l *Lock) renew(ctx context.Context) (sent time.Time, err error) {
	ctx, cancel := context.WithDeadline(ctx, l.lease.deadline())
	defer cancel()
	grant, err := l.client.Heartbeat(ctx, l.name, l.token, l.hold)
	if err != nil {
		return time.Time{}, err
	}
	if !l.lease.extend(grant.Until) {
		return time.Time{}, errors.Wrap(ErrLockLost, "the renewal came too late")
	}
	return grant.Sent, nil
}
