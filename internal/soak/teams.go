package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// The teams of a run with keys: one whose callers ask for many times its limit, and one
// without a limit.
const (
	hotTeam, freeTeam = "hot", "free"

	quotaRate   = 20.0 // requests a second
	quotaBurst  = 10.0
	quotaWindow = 2 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 10.0
)

// teamKey is a team's key, of which each version has one more beside the first.
func teamKey(team string, version int64) string { return fmt.Sprintf("key of %s, %d", team, version) }

// setTeams writes the teams of a version: a lasting key each, and one that goes with the next
// version.
func (r *run) setTeams(version int64) {
	if !r.o.Teams {
		return
	}
	keys := func(team string) []string { return []string{teamKey(team, 0), teamKey(team, version)} }
	r.site.SetTeams(
		site.Team{Name: hotTeam, Keys: keys(hotTeam), Rate: quotaRate, Burst: quotaBurst},
		site.Team{Name: freeTeam, Keys: keys(freeTeam)},
	)
}

// sign gives a request the key of a team, or one that no version holds, and returns the team.
func (r *run) sign(req *http.Request, rng *rand.Rand) (team string) {
	if !r.o.Teams {
		return ""
	}
	const unknownIn = 20
	team = [...]string{hotTeam, freeTeam}[rng.IntN(2)]
	key, claims := teamKey(team, 0), [...]string{"", hotTeam, freeTeam}[rng.IntN(3)]
	if rng.IntN(unknownIn) == 0 {
		team, key = "", "a key of nobody"
	}
	site.SetKey(req, key, claims)
	return team
}

// checkTeams holds what ran against the keys that callers sent and the limit.
func (r *run) checkTeams() {
	if !r.o.Teams {
		return
	}
	for _, id := range r.site.Account.Keyed() {
		r.violate("%s: its caller's key reached an upstream", id)
	}
	var hot []time.Time
	for _, a := range r.asked {
		runs := r.site.Account.Runs(a.id)
		for _, run := range runs {
			if run.Team != a.team || a.team == "" {
				r.violate("%s of team %q ran as %q", a.id, a.team, run.Team)
			}
		}
		if len(runs) > 0 && a.team == hotTeam {
			hot = append(hot, runs[0].At)
		}
		if a.status == http.StatusUnauthorized && a.team != "" {
			r.violate("%s of team %q was denied", a.id, a.team)
		}
	}
	sortTimes(hot)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaExcess) + quotaSlack
	for _, from := range hot {
		if n := within(hot, from, from.Add(quotaWindow)); float64(n) > allowed {
			r.violate("%d requests of team %s ran in %v, %.1f are allowed", n, hotTeam, quotaWindow, allowed)
			return
		}
	}
}
