package core

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykering/internal/decision"
)

// Evidence is the health of a server as observed by the calls of this process. Sidecars of a fleet exchange it.
type Evidence struct {
	Server  string        // uid and start time, so that a restarted server has a new name; the same at all sidecars
	Ejected bool          // the server is ejected; otherwise it has answered successfully
	Age     time.Duration // time since the observation
}

// Usage counts the requests of one tenant since the start of the process.
type Usage = decision.Usage

// serverName returns the name that sidecars use for the process of an endpoint.
func serverName(e *Endpoint) string { return e.uid + "@" + strconv.FormatInt(e.bootMS, 10) }

// Evidence returns the observations of this process: the servers that it has ejected and, among the named servers, those
// that have recently answered its calls successfully. Listed is the number of listed endpoints. The error is that of the
// context, or errLoopClosed.
func (l *Loop) Evidence(ctx context.Context, names []string) (observations []Evidence, listed int, err error) {
	type answer struct {
		observations []Evidence
		listed       int
	}
	a, err := queryContext(ctx, l, func() (a answer) {
		a.listed = len(l.endpoints.byID)
		for _, e := range l.balancer.Evidence(l.now(), l.listedIDs(names)) {
			if endpoint := l.endpoints.byID[e.Endpoint]; endpoint != nil {
				a.observations = append(a.observations, Evidence{Server: serverName(endpoint), Ejected: e.Ejected, Age: e.Age})
			}
		}
		return a
	})
	return a.observations, a.listed, err
}

// ApplyPeerEjections passes the ejections that other sidecars report to the Balancer. It returns the number of servers that
// the Balancer ejected. The error is that of the context, or errLoopClosed.
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

// listedIDs returns the IDs of the named servers that are listed with the start time in the name.
func (l *Loop) listedIDs(names []string) (ids []decision.EndpointID) {
	for _, name := range names {
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

// Usage returns the usage of each tenant, in the order of the settings. It is empty before the first list. The error is
// that of the context, or errLoopClosed.
func (l *Loop) Usage(ctx context.Context) ([]Usage, error) {
	return queryContext(ctx, l, func() []Usage { return l.balancer.Usage() })
}

// SetQuotaShares sets the shares of the fleet's quotas that this process may use until the given time. The zero time means
// no expiry. SetQuotaShares overwrites shares.Until unless the time is zero.
func (l *Loop) SetQuotaShares(shares decision.QuotaShares, until time.Time) {
	shares.TenantRates = slices.Clone(shares.TenantRates)
	shares.TenantFallbackRates = slices.Clone(shares.TenantFallbackRates)
	if !until.IsZero() {
		shares.Until = until.Sub(l.origin)
	}
	l.Post(func() { l.balancer.SetQuotaShares(l.now(), shares) })
}
