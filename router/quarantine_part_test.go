package router

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// partRequest returns the prompt of the n-th request in a test, which has a first part, one of three
// others and a part of its own. With a fatal part, that is at any place but the last.
func partRequest(n int, fatal string) string {
	parts := []string{"f00dcafe:200", fmt.Sprintf("0d0c000%d:50", n%3)}
	if fatal != "" {
		place := n % (len(parts) + 1)
		parts = append(parts[:place:place], append([]string{fatal + ":70"}, parts[place:]...)...)
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:30", 1<<24+n)), ",")
}

// Guards against a part of a prompt that crashes each engine, one after the other and for good, in
// requests of which no two are alike. Sound requests with the same other parts must be served, and
// daemons that start later must refuse as well.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	for _, tc := range []struct {
		path   string
		events int // before the crash
	}{{site.PathLetter, 0}, {site.PathDraft, 0}, {site.PathLetter, 2}} {
		t.Run(fmt.Sprint(tc.path[1:len(tc.path)-1], tc.events), func(t *testing.T) {
			const daemons, asks, refusals = 3, 40, 6
			const fatal = "badbadba"
			f := newCrashFleet(t)
			f.site.CrashOnPart(fatal, tc.events, f.replace)
			n := 0
			for life := range 2 {
				f.start(daemons)
				last := 0 // consecutive requests that reached no upstream
				for ask := 0; ask < asks && last < refusals; ask++ {
					n++
					sound := f.ask(ask%daemons, tc.path, "sound", fmt.Sprint("s", n), "Prompt-Prefix", partRequest(n, ""))
					if sound.err != nil || sound.status != http.StatusOK {
						t.Errorf("life %d: a sound request with the same parts: %+v", life, sound)
					}
					before := len(f.site.Account.ReachTimes(fatal))
					got := f.ask(ask%daemons, tc.path, fmt.Sprint("unlike ", n), fmt.Sprint("x", n), "Prompt-Prefix", partRequest(n, fatal))
					if last++; len(f.site.Account.ReachTimes(fatal)) > before {
						last = 0
					} else if got.status != http.StatusBadGateway || !strings.HasPrefix(got.body, "crashes-upstreams") {
						t.Errorf("life %d: a refused request got %+v", life, got)
					}
					f.waitSettled()
				}
				if last < refusals {
					t.Errorf("life %d: requests with the part still reach upstreams; %d crashed", life, len(f.site.Account.CrashTimes(fatal)))
				}
				f.stop()
			}
		})
	}
}

// Guards against a team that has another team's requests refused, by sending a part of its prompts that
// crashes engines with an id that the other team's prompts have too.
func TestPartOfOneTeamRefusesNoOther(t *testing.T) {
	const part, attempts = "badbadba", 40
	f := newCrashFleet(t)
	f.site.SetTeams(site.Team{Name: "hostile", Keys: []string{"hostile-key"}}, site.Team{Name: "other", Keys: []string{"other-key"}})
	f.site.Configure(2)
	f.site.CrashOnPart(part, 0, f.replace)
	f.start(1)
	defer f.stop()
	ask := func(key string, n int) reply {
		return f.ask(0, site.PathLetter, fmt.Sprint("body ", n), fmt.Sprint(key, n), "Authorization", "Bearer "+key, "Prompt-Prefix", partRequest(n, part))
	}
	refused := false
	for n := 0; n < attempts && !refused; n++ {
		refused = strings.HasPrefix(ask("hostile-key", n).body, "crashes-upstreams")
		f.waitSettled()
	}
	if !refused {
		t.Fatal("the part is not refused")
	}
	f.site.MendPart(part)
	if got := ask("other-key", attempts); got.err != nil || got.status != http.StatusOK {
		t.Errorf("the other team's request: %+v", got)
	}
	if got := ask("hostile-key", attempts); !strings.HasPrefix(got.body, "crashes-upstreams") {
		t.Errorf("the first team's request: %+v", got)
	}
}
