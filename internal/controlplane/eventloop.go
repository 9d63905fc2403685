package controlplane

import (
	"os"
	"time"

	"dykering/internal/nodefile"
)

const (
	// commandQueueLength bounds the commands that wait for the event loop. A sender waits while the queue is full.
	commandQueueLength = 4096
	// seedRefreshInterval is the time between two readings of the settings' seeds while this member has no quorum.
	seedRefreshInterval = time.Second
)

// now is the time since the start of the process, by a clock that does not step.
func (s *Server) now() time.Duration { return time.Since(s.origin) }

// enqueue hands a command to the event loop, which owns all tables. It waits while the queue is full, and drops the command
// where the process ends. The event loop itself must not call it.
func (s *Server) enqueue(command func()) {
	select {
	case s.commands <- command:
	case <-s.ctx.Done():
	}
}

// runEventLoop runs commands and ticks until a stopping member may end. A second signal ends it at once.
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

// leave begins a planned stop. It returns a channel that delivers once the grace period is over.
func (s *Server) leave(sig os.Signal) <-chan time.Time {
	s.log.Info("process.stopping", "signal", sig.String())
	s.chain.Leave(s.now())
	s.endStreams()
	s.coordination.stop()
	return time.After(s.timing.gracePeriod)
}

// logForcedStop reports that this member ends although the others need its vote or its disk.
func (s *Server) logForcedStop() {
	view := s.chain.View()
	s.log.Warn("process.stopped_needed", "view", view.Number, "in_chain", s.chain.IsInChain())
}

// runQueuedCommands runs the commands that are queued already, so that one afterBatch serves all of them.
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

// afterBatch does what a batch of commands has made due: answers, broadcasts, streams, plans and snapshots.
func (s *Server) afterBatch() {
	now := s.now()
	s.pendingRequests.AnswerReady(now)
	s.applySessionOutput(s.sessions.Flush(now, s.core(now)))
	s.broadcastEndpointLoads(now)
	s.streamUpdates(now)
	s.coordination.answerWatches(now)
	s.placement.planIfDue(now)
}

// tick does what time alone makes due.
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

// refreshSeeds reads the seeds again while this member has no quorum: all that it started with may have been replaced, and
// it would else look for its peers at old addresses for ever.
func (s *Server) refreshSeeds(now time.Duration, hasQuorum bool) {
	if hasQuorum || now < s.seedRefreshDue {
		return
	}
	s.seedRefreshDue = now + seedRefreshInterval
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		s.log.Warn("settings.unreadable", "error", err)
		return // the seeds known so far stay in use
	}
	s.chain.SetSeeds(settings.SeedInternalAddresses())
}
