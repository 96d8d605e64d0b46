package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// The teams of a run with Options.Teams: limitedTeam sends many times the requests that its
	// quota allows, unlimitedTeam has no quota.
	limitedTeam, unlimitedTeam = "hot", "free"

	// The quota of limitedTeam, and the tolerance in the daemons' settings: in any period of length
	// quotaWindow, all daemons together may admit (1 + quotaExcess) times the requests that
	// quotaRate and quotaBurst allow, plus quotaSlack requests.
	quotaRate   = 20.0 // requests per second
	quotaBurst  = 10.0
	quotaWindow = 2 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 10.0
)

// teamKey returns the key that a version of the configuration adds for a team. The key of
// version 0 is valid in all versions.
func teamKey(team string, version int64) string { return fmt.Sprintf("key of %s, %d", team, version) }

// setTeams sets the teams for the next version of the configuration. Each team has a permanent
// key, and a key that is valid in this version only.
func (r *run) setTeams(version int64) {
	if !r.options.Teams {
		return
	}
	keys := func(team string) []string { return []string{teamKey(team, 0), teamKey(team, version)} }
	r.site.SetTeams(
		site.Team{Name: limitedTeam, Keys: keys(limitedTeam), Rate: quotaRate, Burst: quotaBurst},
		site.Team{Name: unlimitedTeam, Keys: keys(unlimitedTeam)},
	)
}

// setTeamKey adds the key of a random team to a request and returns the team. For one request in
// unknownKeyOdds, it adds an unknown key instead and returns an empty team. It may also name a
// random team in a header, which daemons must ignore.
func (r *run) setTeamKey(req *http.Request, rng *rand.Rand) (team string) {
	if !r.options.Teams {
		return ""
	}
	const unknownKeyOdds = 20
	team = [...]string{limitedTeam, unlimitedTeam}[rng.IntN(2)]
	key, claimedTeam := teamKey(team, 0), [...]string{"", limitedTeam, unlimitedTeam}[rng.IntN(3)]
	if rng.IntN(unknownKeyOdds) == 0 {
		team, key = "", "a key of nobody"
	}
	site.SetKey(req, key, claimedTeam)
	return team
}

// checkTeams checks that each request ran as the team of its key, that no key reached an
// upstream, that valid keys were accepted, and that limitedTeam did not exceed its quota.
func (r *run) checkTeams() {
	if !r.options.Teams {
		return
	}
	for _, id := range r.site.Account.RequestsWithKey() {
		r.addViolation("%s: its caller's key reached an upstream", id)
	}
	var limitedRuns []time.Time
	for _, sent := range r.requests {
		runs := r.site.Account.Executions(sent.id)
		for _, run := range runs {
			if run.Team != sent.team || sent.team == "" {
				r.addViolation("%s of team %q ran as %q", sent.id, sent.team, run.Team)
			}
		}
		if len(runs) > 0 && sent.team == limitedTeam {
			limitedRuns = append(limitedRuns, runs[0].At)
		}
		if sent.status == http.StatusUnauthorized && sent.team != "" {
			r.addViolation("%s of team %q was denied", sent.id, sent.team)
		}
	}
	sortTimes(limitedRuns)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaExcess) + quotaSlack
	for _, from := range limitedRuns {
		if n := countBetween(limitedRuns, from, from.Add(quotaWindow)); float64(n) > allowed {
			r.addViolation("%d requests of team %s ran in %v, %.1f are allowed", n, limitedTeam, quotaWindow, allowed)
			return
		}
	}
}
