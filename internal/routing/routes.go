package routing

import (
	"net"
	"sort"
	"strings"

	"dykering/internal/fleetconfig"
)

// Routes is the route table of a proxy. It is immutable.
type Routes struct {
	byHost map[string][]*fleetconfig.Route // by lower-case host; the routes by falling length of the path prefix
}

// NewRoutes builds the route table of a configuration. The table keeps pointers into the configuration, which must not be
// modified afterwards.
func NewRoutes(p *fleetconfig.Config) *Routes {
	r := &Routes{byHost: map[string][]*fleetconfig.Route{}}
	for i := range p.Routes {
		route := &p.Routes[i]
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, routes := range r.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return r
}

// Match returns the route of a host and an escaped path: the route of the host with the longest matching path prefix. The host
// may have a port. Match returns false if no route matches.
func (r *Routes) Match(host, path string) (*fleetconfig.Route, bool) {
	host = strings.ToLower(host)
	routes, ok := r.byHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = r.byHost[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// SelectService selects one of a route's services by weight. The argument chance is a random number from [0, 1).
func SelectService(route *fleetconfig.Route, chance float64) string {
	shares := route.WeightedServices()
	var sum float64
	for _, share := range shares {
		sum += share.Weight
	}
	remaining := chance * sum
	for _, share := range shares {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	return shares[len(shares)-1].Service
}
