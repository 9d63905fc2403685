package core

import (
	"time"

	"dykering/internal/decision"
)

const (
	recentIDsFor = 10 * time.Second
	maxRecentIDs = 4096
)

// past holds the ids of requests that have ended a short while ago. An id is new with every request: one that
// comes again is another's, and endpoints may run it twice or turn it away.
type recentIDs struct {
	endedAt map[decision.RequestID]time.Duration
	order   []decision.RequestID // in the order in which they ended
}

func (p *recentIDs) add(id decision.RequestID, now time.Duration) {
	if p.endedAt == nil {
		p.endedAt = map[decision.RequestID]time.Duration{}
	}
	for len(p.order) > 0 && (len(p.order) >= maxRecentIDs || now-p.endedAt[p.order[0]] > recentIDsFor) {
		delete(p.endedAt, p.order[0])
		p.order = p.order[1:]
	}
	p.endedAt[id] = now
	p.order = append(p.order, id)
}

func (p *recentIDs) has(id decision.RequestID, now time.Duration) bool {
	at, ok := p.endedAt[id]
	return ok && now-at <= recentIDsFor
}
