package controlplane

import "dykering/internal/chain"

// applyChainOutput executes an output of the chain's state machine. Immediate messages are sent at once. All other
// messages are sent after the records of the same output are durable, as chain.Output requires.
func (s *Server) applyChainOutput(out chain.Output) {
	for _, envelope := range out.ImmediateMessages {
		s.send(envelope.To, envelope.Message)
	}
	if len(out.Records) > 0 || len(out.Messages) > 0 {
		s.persist(out.Records, out.Messages)
	}
	if out.ViewInstalled {
		s.onViewInstalled()
	}
}

// persist queues records for the chain store, together with the messages to send once the records are durable.
func (s *Server) persist(records []any, messages []chain.Envelope) {
	job := storeJob{messages: messages}
	for _, record := range records {
		encoded, err := s.chainStore.encode(record, s.chain.Snapshot)
		if err != nil {
			s.log.Error("record.unencodable", "error", err)
			s.chainStore.startNewFile() // the snapshot at its start includes this record's change
			continue
		}
		job.records = append(job.records, encoded)
	}
	select {
	case s.chainStore.jobs <- job:
	default:
		// The queue is full because the disk has stalled. The chain sends the dropped messages again. The snapshot at the
		// start of the next file includes the dropped records; without it, a later record would depend on records that
		// were never stored.
		s.log.Error("disk.queue_full")
		s.chainStore.startNewFile()
	}
}

// onPersisted sends the messages whose records are durable. Messages to this member itself are delivered directly.
func (s *Server) onPersisted(messages []chain.Envelope) {
	for _, envelope := range messages {
		if envelope.To == s.chain.Self().Address {
			s.applyChainOutput(s.chain.Receive(s.now(), envelope.Message))
			continue
		}
		s.send(envelope.To, envelope.Message)
	}
}

// onViewInstalled logs a new view and passes it on to the services that depend on it. It restarts the full sync of the
// sessions, because a member that was outside the view has missed broadcasts.
func (s *Server) onViewInstalled() {
	view := s.chain.View()
	s.log.Info("chain.view", "number", view.Number, "voters", len(view.Voters), "chain", len(view.Chain),
		"head", string(view.Head()), "holder", string(view.Holder), "token", view.Token)
	s.sessions.RestartSync()
	s.coordination.head.ViewInstalled(s.now())
}
