package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/settings"
)

const (
	// maxPriority is the least urgent priority of the platform's configuration.
	maxPriority = 9
	// minBodyBytes is the smallest body limit that makes sense. It is the lower bound of
	// callers.max_body_bytes in the settings of the own interface.
	minBodyBytes = 1024
)

// Fleet checks a configuration of the users' platform.
func Fleet(c *fleet.Config) []Finding {
	f := &findings{}
	_, err := fleet.NewRegistry("check", "check", 0).SetConfig(c)
	f.fail(err != nil, "refused", "Teams", "the daemons refuse the configuration and keep the previous one: %v", err)
	f.warn(c.Version == 0, "version-missing", "Version", "the version is missing or 0: daemons that have any version in force ignore this one")
	f.warn(len(c.Routes) == 0, "no-routes", "Routes", "there are no routes: every request is answered with 404")
	used := map[string]bool{}
	names, places := map[string]int{}, map[string]int{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("Routes[%d]", i)
		f.checkMatch(path, r, i, names, places)
		f.checkTargets(path, r, c.Services, used)
		f.checkTimes(path, r)
		f.checkAttempts(path, r)
		f.checkPriority(path, r.Priority)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		f.warn(!used[name], "service-unused", "Services["+name+"]", "no route sends requests to service %q: its upstreams get none", name)
	}
	f.checkTeams(c)
	f.checkLimits(c.Limits)
	return f.list
}

// checkMatch checks whether requests can match the route. names and places hold the indexes of
// the earlier routes by name, and by host and prefix.
func (f *findings) checkMatch(path string, r fleet.Route, i int, names, places map[string]int) {
	place := strings.ToLower(r.Host) + " " + r.Prefix
	earlier, taken := places[place]
	if !taken {
		places[place] = i
	}
	f.warn(taken, "route-shadowed", path+".Prefix", "the route at index %d has the same host and prefix and precedes it: route %q gets no requests", earlier, r.Name)
	earlier, taken = names[r.Name]
	names[r.Name] = i
	f.warn(taken, "route-name-twice", path+".Name", "the route at index %d is also named %q: the targets and the priority of the last one apply to both", earlier, r.Name)
	f.fail(r.Host == "" || strings.Contains(r.Host, ":"), "route-never-matches", path+".Host", "host %q is empty or has a port, which is removed from the host of a request before the comparison: no request matches", r.Host)
	rooted := strings.HasPrefix(r.Prefix, "/")
	f.fail(r.Prefix != "" && !rooted, "route-never-matches", path+".Prefix", "prefix %q does not begin with a slash, as every path does: no request matches", r.Prefix)
	f.warn(r.Prefix == "" || rooted && !strings.HasSuffix(r.Prefix, "/"), "prefix-open", path+".Prefix", "prefix %q does not end with a slash: paths that continue its last segment match too", r.Prefix)
}

// checkTargets checks the services of a route and marks in used those that it sends requests to.
func (f *findings) checkTargets(path string, r fleet.Route, services map[string]fleet.Service, used map[string]bool) {
	none := !slices.ContainsFunc(r.Targets, func(t fleet.Target) bool { return t.Weight > 0 })
	f.warn(none, "split-without-weight", path+".Targets", "no service has a positive weight: %q gets all requests", r.SelectService(0))
	for i, t := range r.Targets {
		at := fmt.Sprintf("%s.Targets[%d]", path, i)
		if len(r.Targets) == 1 {
			at = path + ".Service"
		}
		gets := t.Weight > 0 || none && i == 0
		f.warn(!gets, "weight-zero", at, "the weight of service %q is %g: the route sends it no requests", t.Service, t.Weight)
		_, known := services[t.Service]
		f.fail(!known, "service-unknown", at, "service %q does not exist: requests that the route sends to it fail", t.Service)
		used[t.Service] = used[t.Service] || gets
	}
}

func (f *findings) checkTimes(path string, r fleet.Route) {
	f.warn(r.Timeout <= 0, "timeout-missing", path+".Timeout", "the timeout is %s: requests without a deadline of their own are refused", r.Timeout)
	f.checkTarget("target-above-timeout", path+".FirstTarget", r.FirstTarget, r.Timeout)
	f.checkTarget("gap-above-timeout", path+".GapTarget", r.GapTarget, r.Timeout)
}

