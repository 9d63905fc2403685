package client

import (
	"context"
	"time"
)

// A candidate asks for a held leadership after a random pause between these parts of the hold. The candidates thus spread
// their calls, and a leader that died is replaced within about a third of the hold after its own is over.
const (
	minCampaignPauseDivisor = 6
	maxCampaignPauseDivisor = 3
)

// Election elects one leader among the clients that campaign under the same name. It is a lock that is held for long.
type Election struct {
	client *Client
	name   string
	hold   time.Duration
}

// Election returns the election of a name. The hold is how long a leader that dies is waited for.
func (c *Client) Election(name string, hold time.Duration) *Election {
	return &Election{client: c, name: name, hold: hold}
}

// Campaign waits until this client is elected, or until the context ends.
func (e *Election) Campaign(ctx context.Context) (*Leadership, error) {
	lock, err := e.client.acquire(ctx, e.name, e.hold, func() time.Duration {
		return randomBetween(e.hold/minCampaignPauseDivisor, e.hold/maxCampaignPauseDivisor)
	})
	if err != nil {
		return nil, err
	}
	return &Leadership{lock: lock}, nil
}

// Leadership is the time of this client as the leader. It is renewed in the background.
type Leadership struct{ lock *Lock }

// Token is the fencing token: above that of each former leader. Send it with each order of the leader.
func (l *Leadership) Token() uint64 { return l.lock.Token() }

// Lost is closed when this client may no longer act as the leader.
func (l *Leadership) Lost() <-chan struct{} { return l.lock.Lost() }

// Leads reports whether this client may act as the leader at this moment.
func (l *Leadership) Leads() bool { return l.lock.Held() }

// Resign ends the leadership, so that another candidate can be elected at once. Errors are those of Lock.Release.
func (l *Leadership) Resign(ctx context.Context) error { return l.lock.Release(ctx) }
