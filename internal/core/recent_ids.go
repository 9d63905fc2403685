package core

import (
	"time"

	"dykering/internal/decision"
)

const (
	recentIDTTL  = 10 * time.Second // how long the ID of a finished request is remembered
	maxRecentIDs = 4096             // maximum number of remembered IDs
)

// recentIDs holds the IDs of requests that have finished recently. Request IDs are unique. A repeated ID therefore belongs
// to another request, which endpoints might run a second time or reject as a duplicate.
type recentIDs struct {
	endedAt map[decision.RequestID]time.Duration
	order   []decision.RequestID // IDs in the order in which the requests finished
}

// add adds an ID, and removes the oldest IDs that have expired or exceed maxRecentIDs.
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

// contains reports whether a request with this ID has finished within recentIDTTL.
func (r *recentIDs) contains(id decision.RequestID, now time.Duration) bool {
	at, ok := r.endedAt[id]
	return ok && now-at <= recentIDTTL
}
