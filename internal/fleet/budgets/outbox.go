package budgets

import (
	"time"

	"go.uber.org/zap"
)

const (
	// queuePerMember bounds the queue of messages to one member.
	queuePerMember = 64
	// maxQueues bounds the number of members that have a queue at the same time.
	maxQueues = 4096
	// idleTimeout is the time without a message after which a member's queue is closed.
	idleTimeout = 30 * time.Second
)

// outbox sends messages to other members. Each receiver has a queue and a goroutine, so that a slow or departed member
// does not delay messages to others. Only the goroutine that owns the service's state uses the outbox.
type outbox struct {
	service *Service
	queues  map[string]*sendQueue
}

// sendQueue is the queue of messages to one member.
type sendQueue struct {
	messages chan []byte
	lastUsed time.Time
}

func newOutbox(s *Service) *outbox { return &outbox{service: s, queues: map[string]*sendQueue{}} }

// send queues a message. If the queue is full, it drops and counts the message.
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

// sendMessages sends the messages in a member's queue until the queue is closed. Once the service closes, it discards the
// remaining messages, because each message to a departed member would delay Close by a timeout.
func (s *Service) sendMessages(to string, messages <-chan []byte) {
	for message := range messages {
		select {
		case <-s.done:
			return
		default:
		}
		if err := s.gossip.Send(to, message); err != nil {
			s.log.Debug("fleet.budget.unsent", zap.Error(err)) // the message is requested or sent again later
		}
	}
}

// closeIdleQueues closes the queues that have been idle for longer than idleTimeout.
func (o *outbox) closeIdleQueues() {
	for id, queue := range o.queues {
		if time.Since(queue.lastUsed) > idleTimeout {
			close(queue.messages)
			delete(o.queues, id)
		}
	}
}

// closeQueues closes all queues, which ends their goroutines.
func (o *outbox) closeQueues() {
	for id, queue := range o.queues {
		close(queue.messages)
		delete(o.queues, id)
	}
}
