package site

import "net/http"

const (
	headerKey  = "Authorization"
	headerTeam = "Tenant-Name"
)

// Team is a team in the configuration of a site.
type Team struct {
	Name string
	Keys []string // API keys
	// Rate limits the team's requests, in requests per second, and Burst is the
	// number of requests that may exceed it at once. A Rate of 0 means no limit.
	Rate, Burst float64
}

// SetTeams sets the teams of the versions that later calls of Configure write. If
// there are no teams, requests need no API key.
func (s *Site) SetTeams(list ...Team) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams = nil
	for _, t := range list {
		s.teams = append(s.teams, map[string]any{
			"name": t.Name, "api_keys": t.Keys, "priority": 1, "unit": "requests", "rate_per_s": t.Rate, "burst": t.Burst,
		})
	}
}

// SetKey sets a client's API key on a request, and the name of the team to which the
// client claims to belong, unless it is empty.
func SetKey(req *http.Request, key, claims string) {
	req.Header.Set(headerKey, "Bearer "+key)
	if claims != "" {
		req.Header.Set(headerTeam, claims)
	}
}
