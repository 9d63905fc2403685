package budgets

import (
	"time"

	"go.uber.org/zap"
)

const (
	// queuePerMember bounds the messages that wait to be sent to one member.
	queuePerMember = 64
	// maxQueues bounds the members that messages are sent to at a time.
	maxQueues = 4096
	// idleTimeout is after how long without a message the queue to a member ends.
	idleTimeout = 30 * time.Second
)

// outbox sends messages by a queue and a goroutine for each member, so that one that is slow or has departed delays no
// other. The service's owner uses it.
type outbox struct {
	service *Service
	queues  map[string]*sendQueue
}

type sendQueue struct {
	messages chan []byte
	lastUsed time.Time
}

func newOutbox(s *Service) *outbox { return &outbox{service: s, queues: map[string]*sendQueue{}} }

// send queues a message, or counts it as lost.
func (o *outbox) send(to string, message []byte) {
	queue := o.queues[to]
	if queue == nil {
		if len(o.queues) >= maxQueues {
			o.service.dropped.Add(1)
			return
		}
		queue = &sendQueue{messages: make(chan []byte, queuePerMember)}
		o.queues[to] = queue
		o.service.wg.Go(func() { o.service.sendMessages(to, queue.messages) })
	}
	queue.lastUsed = time.Now()
	select {
	case queue.messages <- message:
	default:
		o.service.dropped.Add(1)
	}
}

// sendMessages sends a member its messages until the queue is closed. Once the service closes it discards them: those to a
// member that has departed would delay the end by a timeout each.
func (s *Service) sendMessages(to string, messages <-chan []byte) {
	for message := range messages {
		select {
		case <-s.done:
			return
		default:
		}
		if err := s.gossip.Send(to, message); err != nil {
			s.log.Debug("fleet.budget.unsent", zap.Error(err)) // it is asked for, or sent, again
		}
	}
}

// closeIdleQueues ends the queues that were not used for a while.
func (o *outbox) closeIdleQueues() {
	for id, queue := range o.queues {
		if time.Since(queue.lastUsed) > idleTimeout {
			close(queue.messages)
			delete(o.queues, id)
		}
	}
}

// closeQueues ends all queues.
func (o *outbox) closeQueues() {
	for id, queue := range o.queues {
		close(queue.messages)
		delete(o.queues, id)
	}
}
