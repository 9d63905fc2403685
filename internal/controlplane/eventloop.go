package controlplane

import (
	"os"
	"time"

	"dykering/internal/nodefile"
)

const (
	// commandQueueLength bounds the commands that wait for the event loop. Senders block while the queue is full.
	commandQueueLength = 4096
	// seedRefreshInterval is the time between two readings of the seeds from the settings while this member has no
	// quorum.
	seedRefreshInterval = time.Second
)

// now returns the time since the start of the process, from a monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.origin) }

// enqueue hands a command to the event loop, which owns all tables. It blocks while the queue is full, and drops the
// command if the process ends. The event loop itself must not call it, since it would wait for itself.
func (s *Server) enqueue(command func()) {
	select {
	case s.commands <- command:
	case <-s.ctx.Done():
	}
}

// runEventLoop runs commands and ticks until the process may end. After the first signal the member leaves the chain
// and the loop returns when the others no longer need it, or when the grace period has expired. A second signal ends
// the loop at once.
func (s *Server) runEventLoop(stop <-chan os.Signal) {
	ticker := time.NewTicker(s.timing.tickInterval)
	defer ticker.Stop()
	var graceExpired <-chan time.Time // nil until a signal arrives
	for {
		select {
		case command := <-s.commands:
			command()
			s.runQueuedCommands()
		case <-ticker.C:
			s.tick()
		case sig := <-stop:
			if graceExpired != nil {
				s.logForcedStop()
				return
			}
			graceExpired = s.leave(sig)
		case <-graceExpired:
			s.logForcedStop()
			return
		}
		s.afterBatch()
		if graceExpired != nil && s.chain.CanStop(s.now()) && s.coordination.admission.isIdle() {
			return
		}
	}
}

// leave starts a planned shutdown. It returns a channel that delivers a value when the grace period has expired.
func (s *Server) leave(sig os.Signal) <-chan time.Time {
	s.log.Info("process.stopping", "signal", sig.String())
	s.chain.Leave(s.now())
	s.endStreams()
	s.coordination.stop()
	return time.After(s.timing.gracePeriod)
}

// logForcedStop logs that this member ends although the other members still need its vote or its disk.
func (s *Server) logForcedStop() {
	view := s.chain.View()
	s.log.Warn("process.stopped_needed", "view", view.Number, "in_chain", s.chain.IsInChain())
}

// runQueuedCommands runs the commands that are already queued, so that one call of afterBatch serves all of them.
func (s *Server) runQueuedCommands() {
	for range commandQueueLength {
		select {
		case command := <-s.commands:
			command()
		default:
			return
		}
	}
}

// afterBatch does the work that a batch of commands has made due: replies, broadcasts, update streams, placement plans
// and snapshots.
func (s *Server) afterBatch() {
	now := s.now()
	s.pendingRequests.AnswerReady(now)
	s.applySessionOutput(s.sessions.Flush(now, s.core(now)))
	s.broadcastEndpointLoads(now)
	s.streamUpdates(now)
	s.coordination.answerWatches(now)
	s.placement.planIfDue(now)
}

// tick does the work that depends only on the time.
func (s *Server) tick() {
	now := s.now()
	s.chain.SetDiskHealthy(s.chainStore.writeDuration() < s.timing.maxWriteDuration)
	s.refreshSeeds(now, s.chain.HasQuorum(now))
	s.applyChainOutput(s.chain.Tick(now))
	s.applySessionOutput(s.sessions.Tick(now, s.core(now)))
	s.broadcastSubscriberCount(now)
	s.expirePendingCalls(now)
	s.placement.tick(now)
	s.coordination.tick(now)
	s.reportTolerance(now)
}

// refreshSeeds reads the seeds from the settings again while this member has no quorum. All of its peers may have been
// replaced since the start, and it would otherwise look for them at their old addresses forever.
func (s *Server) refreshSeeds(now time.Duration, hasQuorum bool) {
	if hasQuorum || now < s.seedRefreshDue {
		return
	}
	s.seedRefreshDue = now + seedRefreshInterval
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		s.log.Warn("settings.unreadable", "error", err)
		return // the current seeds stay in use
	}
	s.chain.SetSeeds(settings.SeedInternalAddresses())
}
