package dataplane

import "time"

// The commands to the tables' owner.
const (
	// commandQueueSize bounds the commands that wait; a caller blocks while it is full.
	commandQueueSize = 4096
	// expireInterval is how often endpoints and connections that have expired are removed.
	expireInterval = 500 * time.Millisecond
)

// runTableLoop owns the tables: it runs the commands of post and ask one after the other until the process ends.
func (s *Server) runTableLoop() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case command := <-s.commands:
			command()
		case <-ticker.C:
			s.pool.Expire(s.now())
			s.connections.closeExpired()
		}
	}
}

// enqueue hands a command to the tables' owner. It blocks while the queue is full.
func (s *Server) enqueue(command func()) {
	select {
	case s.commands <- command:
	case <-s.ctx.Done():
	}
}

// queryTables has the tables' owner run a query and returns the answer; the zero value once the process has ended.
func queryTables[T any](s *Server, query func() T) (answer T) {
	answered := make(chan T, 1)
	s.enqueue(func() { answered <- query() })
	select {
	case answer = <-answered:
	case <-s.ctx.Done():
	}
	return answer
}

// now is the time since the process started, the clock of the tables.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }
