package routing

import (
	"net"
	"sort"
	"strings"

	"dykering/internal/fleetconfig"
)

// Routes finds the route of a request. It is immutable.
type Routes struct {
	byHost map[string][]*fleetconfig.Route // longest prefix first
}

// NewRoutes builds the route table of a configuration. It keeps pointers into the configuration.
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

// Match finds the route of a host, with or without a port, and an escaped path: of the host's routes the one with the longest
// prefix of the path.
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

// SelectService selects one of a route's services by weight; chance is drawn from [0, 1).
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
