package fleet

import (
	"slices"
	"strings"
)

// RouteTable looks up routes by host and path. It is immutable.
type RouteTable struct {
	byHost map[string][]Route
}

// NewRouteTable returns a table of the given routes.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{byHost: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a host whose prefix is the longest that matches the path. The
// port of the host, if any, is ignored.
func (t *RouteTable) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// SelectService selects the service for one request at random by weight; draw is the random
// number, uniform in [0, 1). Services without a positive weight get no requests. If no
// service has a positive weight, the first one gets them all.
func (r Route) SelectService(draw float64) string {
	if len(r.Targets) == 0 {
		return ""
	}
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := draw * total
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return r.Targets[0].Service
}
