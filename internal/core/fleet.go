package core

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykering/internal/decision"
)

// Evidence is what this process's own calls have shown of a server, under a name that is the same at all sidecars of a
// fleet.
type Evidence struct {
	Server  string // uid and start: a server that has restarted is another one
	Ejected bool   // it is ejected; else it has answered well
	Age     time.Duration
}

// Usage counts the requests of one tenant since the start.
type Usage = decision.Usage

// serverName is the name of an endpoint's process among sidecars.
func serverName(e *Endpoint) string { return e.uid + "@" + strconv.FormatInt(e.bootMS, 10) }

// Evidence returns what this process's own calls have shown: the servers that it has ejected and, of those named, the
// ones that have answered it lately; and how many endpoints are listed. It fails with the context's error or once the
// loop has ended.
func (l *Loop) Evidence(ctx context.Context, named []string) (all []Evidence, listed int, err error) {
	type answer struct {
		all    []Evidence
		listed int
	}
	a, err := queryContext(ctx, l, func() (a answer) {
		a.listed = len(l.endpoints.byID)
		for _, e := range l.balancer.Evidence(l.now(), l.listedIDs(named)) {
			if endpoint := l.endpoints.byID[e.Endpoint]; endpoint != nil {
				a.all = append(a.all, Evidence{Server: serverName(endpoint), Ejected: e.Ejected, Age: e.Age})
			}
		}
		return a
	})
	return a.all, a.listed, err
}

// ApplyPeerEjections hands the Balancer the servers that are bad by the evidence of other sidecars, and returns how many
// it has ejected. It fails as Evidence does.
func (l *Loop) ApplyPeerEjections(ctx context.Context, evidence []Evidence) (ejected int, err error) {
	return queryContext(ctx, l, func() int {
		var ejections []decision.PeerEjection
		for _, e := range evidence {
			for _, id := range l.listedIDs([]string{e.Server}) {
				ejections = append(ejections, decision.PeerEjection{Endpoint: id, Age: e.Age})
			}
		}
		return l.balancer.ApplyPeerEjections(l.now(), ejections)
	})
}

// listedIDs are the ids of the named servers that are listed, with the start that the name has.
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

// Usage returns the usage of each tenant, in the order of the settings; it is empty before the first list. It fails as
// Evidence does.
func (l *Loop) Usage(ctx context.Context) ([]Usage, error) {
	return queryContext(ctx, l, func() []Usage { return l.balancer.Usage() })
}

// SetQuotaShares sets this process's parts of the fleet's quotas until a time; the zero time is for no end. It sets
// Until from that time.
func (l *Loop) SetQuotaShares(shares decision.QuotaShares, until time.Time) {
	shares.TenantRates = slices.Clone(shares.TenantRates)
	shares.TenantFallbackRates = slices.Clone(shares.TenantFallbackRates)
	if !until.IsZero() {
		shares.Until = until.Sub(l.origin)
	}
	l.Post(func() { l.balancer.SetQuotaShares(l.now(), shares) })
}
