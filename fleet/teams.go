package fleet

import (
	"math"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/teams"
)

// maxUnits is the largest rate, burst or number of tokens per request that a team's limit
// may have. It is far beyond any real limit, and small enough that sums of such numbers
// are exact in float64.
const maxUnits = 1e15

// TeamTable looks up the teams of a configuration by key and by name. It is immutable.
type TeamTable struct {
	index  *teams.Index
	byName map[string]Team
}

// NewTeamTable returns a table of the given teams, or an error if they are invalid.
//
// Without the validation, a key that two teams share would identify one of them at random,
// and a negative or NaN limit would refuse all requests of a team, or none.
func NewTeamTable(list []Team) (*TeamTable, error) {
	r := &TeamTable{byName: make(map[string]Team, len(list))}
	keys := make(map[string][]teams.Digest, len(list))
	for _, t := range list {
		if _, duplicate := r.byName[t.Name]; t.Name == "" || duplicate {
			return nil, errors.Errorf("empty or duplicate team name %q", t.Name)
		}
		for _, n := range []float64{t.Limit.Rate, t.Limit.Burst, float64(t.PlainTokens)} {
			if !(n >= 0 && n <= maxUnits) || math.IsNaN(n) {
				return nil, errors.Errorf("team %s: limit %v is negative, too large or not a number", t.Name, n)
			}
		}
		r.byName[t.Name], keys[t.Name] = t, t.Keys
	}
	var err error
	r.index, err = teams.NewIndex(keys)
	return r, err
}

// Index returns the lookup of teams by key.
func (r *TeamTable) Index() *teams.Index { return r.index }

// Team returns the team of the given name.
func (r *TeamTable) Team(name string) (Team, bool) {
	t, ok := r.byName[name]
	return t, ok
}

// Empty reports whether the configuration has no teams, so that requests need no key.
func (r *TeamTable) Empty() bool { return len(r.byName) == 0 }
