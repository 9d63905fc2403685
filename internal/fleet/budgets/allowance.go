package budgets

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// noRetryShare is the retry rate for a fleet without a retry quota. Retries are then limited only by the broker's own
// retry budget.
const noRetryShare = -1

// sampleDemand updates the demand estimate from the requests that this broker received.
func (s *Service) sampleDemand() {
	ctx, cancel := context.WithTimeout(context.Background(), brokerTimeout)
	defer cancel()
	usage, err := s.broker.Usage(ctx)
	demand := make([]float64, len(s.floor))
	if err != nil || len(usage) > len(demand) { // there is no usage before the broker's first list
		return
	}
	requests, quotas := 0.0, 0.0
	for i, use := range usage {
		demand[i] = use.Asked
		requests += use.Asked
		quotas += s.config.Quotas[i]
	}
	if s.config.Section.RetryQuota > 0 && quotas > 0 { // the demand for retries is proportional to the requests
		demand[len(demand)-1] = requests * s.config.Section.RetryQuota / quotas
	}
	s.demand.Sample(s.now(), demand)
	s.usage = usage
}

// setShares sets the rates that the broker may spend until a time, and the floor that applies afterwards. If there is a
// retry quota, the last element is the retry rate. The broker itself enforces the end, because this goroutine may run
// late.
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

// applyAllowance sets the broker's rates to the holder's allowance. It logs each change with the start and the end of its
// validity by the wall clock, so that the logs of all brokers together show that the shares never exceed the quotas.
func (s *Service) applyAllowance(now time.Duration) {
	rates, leased := s.holder.Allowance(now)
	isUnchangedFloor := s.state.Load() != nil && !leased && !s.leased
	if isUnchangedFloor {
		s.setShares(s.floor, s.floor, time.Time{}) // renews the retry rate of the floor
		return
	}
	from := time.Now()
	var until time.Time
	if leased { // the exact end on the clock that the request was timed by
		end := now + s.holder.Remaining(now)
		until = s.start.Add(time.Duration(float64(end) / s.config.Section.ClockRate))
	}
	s.setShares(rates, s.floor, until)
	s.logAllowance(rates, leased, from, until)
	s.leased = leased
}

// logAllowance logs the rates that apply from a time, and for a lease the time at which they end.
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
