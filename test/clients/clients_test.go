package clients

import (
	"net/http"
	"slices"
	"testing"
)

// Guards against an attached daemon that runs out of memory or descriptors, or serves nobody else, under
// requests that callers, load balancers or scrapers begin and do not end, or that exhaust the limits.
func TestAttached(t *testing.T) {
	testCrowds(t, startAttached, target{"route", callers, http.MethodPost, "/slot/x"}, httpCrowds)
	testCrowds(t, startAttached, target{"stream", callers, http.MethodPost, "/draft/x"}, choose(
		"body stops short", "legal short fields without body", "prompt of many parts", "requests sent ahead", "answers not read"))
	testCrowds(t, startAttached, target{"no route", callers, http.MethodPost, "/nowhere/x"}, choose(brief...))
	testCrowds(t, startAttached, target{"ready", ready, http.MethodGet, "/corianderturn/readiness"}, httpCrowds)
	testCrowds(t, startAttached, target{"ready no route", ready, http.MethodPost, "/nowhere/x"}, choose(brief...))
	testCrowds(t, startAttached, target{"metrics", metrics, http.MethodGet, "/metrics"}, choose(brief...))
	testCrowds(t, startAttached, target{name: "daemons", listener: daemons}, frameCrowds)
	testCrowds(t, startAttached, target{"every listener", everyListener, http.MethodPost, "/nowhere/x"}, choose("silent", "head stops short"))
}

// Guards against the same of a daemon with its own interface, also under JSON of very many members.
func TestOwn(t *testing.T) {
	testCrowds(t, startOwn, target{"service", callers, http.MethodPost, "/services/status/x"}, httpCrowds)
	testCrowds(t, startOwn, target{"no route", callers, http.MethodPost, "/nowhere/x"}, choose(brief...))
	testCrowds(t, startOwn, target{"readyz", callers, http.MethodGet, "/readyz"}, choose(brief...))
	testCrowds(t, startOwn, target{"admin", admin, http.MethodGet, "/nowhere"}, choose(brief...))
	testCrowds(t, startOwn, target{"chat", callers, http.MethodPost, "/v1/chat/completions"}, jsonCrowds)
	testCrowds(t, startOwn, target{name: "daemons", listener: daemons}, frameCrowds)
	testCrowds(t, startOwn, target{"every listener", everyListener, http.MethodPost, "/nowhere/x"}, choose("silent", "head stops short"))
}

// brief names one crowd of each kind.
var brief = []string{
	"body stops short", "small body stops short", "chunked body stops short", "body far over the limit", "chunked body far over the limit",
	"short fields without body", "legal short fields sent ahead", "requests sent ahead", "slow head", "head stops short",
	"chunks of one byte stop short", "slow body", "answers not read",
}

// choose returns the crowds with these names.
func choose(names ...string) []crowd {
	return slices.DeleteFunc(slices.Clone(httpCrowds), func(c crowd) bool { return !slices.Contains(names, c.name) })
}

func testCrowds(t *testing.T, start func(t *testing.T) *process, to target, crowds []crowd) {
	for _, c := range crowds {
		t.Run(to.name+"/"+c.name, func(t *testing.T) { c.test(t, start, to) })
	}
}
