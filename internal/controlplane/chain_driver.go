package controlplane

import "dykering/internal/chain"

// applyChainOutput carries out what the chain's state machine asks for, in the order that chain.Output prescribes: immediate
// messages leave at once, all others once the records of the same output are stored.
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

// persist hands records to the chain store, with the messages that leave once the records are stored.
func (s *Server) persist(records []any, messages []chain.Envelope) {
	job := storeJob{messages: messages}
	for _, record := range records {
		encoded, err := s.chainStore.encode(record, s.chain.Snapshot)
		if err != nil {
			s.log.Error("record.unencodable", "error", err)
			s.chainStore.startNewFile() // whose snapshot holds what this record says
			continue
		}
		job.records = append(job.records, encoded)
	}
	select {
	case s.chainStore.jobs <- job:
	default:
		// The disk has stalled for long. The chain sends its messages again. The records are in the snapshot that begins the
		// next file; without that a later record would rest on ones that were never stored.
		s.log.Error("disk.queue_full")
		s.chainStore.startNewFile()
	}
}

// onPersisted sends messages whose records are stored. Those to this member itself are received at once.
func (s *Server) onPersisted(messages []chain.Envelope) {
	for _, envelope := range messages {
		if envelope.To == s.chain.Self().Address {
			s.applyChainOutput(s.chain.Receive(s.now(), envelope.Message))
			continue
		}
		s.send(envelope.To, envelope.Message)
	}
}

// onViewInstalled starts another full sync of the sessions: a member that was outside the view has missed broadcasts.
func (s *Server) onViewInstalled() {
	view := s.chain.View()
	s.log.Info("chain.view", "number", view.Number, "voters", len(view.Voters), "chain", len(view.Chain),
		"head", string(view.Head()), "holder", string(view.Holder), "token", view.Token)
	s.sessions.RestartSync()
	s.coordination.head.ViewInstalled(s.now())
}