func (f *findings) checkAttempts(path string, r fleet.Route) {
	again := r.Kind == fleet.Idempotent || r.Kind == fleet.Stream && r.Resumable
	f.warn(again && r.MaxSends < 2, "no-retry", path+".MaxSends", "the requests may be sent again, but only 1 attempt is allowed: a request fails with its upstream")
	f.warn(r.Kind == fleet.Once && r.MaxSends > 1, "attempts-unused", path+".MaxSends", "%d attempts are allowed for requests that run at most once: the daemons send no second one unless the first was rejected unexecuted", r.MaxSends)
	f.warn(r.Kind != fleet.Stream && r.Resumable, "resumable-unused", path+".Resumable", "only streams can be resumed: the field has no effect")
}

func (f *findings) checkPriority(path string, priority int) {
	f.warn(priority < 0 || priority > maxPriority, "priority-range", path+".Priority", "priority %d is not from 0 to %d, the range of the platform: how engines order its requests is not defined", priority, maxPriority)
}

func (f *findings) checkTeams(c *fleet.Config) {
	keys := 0
	for i, t := range c.Teams {
		path := fmt.Sprintf("Teams[%d]", i)
		keys += len(t.Keys)
		f.warn(len(t.Keys) == 0, "team-without-keys", path+".Keys", "team %q has no key: no request can be its own", t.Name)
		if t.Priority != nil {
			f.checkPriority(path, *t.Priority)
		}
		f.warn(t.Limit.Rate == 0, "rate-zero", path+".Rate", "the rate is 0, which means no limit: team %q may use all capacity, and its burst has no effect", t.Name)
		needed := 1.0
		if t.Tokens {
			needed = float64(t.PlainTokens)
		}
		f.warn(t.Limit.Rate > 0 && t.Limit.Burst < needed, "burst-too-small", path+".Burst", "the burst of %g is less than the %g units of a request without a token count: such a request can be refused although team %q has sent nothing", t.Limit.Burst, needed, t.Name)
		f.warn(t.Tokens && t.PlainTokens == 0, "plain-tokens-zero", path+".PlainTokens", "requests without a token count cost nothing: the limit of team %q does not bound them", t.Name)
	}
	if len(c.Teams) == 0 || keys > 0 {
		return
	}
	for i, r := range c.Routes {
		f.fail(!r.Public, "route-without-keys", fmt.Sprintf("Routes[%d].Public", i), "route %q needs a key and no team has one: all its requests are refused", r.Name)
	}
}

func (f *findings) checkLimits(l fleet.CallerLimits) {
	f.warn(l.MaxBodyBytes <= 0, "body-limit-missing", "Limits.MaxBodyBytes", "there is no body limit: the daemons' own bound applies")
	f.warn(l.MaxBodyBytes > 0 && l.MaxBodyBytes < minBodyBytes, "body-limit-small", "Limits.MaxBodyBytes", "the limit of %d bytes is below %d: ordinary requests are refused", l.MaxBodyBytes, minBodyBytes)
	f.warn(l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout, "idle-below-header", "Limits.IdleTimeout", "the idle timeout of %s is below the header timeout of %s: a connection may be closed while its next request arrives", l.IdleTimeout, l.HeaderTimeout)
}

// FleetSettings checks a configuration of the users' platform against the settings of its daemons.
func FleetSettings(c *fleet.Config, s *settings.Attached) []Finding {
	f := &findings{}
	serving := s.Drain.Grace - s.Drain.Notice
	f.fail(serving <= 0, "notice-above-grace", "drain.notice", "the notice of %s leaves nothing of the grace period of %s: a draining daemon is killed while it still takes requests", s.Drain.Notice, s.Drain.Grace)
	const megabyte = 1 << 20
	memory := int64(s.Limits.MemoryMB) * megabyte
	f.warn(c.Limits.MaxBodyBytes >= memory, "body-above-memory", "Limits.MaxBodyBytes", "the limit of %d bytes is not below the daemons' memory of %d (limits.memory_mb): the body of one request can exhaust it", c.Limits.MaxBodyBytes, memory)
	for i, r := range c.Routes {
		path := fmt.Sprintf("Routes[%d]", i)
		f.checkDrain(path+".Timeout", r.Timeout, s.Drain.Grace, "drain.grace")
		f.warn(r.MaxSends > 1 && r.Kind != fleet.Once && s.Retries.Ratio == 0 && s.Retries.Slack == 0, "retries-off", path+".MaxSends", "%d attempts are allowed, but the retry budget of the settings (retries.ratio, retries.slack) is 0: nothing is sent again", r.MaxSends)
	}
	return f.list
}

// checkDrain warns of requests that may last longer than a drain.
func (f *findings) checkDrain(path string, timeout, limit time.Duration, key string) {
	f.warn(timeout > limit, "timeout-above-drain", path, "the timeout of %s is above %s of %s: a daemon that drains may end before its requests do", timeout, key, limit)
}
