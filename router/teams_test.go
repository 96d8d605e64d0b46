package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

// Guards against API keys that are forwarded to upstreams, callers that choose their team's
// name themselves, requests that run without a valid key, and keys that are still accepted
// after a configuration version has removed them.
func TestAttachedTeams(t *testing.T) {
	f := newAttachedFleet(t, nil)
	f.site.SetTeams(site.Team{Name: "red", Keys: []string{"r1", "r2"}}, site.Team{Name: "blue", Keys: []string{"b"}})
	f.site.Configure(2)
	status := func(path, id string, header ...string) int { return f.ask(t.Context(), path, id, header...).status }
	waittest.Until(t, "keys are required", func() bool { return status(site.PathLookUp, "probe") == http.StatusUnauthorized })
	for _, path := range []string{site.PathDraft, site.PathLookUp} {
		id := "red" + path
		if got := status(path, id, "Authorization", "Bearer r2", "Tenant-Name", "blue"); got != http.StatusOK {
			t.Errorf("%s: %d", id, got)
		}
		for _, run := range f.site.Account.Executions(id) {
			if run.Team != "red" {
				t.Errorf("%s ran as %q", id, run.Team)
			}
		}
	}
	if got := status(site.PathOrder, "nobody", "Authorization", "Bearer x"); got != http.StatusUnauthorized || len(f.site.Account.Executions("nobody")) > 0 {
		t.Errorf("an unknown key: %d", got)
	}
	if keyed := f.site.Account.RequestsWithKey(); len(keyed) > 0 {
		t.Errorf("keys reached upstreams with %v", keyed)
	}
	f.site.Store.SetDown(true)
	if got := status(site.PathLookUp, "away", "Authorization", "Bearer r1"); got != http.StatusOK {
		t.Errorf("while the store is down: %d", got)
	}
	f.site.SetTeams(site.Team{Name: "red", Keys: []string{"r2"}}, site.Team{Name: "blue", Keys: []string{"b", "b2"}})
	f.site.Configure(3)
	f.site.Store.SetDown(false)
	waittest.Until(t, "the removed key is refused", func() bool {
		return status(site.PathLookUp, "gone", "Authorization", "Bearer r1") == http.StatusUnauthorized
	})
	if got := status(site.PathLookUp, "new", "Authorization", "Bearer b2"); got != http.StatusOK {
		t.Errorf("an added key: %d", got)
	}
	f.site.SetTeams(site.Team{Name: "red", Keys: []string{"same"}}, site.Team{Name: "blue", Keys: []string{"same"}})
	f.site.Configure(4, "/new/")
	f.site.SetTeams(site.Team{Name: "red", Keys: []string{"r2"}, Rate: -1})
	f.site.Configure(5, "/new/")
	f.site.SetTeams(site.Team{Name: "red", Keys: []string{"r2"}})
	f.site.Configure(6, "/new/")
	waittest.Until(t, "the first valid version after the contradictory ones", func() bool {
		return status("/new/x", "latest", "Authorization", "Bearer r2") == http.StatusOK
	})
	if got := status("/new/x", "contradiction", "Authorization", "Bearer same"); got != http.StatusUnauthorized {
		t.Errorf("a key of two teams: %d", got)
	}
}

// Guards against a team limit that is not enforced, one that also affects other teams, and
// refusals that have no Retry-After header or are caused by requests that did not run. A team
// that has reached its limit must be served again after a while.
func TestAttachedLimit(t *testing.T) {
	f := newAttachedFleet(t, func(s *settings.Attached) { s.Quota.Window, s.Quota.Excess, s.Quota.Slack = time.Second, 0, 0 })
	f.site.SetTeams(site.Team{Name: "red", Keys: []string{"r"}, Rate: 8, Burst: 1}, site.Team{Name: "blue", Keys: []string{"b"}})
	f.site.Configure(2)
	red := func(id string) reply { return f.ask(t.Context(), site.PathLookUp, id, "Authorization", "Bearer r") }
	waittest.Until(t, "the team is served", func() bool { return red("first").status == http.StatusOK })
	var refused reply
	waittest.Until(t, "the team is refused", func() bool {
		refused = red("over")
		return refused.status == http.StatusTooManyRequests
	})
	if refused.body != "quota-exceeded\n" || refused.header.Get("Retry-After") == "" {
		t.Errorf("%+v", refused)
	}
	if got := f.ask(t.Context(), site.PathLookUp, "other", "Authorization", "Bearer b").status; got != http.StatusOK {
		t.Errorf("a team without a limit: %d", got)
	}
	waittest.Until(t, "the team is served again", func() bool { return red("again").status == http.StatusOK })
}
