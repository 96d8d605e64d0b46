package policy

import (
	"testing"

	"github.com/corianderturn/corianderturn/bundle"
)

// TestLimitRank guards against a request's own priority being ignored under a rate
// limit.
func TestLimitRank(t *testing.T) {
	one, seven := 1, 7
	b := &bundle.Bundle{Classes: map[bundle.Class]bundle.ClassTarget{"route": {Priority: 3}, bundle.Urgent: {Priority: 9}}}
	for _, c := range []struct {
		class    bundle.Class
		priority *int
		want     int
	}{
		{"route", nil, 3}, {"route", &one, 1}, {bundle.Draft, &seven, 7}, {bundle.Urgent, nil, 0}, {bundle.Draft, nil, 1}, {"unknown", nil, 0},
	} {
		if got := Rank(b, c.class, c.priority); got != c.want {
			t.Errorf("%s: %d, want %d", c.class, got, c.want)
		}
	}
}
