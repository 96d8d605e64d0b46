package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/settings"
)

// Bundle checks a bundle of the own interface. What bundle.Validate reports are errors.
func Bundle(b *bundle.Bundle) []Finding {
	f := &findings{}
	f.checkPools(b)
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		s, path := b.Services[name], "services."+name
		f.checkPrefixes(path, s.NonIdempotent)
		deadline := b.Classes[s.Class].Deadline()
		f.warn(deadline > 0 && s.Timeout() > deadline, "timeout-above-deadline", path+".timeout_ms", "the timeout of %s is above the deadline of %s of class %q, the default: a call ends at the deadline", s.Timeout(), deadline, s.Class)
	}
	for _, name := range slices.Sorted(maps.Keys(b.Teams)) {
		f.warn(len(b.Teams[name].KeyDigests) == 0, "team-without-keys", "teams."+name+".key_digests", "team %q has no key: no request can be its own", name)
	}
	for _, class := range slices.Sorted(maps.Keys(b.Classes)) {
		t, path := b.Classes[class], "classes."+string(class)
		f.checkTarget("target-above-timeout", path+".first_token_ms", t.FirstToken(), t.Deadline())
		f.checkTarget("gap-above-timeout", path+".between_tokens_ms", t.BetweenTokens(), t.Deadline())
	}
	p := b.Policy
	f.warn(p.MaxAttempts > 1 && p.RetryBudget == 0, "retries-off", "policy.retry_budget", "max_attempts is %d, but the retry budget is 0: nothing is sent again", p.MaxAttempts)
	f.warn(p.MaxAttempts == 1 && p.RetryBudget > 0, "no-retry", "policy.max_attempts", "the retry budget is %g, but only 1 attempt is allowed: a request fails with its upstream", p.RetryBudget)
	f.warn(p.UrgentHeadroom == 1, "headroom-all", "policy.urgent_headroom", "all decode slots are kept for urgent requests: drafts get at most one on each engine")
	return f.list
}

// checkPools warns of pools that nothing uses, and reports those that are used and have no upstream
// that serves.
func (f *findings) checkPools(b *bundle.Bundle) {
	usedBy, serving := map[string]string{}, map[string]bool{}
	for name, m := range b.Models {
		usedBy[m.PrefillPool], usedBy[m.DecodePool] = "model "+name, "model "+name
	}
	for name, s := range b.Services {
		usedBy[s.Pool] = "service " + name
	}
	for _, u := range b.Upstreams {
		serving[u.Pool] = serving[u.Pool] || u.State == bundle.StateServing
	}
	for _, name := range slices.Sorted(maps.Keys(b.Pools)) {
		user, used := usedBy[name]
		f.warn(!used, "pool-unused", "pools."+name, "no model and no service uses pool %q: its upstreams get no requests", name)
		f.warn(used && !serving[name], "pool-empty", "pools."+name, "no upstream of the pool is in state serving: the requests of %s are refused", user)
	}
}

// checkPrefixes warns of prefixes that a shorter one of the same list covers.
func (f *findings) checkPrefixes(path string, prefixes []string) {
	for i, prefix := range prefixes {
		for j, other := range prefixes {
			covered := strings.HasPrefix(prefix, other) && (prefix != other || j < i)
			f.warn(covered, "prefix-shadowed", fmt.Sprintf("%s.non_idempotent[%d]", path, i), "%q also covers the paths of %q: the entry has no effect", other, prefix)
		}
	}
}

// BundleSettings checks a bundle against the settings of its daemons.
func BundleSettings(b *bundle.Bundle, s *settings.Settings) []Finding {
	f := &findings{}
	check := func(path string, timeout time.Duration) {
		f.warn(timeout > s.Callers.MaxDeadline, "timeout-above-max", path, "the time of %s is above callers.max_deadline of %s, to which the daemons cut it", timeout, s.Callers.MaxDeadline)
		f.checkDrain(path, min(timeout, s.Callers.MaxDeadline), s.Drain.Timeout, "drain.timeout")
	}
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		check("services."+name+".timeout_ms", b.Services[name].Timeout())
	}
	for _, class := range slices.Sorted(maps.Keys(b.Classes)) {
		check("classes."+string(class)+".deadline_ms", b.Classes[class].Deadline())
	}
	return f.list
}
