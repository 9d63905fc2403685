package dataplane

import "time"

// Constants of the table loop.
const (
	// commandQueueSize bounds the commands that wait for the table loop. Callers block while the queue is full.
	commandQueueSize = 4096
	// expireInterval is the time between two removals of expired endpoints and idle connections.
	expireInterval = 500 * time.Millisecond
)

// runTableLoop owns the tables of the server. It runs the commands of enqueue and queryTables one at a time until the process
// ends.
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

// enqueue sends a command to the table loop. It blocks while the queue is full.
func (s *Server) enqueue(command func()) {
	select {
	case s.commands <- command:
	case <-s.ctx.Done():
	}
}

// queryTables runs a query on the table loop and returns its answer. It returns the zero value once the process has ended.
func queryTables[T any](s *Server, query func() T) (answer T) {
	answered := make(chan T, 1)
	s.enqueue(func() { answered <- query() })
	select {
	case answer = <-answered:
	case <-s.ctx.Done():
	}
	return answer
}

// now returns the time since the process started. The tables use it as their clock.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }
