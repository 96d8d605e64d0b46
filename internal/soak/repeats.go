package soak

import (
	"sort"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// The retry budget of a service, as in the daemons' settings: in any period of length retryWindow,
// all daemons together may send at most retryRatio retries per received request, plus retrySlack
// retries.
const (
	retryRatio  = 0.2
	retrySlack  = 10.0
	retryWindow = 2 * time.Second
)

// serviceOf returns the service to which the route of a path leads.
func serviceOf(path string) string {
	if path == site.PathDraft || path == site.PathLetter {
		return site.EngineSet
	}
	return site.PlainSet
}

// checkRetryBudget checks that upstreams received no more retries than allowed, in each window
// that begins with a retry. Each arrival of a request at an upstream except the first is a retry.
// The limit follows from the largest number of requests in three windows: the same window, and
// that window shifted back by half and by all of its length.
func (r *run) checkRetryBudget() {
	requests, retries := map[string][]time.Time{}, map[string][]time.Time{}
	for _, sent := range r.requests {
		requests[serviceOf(sent.path)] = append(requests[serviceOf(sent.path)], sent.sentAt)
	}
	for _, p := range r.site.Account.Repeats() {
		retries[p.Service] = append(retries[p.Service], p.At)
	}
	for service, list := range retries {
		sortTimes(list)
		sortTimes(requests[service])
		for _, from := range list {
			requestCount := 0
			for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
				requestCount = max(requestCount, countBetween(requests[service], from.Add(-shift), from.Add(retryWindow-shift)))
			}
			n, allowed := countBetween(list, from, from.Add(retryWindow)), retryRatio*float64(requestCount)+retrySlack
			if float64(n) > allowed {
				r.addViolation("%s got %d repeats in %v, %.1f are allowed for %d requests", service, n, retryWindow, allowed, requestCount)
				break
			}
		}
	}
}

// sortTimes sorts list in place, from the earliest time to the latest.
func sortTimes(list []time.Time) {
	sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
}

// countBetween returns how many times of the sorted list are in [from, until).
func countBetween(list []time.Time, from, until time.Time) int {
	after := func(at time.Time) int {
		return sort.Search(len(list), func(i int) bool { return !list[i].Before(at) })
	}
	return after(until) - after(from)
}
