package decision

import (
	"math"
	"time"
)

// Usage holds the number of requests of one tenant since the start, without retries.
type Usage struct {
	Asked       float64 // all requests
	WithinQuota float64 // the requests within the tenant's quota at this instance
}

// Usage returns the usage of each tenant in the order of Settings.Tenants. It is empty before the first
// endpoint list.
func (b *Balancer) Usage() []Usage {
	usage := make([]Usage, len(b.tenants))
	for i := range b.tenants {
		usage[i] = b.tenants[i].usage
	}
	return usage
}

// QuotaShares holds the share of this instance in the quotas of the fleet. Rates are per second; the fallback
// rates apply from Until on.
type QuotaShares struct {
	TenantRates         []float64     // in the order of Settings.Tenants
	TenantFallbackRates []float64     // in the order of Settings.Tenants
	RetryRate           float64       // retries per second; if negative, answered calls refill the retry budget
	RetryFallbackRate   float64       // retries per second from Until on
	Until               time.Duration // 0 if the rates do not expire
}

// SetQuotaShares sets the rate of each tenant's quota at this instance, in place of an even part of the
// quota. The quotas are then no longer relaxed with the answer rate of this instance, because the shares of
// all instances add up to the quotas. The rates expire at their end without a further call.
func (b *Balancer) SetQuotaShares(now time.Duration, shares QuotaShares) {
	if b.tenants == nil {
		b.startTenantBuckets(now)
	}
	for i := range min(len(shares.TenantRates), len(shares.TenantFallbackRates), len(b.tenants)) {
		rate, fallback := shares.TenantRates[i], shares.TenantFallbackRates[i]
		b.tenants[i].setRate(now, rate, fallback, shares.Until, tenantBurstBase)
	}
	b.totalQuota = math.Inf(1)
	if shares.RetryRate < 0 {
		b.fleetRetries = nil
		return
	}
	if b.fleetRetries == nil {
		b.fleetRetries = &tokenBucket{updatedAt: now}
	}
	// The bucket starts with the current level of the retry budget.
	b.fleetRetries.level = b.retryTokens
	b.fleetRetries.setRate(now, shares.RetryRate, shares.RetryFallbackRate, shares.Until, 1)
	b.retryTokens = max(b.fleetRetries.level, 0)
}

// startTenantBuckets creates the token buckets of the tenants, each with an even part of the tenant's quota.
func (b *Balancer) startTenantBuckets(now time.Duration) {
	for _, t := range b.settings.Tenants {
		rate := t.QuotaPerS / float64(b.settings.Instances)
		b.tenants = append(b.tenants, newTokenBucket(now, rate, tenantBurstSeconds))
		b.totalQuota += rate
	}
}

// isOverQuota takes a request from the quota of its tenant at this instance and reports whether the request
// is beyond it. Callers are not evenly distributed over the instances. If an instance serves clearly more
// than an even part of all quotas, the quotas of all tenants are relaxed by the same factor, so that a tenant
// with too many requests still stands out. The quotas grow somewhat faster than the answer rate; otherwise
// half of the requests would exceed quotas that are just met. A retry always counts as beyond the quota: most
// retries follow a refusal for that reason, and would use up the quota of new requests. Only the first tier
// checks quotas.
func (b *Balancer) isOverQuota(now time.Duration, q Request) bool {
	if b.settings.Stage > 0 || q.Tenant >= len(b.tenants) || q.IsRetry {
		return b.settings.Stage == 0 && q.Tenant < len(b.tenants)
	}
	excess := 0.0
	if b.totalQuota > 0 {
		excess = max(b.answerRate.value(now, b.rateWindow)/b.totalQuota-evenShareTolerance, 0)
	}
	return !b.tenants[q.Tenant].take(now, 1/(1+quotaRelaxation*excess))
}

// capacityIsShort reports whether this instance sees a shortage of capacity: requests are queued, the limit
// on calls in flight is reached, or calls take too long. Without a shortage, no request is refused for
// exceeding a quota. A shortage lasts for a rate window after its last sign. Otherwise requests beyond quotas
// would fill each gap up to the limit and overload endpoints. It lasts shorter the more instances share the
// callers: an even part of the quotas then says less about one instance, and a limit of a few calls is often
// reached by chance.
func (b *Balancer) capacityIsShort(now time.Duration) bool {
	b.updateInFlightLimit(now)
	maxPressure := 1.0
	if b.settings.Instances > len(b.listed) {
		maxPressure = overQuotaPressure
	}
	isRecent := now-b.pressureAt <= b.rateWindow // without recent answers, the pressure is outdated
	isSlow := isRecent && b.latencyPressure > maxPressure
	if len(b.queue) > 0 || isSlow || b.countedInFlight(now)+1 > b.inFlightLimit {
		b.shortageUntil = now + b.rateWindow/time.Duration(b.settings.Instances)
		return true
	}
	return now < b.shortageUntil
}
