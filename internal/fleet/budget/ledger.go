package budget

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Why a ledger rejects a grant.
var (
	ErrForeignGrant = errors.New("of another ledger")
	ErrPoolExceeded = errors.New("passes the pool")
)

// Grant is a lease. Its keys are on the wire and in the ledger.
type Grant struct {
	Holder  string    `codec:"h" json:"holder"`
	Version uint64    `codec:"v" json:"version"` // Version rises over all grants.
	Seq     uint64    `codec:"q" json:"seq"`     // Seq is that of the holder's request which the grant answers.
	Shares  []float64 `codec:"p" json:"parts"`   // Parts are the shares of the quotas, in requests per second, in the quotas' order.
}

// Command is one change of the ledger. All replicas apply the same commands in the same order. Its keys are in the log.
type Command struct {
	Grants []Grant           `codec:"g,omitempty" json:"give,omitempty"`
	Expire map[string]uint64 `codec:"e,omitempty" json:"expire,omitempty"` // Expire ends a holder's grants up to a version.
	Ack    map[string]uint64 `codec:"a,omitempty" json:"ack,omitempty"`    // Ack says that a holder spends by a version, and by none before.
}

// Ledger holds the grants that may still be spent. Applying commands is deterministic and needs no clock. Its keys are
// in snapshots and in the answer of the control address.
type Ledger struct {
	Pools   []float64          `codec:"p" json:"pool"` // Pool has the quotas less their floors.
	Grants  map[string][]Grant `codec:"g" json:"grants"`
	Version uint64             `codec:"v" json:"version"` // Version is that of the last grant.
}

// NewLedger returns a ledger without grants.
func NewLedger(pool []float64) *Ledger { return &Ledger{Pools: pool, Grants: map[string][]Grant{}} }

// roundingSlack is by how much sums of shares may exceed a pool, relative and absolute.
const roundingSlack = 1e-6

// Apply applies a command: first what has ended or was acknowledged, then the grants. A grant that would exceed the pool
// is left out, whoever decided it, as the ledger is the last guard of the invariant; the error is that of the last one.
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

// add adds a grant unless it is of another ledger or exceeds the pool.
func (l *Ledger) add(grant Grant) error {
	if len(grant.Shares) != len(l.Pools) || grant.Version <= l.Version {
		return fmt.Errorf("budget: grant %d to %s: %w", grant.Version, grant.Holder, ErrForeignGrant)
	}
	l.Grants[grant.Holder] = append(l.Grants[grant.Holder], grant)
	if quota := l.exceededQuota(); quota >= 0 {
		l.remove(grant.Holder, func(g Grant) bool { return g.Version == grant.Version })
		return fmt.Errorf("budget: grant %d to %s %w of whole %d", grant.Version, grant.Holder, ErrPoolExceeded, quota)
	}
	l.Version = grant.Version
	return nil
}

// remove removes grants of a holder.
func (l *Ledger) remove(holder string, matches func(Grant) bool) {
	if kept := slices.DeleteFunc(l.Grants[holder], matches); len(kept) > 0 {
		l.Grants[holder] = kept
		return
	}
	delete(l.Grants, holder)
}

// exceededQuota returns a quota of which more is charged than its pool, or -1.
func (l *Ledger) exceededQuota() int {
	for i, charged := range l.ChargedExcept("") {
		if charged > l.Pools[i]*(1+roundingSlack)+roundingSlack {
			return i
		}
	}
	return -1
}

// ChargedTo returns what a holder may still spend by any of its grants, of each quota.
func (l *Ledger) ChargedTo(holder string) []float64 {
	highest := make([]float64, len(l.Pools))
	for _, grant := range l.Grants[holder] {
		for i, part := range grant.Shares {
			highest[i] = max(highest[i], part)
		}
	}
	return highest
}

// ChargedExcept returns the sum of what all holders except one may still spend, of each quota. It sums in the order of
// the holders' IDs, so that the rounding of the sums is the same at every replica.
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

// clone returns a ledger that can be changed without changing this one.
func (l *Ledger) clone() *Ledger {
	cloned := &Ledger{Pools: l.Pools, Grants: make(map[string][]Grant, len(l.Grants)), Version: l.Version}
	for holder, grants := range l.Grants {
		cloned.Grants[holder] = slices.Clone(grants)
	}
	return cloned
}
