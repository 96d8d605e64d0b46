package soak

import (
	"sort"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// What all daemons together may send again to one service.
const (
	retryRatio  = 0.2
	retrySlack  = 10.0
	retryWindow = 2 * time.Second
)

// serviceOf tells the service of a path's route.
func serviceOf(path string) string {
	if path == site.PathDraft || path == site.PathOnce {
		return site.EngineSet
	}
	return site.PlainSet
}

// checkRepeats holds what upstreams saw against the bound, in each window that begins with
// an arrival beyond the first of its request. The requests count in the window, in the one
// before it or in the one half a window before it, whichever has most.
func (r *run) checkRepeats() {
	requests, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	for _, a := range r.asked {
		requests[serviceOf(a.path)] = append(requests[serviceOf(a.path)], a.at)
	}
	for _, p := range r.site.Account.Repeats() {
		repeats[p.Service] = append(repeats[p.Service], p.At)
	}
	for service, list := range repeats {
		sortTimes(list)
		sortTimes(requests[service])
		for _, from := range list {
			most := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				most = max(most, within(requests[service], from.Add(-back), from.Add(retryWindow-back)))
			}
			n, allowed := within(list, from, from.Add(retryWindow)), retryRatio*float64(most)+retrySlack
			if float64(n) > allowed {
				r.violate("%s got %d repeats in %v, %.1f are allowed for %d requests", service, n, retryWindow, allowed, most)
				break
			}
		}
	}
}

func sortTimes(list []time.Time) {
	sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
}

// within counts the times in a span; list is in order.
func within(list []time.Time, from, until time.Time) int {
	after := func(at time.Time) int {
		return sort.Search(len(list), func(i int) bool { return !list[i].Before(at) })
	}
	return after(until) - after(from)
}
