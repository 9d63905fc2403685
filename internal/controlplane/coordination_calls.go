package controlplane

// maxRecentCalls bounds the calls of peers that are remembered. A second delivery follows the first one within the time that a
// link needs to connect again.
const maxRecentCalls = 4096

// recentCall identifies a call of a peer.
type recentCall struct {
	from string
	id   uint64
}

// recentCalls are the last calls of peers, to recognise one that is delivered twice.
type recentCalls struct {
	known map[recentCall]bool
	// order has the known calls, the oldest at next once it is full.
	order []recentCall
	next  int
}

func newRecentCalls() *recentCalls { return &recentCalls{known: map[recentCall]bool{}} }

// isRepeated reports whether a call was seen before, and remembers it.
func (r *recentCalls) isRepeated(from string, id uint64) bool {
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
