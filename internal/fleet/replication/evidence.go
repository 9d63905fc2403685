package replication

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/fleet/replica"
)

// exchangeEvidence records and broadcasts what the broker's own calls have shown, and has the broker apply what the facts
// of other members amount to.
func (s *Service) exchangeEvidence(store *replica.Store) {
	now := s.now()
	store.Expire(now)
	ctx, cancel := context.WithTimeout(context.Background(), brokerTimeout)
	defer cancel()
	evidence, listed, err := s.broker.Evidence(ctx, store.Disputed(now))
	if err != nil {
		s.log.Warn("fleet.replica.busy", zap.Error(err))
		return
	}
	for _, e := range evidence {
		verdict := replica.Good
		if e.Ejected {
			verdict = replica.Bad
		}
		if fact, news := store.Record(now, e.Server, verdict, time.Duration(s.section.TTL)); news {
			s.broadcast(fact)
		}
	}
	s.applyAdvice(ctx, store, store.Advise(now, listed, s.rules()))
}

func (s *Service) rules() replica.Rules {
	const percent = 100
	return replica.Rules{
		MinWitnesses:     s.section.Witnesses,
		MaxShareOfOrigin: float64(s.section.PerOrigin) / percent,
		MaxShare:         float64(s.section.MostBad) / percent,
	}
}

func (s *Service) applyAdvice(ctx context.Context, store *replica.Store, advice []replica.Advice) {
	if len(advice) == 0 {
		return
	}
	ejections := make([]core.Evidence, 0, len(advice))
	for _, a := range advice {
		ejections = append(ejections, core.Evidence{Server: a.Subject, Ejected: true, Age: a.Age})
	}
	applied, err := s.broker.ApplyPeerEjections(ctx, ejections)
	if err != nil {
		s.log.Warn("fleet.replica.busy", zap.Error(err))
	}
	if applied > 0 {
		s.counters.Heeded.Add(uint64(applied))
		s.log.Info("fleet.replica.advice_applied", zap.Int("servers", applied), zap.Int("advice", len(advice)),
			zap.String("digest", store.Digest()))
	}
}
