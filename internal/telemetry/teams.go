package telemetry

import "sync"

// maxTeams is the number of teams that get their own label value in the metrics. All
// further teams share the value otherTeam.
const (
	maxTeams  = 100
	otherTeam = "other"
)

// teamLabels assigns label values to teams. It limits their number, because operators may
// configure any number of teams and each one adds time series. It is safe for concurrent
// use.
type teamLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// labelFor returns the label value of a team.
func (t *teamLabels) labelFor(team string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known == nil {
		t.known = map[string]bool{}
	}
	if !t.known[team] {
		if len(t.known) >= maxTeams {
			return otherTeam
		}
		t.known[team] = true
	}
	return team
}
