package fleet

import (
	"slices"
	"strings"
)

// Table finds routes. It is immutable.
type Table struct {
	byHost map[string][]Route
}

// NewTable returns the table of routes.
func NewTable(routes []Route) *Table {
	t := &Table{byHost: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a host whose prefix is the longest that begins the
// path. The host may carry a port.
func (t *Table) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Pick returns the service for one request; draw is uniform from 0 to 1. Services
// without a weight get nothing unless no service has one.
func (r Route) Pick(draw float64) string {
	if len(r.Targets) == 0 {
		return ""
	}
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	at := draw * total
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}
