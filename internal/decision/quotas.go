package decision

import (
	"math"
	"time"
)

// Usage counts the requests of one tenant since the start.
type Usage struct {
	Asked       float64 // requests that are no retries
	WithinQuota float64 // of them, those within its quota at this instance
}

// Usage returns the usage of each tenant, in the order of Settings.Tenants; it is empty before the first
// list.
func (b *Balancer) Usage() []Usage {
	usage := make([]Usage, len(b.tenants))
	for i := range b.tenants {
		usage[i] = b.tenants[i].usage
	}
	return usage
}

// QuotaShares are this instance's parts of the fleet's quotas, as rates a second: one set until a time and
// the fallback from then on (docs/BUDGETS.md).
type QuotaShares struct {
	TenantRates         []float64     // in the order of Settings.Tenants
	TenantFallbackRates []float64     // from Until on
	RetryRate           float64       // further attempts; negative leaves the retry budget to answered calls
	RetryFallbackRate   float64       // from Until on
	Until               time.Duration // 0 for no end
}

// SetQuotaShares sets the rate of each tenant's quota at this instance, in place of an even part of the
// tenant's quota. Quotas then no longer grow with what is served here, as the shares of all instances add
// up. The end of the rates takes effect by itself, however late the next shares come.
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
	// The bucket continues with what is left of the retry budget.
	b.fleetRetries.level = b.retryTokens
	b.fleetRetries.setRate(now, shares.RetryRate, shares.RetryFallbackRate, shares.Until, 1)
	b.retryTokens = max(b.fleetRetries.level, 0)
}

// startTenantBuckets makes the token buckets of the tenants, each with an even part of the quota.
func (b *Balancer) startTenantBuckets(now time.Duration) {
	for _, t := range b.settings.Tenants {
		rate := t.QuotaPerS / float64(b.settings.Instances)
		b.tenants = append(b.tenants, newTokenBucket(now, rate, tenantBurstSeconds))
		b.totalQuota += rate
	}
}

// isOverQuota meters a tenant's request against its quota at this instance. Callers come unevenly, so where
// an instance serves clearly more than an even part of all quotas, each tenant's grows alike, and one that
// floods still stands out. Quotas grow somewhat faster than what is served: else half of the requests would
// be beyond quotas that are just met. A retry counts as beyond its quota: most retries are of requests that
// were refused for that, and would use up the quota of new ones. Only the first tier meters.
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

// capacityIsShort reports whether capacity is short, as far as this instance sees: requests wait, the limit
// on calls in flight is reached, or calls take too long. While it is not, no request is refused for being
// beyond its quota. A shortage counts for a rate window: without that, requests beyond quotas fill each gap
// up to the limit, and endpoints are pushed over. It counts for less the more instances share the callers,
// as there an even part of the quotas says less, and a limit of a few calls is reached by chance.
func (b *Balancer) capacityIsShort(now time.Duration) bool {
	b.updateInFlightLimit(now)
	maxPressure := 1.0
	if b.settings.Instances > len(b.listed) {
		maxPressure = overQuotaPressure
	}
	isRecent := now-b.pressureAt <= b.rateWindow // without answers the pressure is of the past
	isSlow := isRecent && b.latencyPressure > maxPressure
	if len(b.queue) > 0 || isSlow || b.countedInFlight(now)+1 > b.inFlightLimit {
		b.shortageUntil = now + b.rateWindow/time.Duration(b.settings.Instances)
		return true
	}
	return now < b.shortageUntil
}
