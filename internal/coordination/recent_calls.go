package coordination

// maxRecentCalls bounds the number of remembered calls. A bounded number suffices, as a duplicate arrives within the time in
// which a link reconnects and sends its last message again.
const maxRecentCalls = 4096

// recentCall identifies a call of a peer.
type recentCall struct {
	from string
	id   uint64
}

// RecentCalls remembers the latest calls of peers in order to detect duplicate deliveries.
type RecentCalls struct {
	known map[recentCall]bool
	// order is a ring buffer of the known calls. Once it is full, next is the index of the oldest call.
	order []recentCall
	next  int
}

// NewRecentCalls returns an empty set of calls.
func NewRecentCalls() *RecentCalls { return &RecentCalls{known: map[recentCall]bool{}} }

// IsRepeated reports whether a call was seen before, and remembers the call.
func (r *RecentCalls) IsRepeated(from string, id uint64) bool {
	call := recentCall{from: from, id: id}
	if r.known[call] {
		return true
	}
	r.known[call] = true
	if len(r.order) < maxRecentCalls {
		r.order = append(r.order, call)
		return false
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = call
	r.next = (r.next + 1) % maxRecentCalls
	return false
}
