package replication

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/fleet/replica"
)

// exchangeEvidence records and broadcasts the evidence of the broker's own calls, and applies the peer ejections that
// follow from the facts of other members.
func (s *Service) exchangeEvidence(store *replica.Store) {
	now := s.now()
	store.Expire(now)
	ctx, cancel := context.WithTimeout(context.Background(), brokerTimeout)
	defer cancel()
	evidence, listed, err := s.broker.Evidence(ctx, store.ReportedBad(now))
	if err != nil {
		s.log.Warn("fleet.replica.busy", zap.Error(err))
		return
	}
	for _, e := range evidence {
		verdict := replica.Good
		if e.Ejected {
			verdict = replica.Bad
		}
		if fact, changed := store.Record(now, e.Server, verdict, time.Duration(s.section.TTL)); changed {
			s.broadcast(fact)
		}
	}
	s.applyPeerEjections(ctx, store, store.PeerEjections(now, listed, s.ejectionRules()))
}

// ejectionRules returns the configured rules for peer ejections.
func (s *Service) ejectionRules() replica.EjectionRules {
	const percent = 100
	return replica.EjectionRules{
		MinWitnesses:     s.section.MinWitnesses,
		MaxShareOfOrigin: float64(s.section.MaxBadPercentPerOrigin) / percent,
		MaxShare:         float64(s.section.MaxBadPercent) / percent,
	}
}

// applyPeerEjections makes the broker apply peer ejections, and logs how many servers changed.
func (s *Service) applyPeerEjections(ctx context.Context, store *replica.Store, ejections []replica.PeerEjection) {
	if len(ejections) == 0 {
		return
	}
	evidence := make([]core.Evidence, 0, len(ejections))
	for _, e := range ejections {
		evidence = append(evidence, core.Evidence{Server: e.Subject, Ejected: true, Age: e.Age})
	}
	applied, err := s.broker.ApplyPeerEjections(ctx, evidence)
	if err != nil {
		s.log.Warn("fleet.replica.busy", zap.Error(err))
	}
	if applied > 0 {
		s.counters.Heeded.Add(uint64(applied))
		s.log.Info("fleet.replica.advice_applied", zap.Int("servers", applied), zap.Int("advice", len(ejections)),
			zap.String("digest", store.Digest()))
	}
}
