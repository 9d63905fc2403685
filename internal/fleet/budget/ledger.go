package budget

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The reasons for which a ledger rejects a grant.
var (
	ErrInvalidGrant = errors.New("the number of shares or the version does not fit the ledger")
	ErrPoolExceeded = errors.New("the sum of the grants exceeds the pool")
)

// Grant is a granted lease. Its keys are part of the wire format and of the stored ledger.
type Grant struct {
	Holder  string    `codec:"h" json:"holder"`
	Version uint64    `codec:"v" json:"version"` // Version rises with each grant to any holder.
	Seq     uint64    `codec:"q" json:"seq"`     // Seq is the sequence number of the request that the grant answers.
	Shares  []float64 `codec:"p" json:"parts"`   // Shares holds the share of each pool, in requests per second.
}

// Command is one change of the ledger. All replicas apply the same commands in the same order. Its keys are part of the
// Raft log's format.
type Command struct {
	Grants []Grant `codec:"g,omitempty" json:"give,omitempty"`
	// Expire removes each holder's grants up to a version.
	Expire map[string]uint64 `codec:"e,omitempty" json:"expire,omitempty"`
	// Ack records that a holder spends the grant with a version, and no earlier grant.
	Ack map[string]uint64 `codec:"a,omitempty" json:"ack,omitempty"`
}

// Ledger holds the grants that may still be spent. Applying commands is deterministic and needs no clock. Its keys are
// part of the format of snapshots and of the answer of the control address.
type Ledger struct {
	Pools   []float64          `codec:"p" json:"pool"` // Pools holds each quota without the floors.
	Grants  map[string][]Grant `codec:"g" json:"grants"`
	Version uint64             `codec:"v" json:"version"` // Version is the version of the last grant.
}

// NewLedger returns a ledger without grants for the given pools.
func NewLedger(pools []float64) *Ledger { return &Ledger{Pools: pools, Grants: map[string][]Grant{}} }

// roundingSlack is the tolerance, relative and absolute, by which a sum of shares may exceed a pool because of rounding.
const roundingSlack = 1e-6

// Apply applies a command: first the expirations and acknowledgments, then the grants. It returns the grants that it added.
// It rejects a grant that would exceed a pool, whichever grantor decided it, so that the ledger itself guarantees the
// invariant. rejected is the error of the last rejected grant.
func (l *Ledger) Apply(c Command) (added []Grant, rejected error) {
	for holder, version := range c.Expire {
		l.remove(holder, func(g Grant) bool { return g.Version <= version })
	}
	for holder, version := range c.Ack {
		l.remove(holder, func(g Grant) bool { return g.Version < version })
	}
	for _, grant := range c.Grants {
		if err := l.add(grant); err != nil {
			rejected = err
			continue
		}
		added = append(added, grant)
	}
	return added, rejected
}

// add adds a grant unless it does not fit the ledger or exceeds a pool.
func (l *Ledger) add(grant Grant) error {
	if len(grant.Shares) != len(l.Pools) || grant.Version <= l.Version {
		return fmt.Errorf("budget: grant %d to %s: %w", grant.Version, grant.Holder, ErrInvalidGrant)
	}
	l.Grants[grant.Holder] = append(l.Grants[grant.Holder], grant)
	if quota := l.exceededQuota(); quota >= 0 {
		l.remove(grant.Holder, func(g Grant) bool { return g.Version == grant.Version })
		return fmt.Errorf("budget: grant %d to %s: %w of quota %d", grant.Version, grant.Holder, ErrPoolExceeded, quota)
	}
	l.Version = grant.Version
	return nil
}

// remove removes the matching grants of a holder.
func (l *Ledger) remove(holder string, matches func(Grant) bool) {
	if kept := slices.DeleteFunc(l.Grants[holder], matches); len(kept) > 0 {
		l.Grants[holder] = kept
		return
	}
	delete(l.Grants, holder)
}

// exceededQuota returns the index of a quota whose charged shares exceed its pool, or -1 if there is none.
func (l *Ledger) exceededQuota() int {
	for i, charged := range l.ChargedExcept("") {
		if charged > l.Pools[i]*(1+roundingSlack)+roundingSlack {
			return i
		}
	}
	return -1
}

// ChargedTo returns the highest share of each quota that a holder may still spend by any of its grants.
func (l *Ledger) ChargedTo(holder string) []float64 {
	highest := make([]float64, len(l.Pools))
	for _, grant := range l.Grants[holder] {
		for i, share := range grant.Shares {
			highest[i] = max(highest[i], share)
		}
	}
	return highest
}

// ChargedExcept returns, for each quota, the sum of the charged shares of all holders except one. It adds in the order of
// the holders' IDs, so that the sums are rounded alike at every replica.
func (l *Ledger) ChargedExcept(excepted string) []float64 {
	sum := make([]float64, len(l.Pools))
	for _, holder := range slices.Sorted(maps.Keys(l.Grants)) {
		if holder == excepted {
			continue
		}
		for i, charged := range l.ChargedTo(holder) {
			sum[i] += charged
		}
	}
	return sum
}

// clone returns a copy whose grants can be changed without changing this ledger.
func (l *Ledger) clone() *Ledger {
	cloned := &Ledger{Pools: l.Pools, Grants: make(map[string][]Grant, len(l.Grants)), Version: l.Version}
	for holder, grants := range l.Grants {
		cloned.Grants[holder] = slices.Clone(grants)
	}
	return cloned
}
