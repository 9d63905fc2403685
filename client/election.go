package client

import (
	"context"
	"time"
)

// While another client leads, a candidate tries again after a random pause between the hold divided by
// minCampaignPauseDivisor and by maxCampaignPauseDivisor. The random pauses spread the calls of the candidates. A leader that
// died is replaced within about a third of the hold after its hold has passed.
const (
	minCampaignPauseDivisor = 6
	maxCampaignPauseDivisor = 3
)

// Election elects one leader among the clients that campaign under the same name. It uses a lock of that name.
type Election struct {
	client *Client
	name   string
	hold   time.Duration
}

// Election returns the election of a name. The hold is the time for which candidates wait if the leader dies.
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

// Leadership represents this client's term as the leader. It is renewed in the background.
type Leadership struct{ lock *Lock }

// Token returns the fencing token, which is higher than the tokens of all former leaders. Send it with each command of the
// leader.
func (l *Leadership) Token() uint64 { return l.lock.Token() }

// Lost returns a channel that is closed when this client may no longer act as the leader.
func (l *Leadership) Lost() <-chan struct{} { return l.lock.Lost() }

// Leads reports whether this client may currently act as the leader.
func (l *Leadership) Leads() bool { return l.lock.Held() }

// Resign ends the leadership, so that another candidate can be elected immediately. It returns the errors of Lock.Release.
func (l *Leadership) Resign(ctx context.Context) error { return l.lock.Release(ctx) }
