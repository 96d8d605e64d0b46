package fleet

import (
	"math"
	"net/http"
	"testing"

	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/teams"
)

// Guards against replacing a valid configuration by one with invalid teams.
func TestInvalidTeamsAreRejected(t *testing.T) {
	key := []teams.Digest{teams.DigestOf("k")}
	good := []Team{{Name: "red", Keys: key, Limit: quota.Limit{Rate: 5}}, {Name: "blue"}}
	r := NewRegistry("daemon", "dc1", testLease)
	if newer, err := r.SetConfig(&Config{Version: 1, Teams: good}); !newer || err != nil {
		t.Fatal(newer, err)
	}
	for name, list := range map[string][]Team{
		"two teams with one key":  {{Name: "red", Keys: key}, {Name: "blue", Keys: key}},
		"two teams with one name": {{Name: "red"}, {Name: "red"}},
		"a team without a name":   {{Keys: key}},
		"a negative rate":         {{Name: "red", Limit: quota.Limit{Rate: -1}}},
		"an absurd rate":          {{Name: "red", Limit: quota.Limit{Rate: 1e300}}},
		"a rate that is NaN":      {{Name: "red", Limit: quota.Limit{Rate: math.NaN()}}},
		"a negative burst":        {{Name: "red", Limit: quota.Limit{Burst: -1}}},
		"negative plain tokens":   {{Name: "red", PlainTokens: -1}},
	} {
		if newer, err := r.SetConfig(&Config{Version: 2, Teams: list}); newer || err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	v, _ := r.View()
	if team, err := v.Teams.Index().Find(http.Header{teams.Header: {"Bearer k"}}); team != "red" || err != nil {
		t.Errorf("the previous version is not in force: %q, %v", team, err)
	}
	if _, known := v.Teams.Team("blue"); !known || v.Teams.Empty() {
		t.Error("the team without keys is not found")
	}
}
