package decision

import (
	"math"
	"time"
)

// Use is what came of one tenant since the start.
type Usage struct {
	Asked       float64 // requests that are no repeats
	WithinQuota float64 // of them, within its share at this instance
}

// Uses tell what came of each tenant.
func (b *Balancer) Usage() []Usage {
	uses := make([]Usage, len(b.tenants))
	for i := range b.tenants {
		uses[i] = b.tenants[i].usage
	}
	return uses
}

// Allotment is what may be spent a second: the parts until a time, and the floors from then on.
type QuotaShares struct {
	TenantRates, TenantFallbackRates []float64     // by tenant
	RetryRate                        float64       // further attempts, in place of those that answers earn; negative leaves it to answers
	RetryFallbackRate                float64       // and from Until on
	Until                            time.Duration // 0 for no end
}

// Allot sets what each tenant may ask for within its share at this instance, in place of an even part of its quota. What
// it may ask for is then the same however much is served here: the parts of all instances add up. The end holds where
// it is spent, however late anybody says that it has come.
func (b *Balancer) SetQuotaShares(now time.Duration, a QuotaShares) {
	if b.tenants == nil {
		b.startTenantBuckets(now)
	}
	for i := range min(len(a.TenantRates), len(a.TenantFallbackRates), len(b.tenants)) {
		b.tenants[i].setRate(now, a.TenantRates[i], a.TenantFallbackRates[i], a.Until, tenantBurstBase)
	}
	b.totalQuota = math.Inf(1)
	if a.RetryRate < 0 {
		b.fleetRetries = nil
		return
	}
	if b.fleetRetries == nil {
		b.fleetRetries = &tokenBucket{at: now}
	}
	// What is left of the budget is what the bucket holds, and what has come since.
	b.fleetRetries.level = b.retryTokens
	b.fleetRetries.setRate(now, a.RetryRate, a.RetryFallbackRate, a.Until, 1)
	b.retryTokens = max(b.fleetRetries.level, 0)
}

// meter starts the buckets of the tenants.
func (b *Balancer) startTenantBuckets(now time.Duration) {
	for _, t := range b.settings.Tenants {
		rate := t.QuotaPerS / float64(b.settings.Instances)
		b.tenants = append(b.tenants, newTokenBucket(now, rate, tenantBurstSeconds))
		b.totalQuota += rate
	}
}

// beyondShare meters a tenant's requests against its share at this instance. Callers come unevenly: where it
// serves clearly more than an even part of all shares, each tenant's grows alike, and who floods still stands
// out. It grows somewhat faster than what is served, for else half of all would be beyond shares just met.
// A repeat counts as beyond: most are of requests refused for that, and would use up the share of new ones.
func (b *Balancer) isOverQuota(now time.Duration, q Request) bool {
	if b.settings.Stage > 0 || q.Tenant >= len(b.tenants) || q.IsRetry {
		return b.settings.Stage == 0 && q.Tenant < len(b.tenants)
	}
	more := 0.0
	if b.totalQuota > 0 {
		more = max(b.answerRate.value(now, b.rateWindow)/b.totalQuota-evenShareTolerance, 0)
	}
	return !b.tenants[q.Tenant].take(now, 1/(1+quotaRelaxation*more))
}

// short tells whether capacity is short, by what this instance sees: requests wait, as many calls are out as
// may be, or they take too long. While it is not, nobody is refused for what is beyond a share. It counts for
// a rate window from then on, for else what is beyond fills each gap up to the limit, and endpoints choke;
// for less, the more instances share the callers, as an even part of shares tells less there, and a limit of
// a few calls is reached by chance.
func (b *Balancer) capacityIsShort(now time.Duration) bool {
	b.updateInFlightLimit(now)
	most := 1.0
	if b.settings.Instances > len(b.listed) {
		most = overQuotaPressure
	}
	strained := b.latencyPressure > most && now-b.pressureAt <= b.rateWindow // without answers it tells nothing of now
	if len(b.queue) > 0 || strained || float64(b.inFlight-b.overdueCalls+b.predecessor.sum(now))+1 > b.inFlightLimit {
		b.shortageUntil = now + b.rateWindow/time.Duration(b.settings.Instances)
		return true
	}
	return now < b.shortageUntil
}
