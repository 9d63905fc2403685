package core

import (
	"time"

	"dykering/internal/decision"
)

const (
	// recentIDTTL is how long the id of a finished request is remembered, and maxRecentIDs how many are.
	recentIDTTL = 10 * time.Second
	maxRecentIDs = 4096
)

// recentIDs are the ids of requests that have finished a short while ago. Each request has an id of its own: one that
// is used again is another's, and endpoints may run it twice or reject it.
type recentIDs struct {
	endedAt map[decision.RequestID]time.Duration
	order   []decision.RequestID // in the order in which they finished
}

// add remembers an id, and forgets those that are too old or too many.
func (r *recentIDs) add(id decision.RequestID, now time.Duration) {
	if r.endedAt == nil {
		r.endedAt = map[decision.RequestID]time.Duration{}
	}
	for len(r.order) > 0 && (len(r.order) >= maxRecentIDs || now-r.endedAt[r.order[0]] > recentIDTTL) {
		delete(r.endedAt, r.order[0])
		r.order = r.order[1:]
	}
	r.endedAt[id] = now
	r.order = append(r.order, id)
}

// contains reports whether a request with this id contains finished a short while ago.
func (r *recentIDs) contains(id decision.RequestID, now time.Duration) bool {
	at, ok := r.endedAt[id]
	return ok && now-at <= recentIDTTL
}
