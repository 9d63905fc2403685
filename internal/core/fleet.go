package core

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykering/internal/decision"
)

// Evidence is what this process's own calls have shown of a server, under a name that all brokers of a fleet share.
type Evidence struct {
	Server  string // its uid and start: one that has restarted is another
	Ejected bool   // it is isolated; otherwise it answered well
	Age     time.Duration
}

// serverName is what brokers call an endpoint among themselves.
func serverName(e *Endpoint) string { return e.uid + "@" + strconv.FormatInt(e.bootMS, 10) }

// Evidence is what this process has found out itself, with the servers named that it was answered by lately, and how
// many are listed.
func (l *Loop) Evidence(ctx context.Context, named []string) (all []Evidence, listed int, err error) {
	type answer struct {
		all    []Evidence
		listed int
	}
	a, err := ask(ctx, l, func() (a answer) {
		a.listed = len(l.endpoints.byID)
		for _, e := range l.balancer.Evidence(l.now(), l.listedIDs(named)) {
			if x := l.endpoints.byID[e.Endpoint]; x != nil {
				a.all = append(a.all, Evidence{serverName(x), e.Ejected, e.Age})
			}
		}
		return a
	})
	return a.all, a.listed, err
}

// Advise hands the Balancer the servers that are bad by the word of other brokers, and tells how much of it changed anything.
func (l *Loop) ApplyPeerEjections(ctx context.Context, advice []Evidence) (heeded int, err error) {
	return ask(ctx, l, func() int {
		var told []decision.PeerEjection
		for _, a := range advice {
			for _, id := range l.listedIDs([]string{a.Server}) {
				told = append(told, decision.PeerEjection{Endpoint: id, Age: a.Age})
			}
		}
		return l.balancer.ApplyPeerEjections(l.now(), told)
	})
}

// known are the ids of the servers named that are listed, as they were started.
func (l *Loop) listedIDs(named []string) (ids []decision.EndpointID) {
	for _, name := range named {
		at := strings.LastIndexByte(name, '@')
		if at < 0 {
			continue
		}
		if e := l.endpoints.byID[l.endpoints.ids[name[:at]]]; e != nil && serverName(e) == name {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Use is what came of one tenant's requests since the start.
type Usage = decision.Usage

// Uses tell what came of each tenant, in the settings' order; of none before the first list.
func (l *Loop) Usage(ctx context.Context) ([]Usage, error) {
	return ask(ctx, l, func() []Usage { return l.balancer.Usage() })
}

// Allot sets what may be spent a second at this process until a time, the zero time for no end; Until is set from it.
func (l *Loop) SetQuotaShares(a decision.QuotaShares, until time.Time) {
	a.TenantRates, a.TenantFallbackRates = slices.Clone(a.TenantRates), slices.Clone(a.TenantFallbackRates)
	if !until.IsZero() {
		a.Until = until.Sub(l.origin)
	}
	l.Post(func() { l.balancer.SetQuotaShares(l.now(), a) })
}
