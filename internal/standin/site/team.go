package site

import "net/http"

const (
	headerKey  = "Authorization"
	headerTeam = "Tenant-Name"
)

// Team is one that the configuration knows.
type Team struct {
	Name string
	Keys []string
	// Rate and Burst limit its requests, by their number; a Rate of 0 does not.
	Rate, Burst float64
}

// SetTeams sets the teams of the versions that are configured from now on. Without any,
// requests need no key.
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

// SetKey gives a request a caller's key, and the name of a team that the caller claims.
func SetKey(req *http.Request, key, claims string) {
	req.Header.Set(headerKey, "Bearer "+key)
	if claims != "" {
		req.Header.Set(headerTeam, claims)
	}
}
