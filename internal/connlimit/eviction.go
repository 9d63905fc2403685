package connlimit

import (
	"container/list"
	"time"
)

const (
	// stallTimeout is how long a client may make no use of its connection before the connection may be evicted for another one.
	stallTimeout = 700 * time.Millisecond
	// pressedTimeout is the same if no other connection may be evicted.
	pressedTimeout = 100 * time.Millisecond
	// minBodyRate is the rate in bytes per second below which the body of a request may be evicted.
	minBodyRate = 48 << 10
)

// evictForConnection closes the connection that has made the least of its time. It returns false if all are in use. The caller
// must hold l.mu.
func (l *Listener) evictForConnection(now time.Time) bool {
	isStalled := func(conn *Conn) bool { return !conn.established && now.Sub(conn.since) >= stallTimeout }
	isPressed := func(conn *Conn) bool { return !conn.established && now.Sub(conn.since) >= pressedTimeout }
	for _, candidate := range []struct {
		phase connPhase
		may   func(*Conn) bool
	}{
		{phaseHead, isStalled},
		{phaseNew, isStalled},
		{phaseIdle, func(conn *Conn) bool { return !conn.established }},
		{phaseBody, func(conn *Conn) bool { return conn.isBodySlow(now) }},
		{phaseServing, func(conn *Conn) bool { return conn.isWriteBlocked(now, stallTimeout) }},
		{phaseHead, isPressed},
		{phaseNew, isPressed},
		{phaseBody, isPressed},
		{phaseServing, func(conn *Conn) bool { return conn.isWriteBlocked(now, pressedTimeout) }},
	} {
		if l.evictFirst(&l.byPhase[candidate.phase], candidate.may) {
			return true
		}
	}
	return false
}

// evictForHead closes the connection that has held a heavy head for the longest time without a complete request, except the given
// one. It returns false if there is none. The caller must hold l.mu.
func (l *Listener) evictForHead(except *Conn, now time.Time) bool {
	isHeavy := func(conn *Conn) bool { return conn != except && HeavyPart(conn.headWeight) > 0 }
	return l.evictFirst(&l.byPhase[phaseHead], isHeavy) ||
		l.evictFirst(&l.byPhase[phaseBody], func(conn *Conn) bool { return isHeavy(conn) && conn.isBodySlow(now) })
}

// evictForBody closes the connection whose body has been slow for the longest time, or else the one whose body has taken the longest,
// except the given one. It returns false if there is none.
func (l *Listener) evictForBody(except *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	bodies := &l.byPhase[phaseBody]
	return l.evictFirst(bodies, func(conn *Conn) bool { return conn != except && conn.isBodySlow(now) }) ||
		l.evictFirst(bodies, func(conn *Conn) bool { return conn != except && now.Sub(conn.since) >= stallTimeout })
}

// evictFirst closes the first connection of a list that may be evicted. It returns false if there is none.
func (l *Listener) evictFirst(connections *list.List, may func(*Conn) bool) bool {
	for element := connections.Front(); element != nil; element = element.Next() {
		if conn := element.Value.(*Conn); may(conn) {
			l.remove(conn)
			conn.Conn.Close()
			return true
		}
	}
	return false
}
