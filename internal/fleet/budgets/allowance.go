package budgets

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// noRetryShare leaves retries to what the broker's own answers earn.
const noRetryShare = -1

// sampleDemand samples what was asked of this broker.
func (s *Service) sampleDemand() {
	ctx, cancel := context.WithTimeout(context.Background(), brokerTimeout)
	defer cancel()
	usage, err := s.broker.Usage(ctx)
	asked := make([]float64, len(s.floor))
	if err != nil || len(usage) > len(asked) { // before the first list there is no usage
		return
	}
	requests, quotas := 0.0, 0.0
	for i, use := range usage {
		asked[i] = use.Asked
		requests += use.Asked
		quotas += s.config.Quotas[i]
	}
	if s.config.Section.RetryQuota > 0 && quotas > 0 { // retries are needed where requests arrive
		asked[len(asked)-1] = requests * s.config.Section.RetryQuota / quotas
	}
	s.demand.Sample(s.now(), asked)
	s.usage = usage
}

// setShares has the broker spend by rates until a time, and by the floor from then on. The last element is that of
// retries, where they have a quota. The broker itself ends the rates: this goroutine may run late.
func (s *Service) setShares(rates, floor []float64, until time.Time) {
	shares := decision.QuotaShares{TenantRates: rates, TenantFallbackRates: floor, RetryRate: noRetryShare}
	if last := len(rates) - 1; s.config.Section.RetryQuota > 0 {
		shares = decision.QuotaShares{
			TenantRates: rates[:last], TenantFallbackRates: floor[:last],
			RetryRate: rates[last], RetryFallbackRate: floor[last],
		}
	}
	s.broker.SetQuotaShares(shares, until)
}

// applyAllowance has the broker spend what the holder may. Each change is logged with the times, by the wall clock, from
// when until when it holds: the logs of all brokers show that their shares add up to the quotas at each instant.
func (s *Service) applyAllowance(now time.Duration) {
	rates, leased := s.holder.Allowance(now)
	isUnchangedFloor := s.state.Load() != nil && !leased && !s.leased
	if isUnchangedFloor {
		s.setShares(s.floor, s.floor, time.Time{}) // renews the retries that the floor brings
		return
	}
	from := time.Now()
	var until time.Time
	if leased { // exactly, by the clock that the lease was asked by
		end := now + s.holder.Remaining(now)
		until = s.start.Add(time.Duration(float64(end) / s.config.Section.ClockRate))
	}
	s.setShares(rates, s.floor, until)
	s.logAllowance(rates, leased, from, until)
	s.leased = leased
}

func (s *Service) logAllowance(rates []float64, leased bool, from, until time.Time) {
	fields := []zap.Field{
		zap.Uint64("version", s.holder.Version()), zap.Float64s("parts", rates),
		zap.Float64s("demand", s.demand.Rates()), zap.Int64("from_us", from.UnixMicro()),
	}
	switch {
	case leased:
		s.log.Info("fleet.budget.lease", append(fields, zap.Int64("until_us", until.UnixMicro()))...)
	case s.leased:
		s.log.Warn("fleet.budget.floor", append(fields, zap.String("why", "no grant came before the lease ended"))...)
	default:
		s.log.Info("fleet.budget.floor", append(fields, zap.String("why", "no lease yet"))...)
	}
}
