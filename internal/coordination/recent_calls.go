package coordination

// maxRecentCalls bounds the calls of peers that are remembered. A second delivery follows the first one within the time that a
// link needs to connect again.
const maxRecentCalls = 4096

// recentCall identifies a call of a peer.
type recentCall struct {
	from string
	id   uint64
}

// RecentCalls are the last calls of peers, to recognise one that is delivered twice.
type RecentCalls struct {
	known map[recentCall]bool
	// order has the known calls, the oldest at next once it is full.
	order []recentCall
	next  int
}

// NewRecentCalls returns a memory without calls.
func NewRecentCalls() *RecentCalls { return &RecentCalls{known: map[recentCall]bool{}} }

// IsRepeated reports whether a call was seen before, and remembers it.
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
