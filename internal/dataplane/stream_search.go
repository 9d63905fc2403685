package dataplane

import (
	"time"

	"github.com/pkg/errors"

	"dykering/internal/nodefile"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

// searchStagger is the time after which the next control process is tried as well while the ones before it have not answered. A
// process that is frozen or cut off takes up no more time than that.
const searchStagger = 300 * time.Millisecond

// errStreamRefused is the error for a control process that leaves or cannot be sure of the newest state.
var errStreamRefused = errors.New("the control process refused the stream")

// updateStream is an open stream of updates whose first update was received and not applied yet.
type updateStream struct {
	address string
	conn    *peerlink.Conn
	first   protocol.Update
}

// streamAttempt is the result of an attempt to open a stream.
type streamAttempt struct {
	address string
	stream  *updateStream             // nil if the attempt failed
	members []protocol.ControlProcess // the control processes that a refusal named
	err     error
}

// findStream opens a stream at the first of the control processes that serves one. It tries them in the given order, each a little
// after the one before it or once that has failed. It returns nil if none of them serves.
func (s *Server) findStream(processes *controlProcesses) *updateStream {
	order := processes.dialOrder()
	attempts := make(chan streamAttempt, len(order))
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	started, pending := 0, 0
	for started < len(order) || pending > 0 {
		select {
		case <-s.ctx.Done():
			go closeStreams(attempts, pending)
			return nil
		case <-stagger.C:
			if started < len(order) {
				address := order[started].Address
				go func() { attempts <- s.openStream(address) }()
				started, pending = started+1, pending+1
				stagger.Reset(searchStagger)
			}
		case attempt := <-attempts:
			pending--
			if attempt.stream != nil {
				go closeStreams(attempts, pending)
				return attempt.stream
			}
			s.log.Debug("updates.not_served", "address", attempt.address, "error", attempt.err)
			processes.attemptFailed(attempt.address, attempt.members)
			stagger.Reset(0)
		}
	}
	return nil
}

// closeStreams closes the streams of attempts that are still pending.
func closeStreams(attempts <-chan streamAttempt, pending int) {
	for range pending {
		if attempt := <-attempts; attempt.stream != nil {
			attempt.stream.conn.Close()
		}
	}
}

// openStream subscribes to a control process and waits for its first update.
func (s *Server) openStream(address string) streamAttempt {
	conn, err := s.subscribe(address)
	if err != nil {
		return streamAttempt{address: address, err: err}
	}
	first, err := receiveUpdate(conn, s.updateTimeout())
	if err == nil && !first.Leaving {
		return streamAttempt{address: address, stream: &updateStream{address: address, conn: conn, first: first}}
	}
	conn.Close()
	if err == nil {
		err = errStreamRefused
	}
	return streamAttempt{address: address, members: first.Members, err: err}
}

// updateTimeout returns how long a control process that serves may be silent.
func (s *Server) updateTimeout() time.Duration {
	return max(nodefile.Milliseconds(s.settings.Bounds.ContactMs)/contactBoundDivisor, 3*protocol.Keepalive/2)
}

// receiveUpdate returns the next update. It skips messages of other types, which later versions may send.
func receiveUpdate(conn *peerlink.Conn, timeout time.Duration) (protocol.Update, error) {
	for {
		message, err := conn.Receive(timeout)
		if err != nil {
			return protocol.Update{}, err
		}
		if update, ok := message.(protocol.Update); ok {
			return update, nil
		}
	}
}
