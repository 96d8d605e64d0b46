package instances

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

func TestListLag(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	first := []infraapi.Instance{{Name: "a", State: "live"}}
	second := []infraapi.Instance{{Name: "a", State: "leaving"}}
	i := New(Config{Lag: 2 * time.Second})
	i.setAt(start, first)
	i.setAt(start.Add(time.Second), second)
	steps := []struct {
		after  time.Duration
		frozen bool
		want   []infraapi.Instance
	}{
		{0, false, []infraapi.Instance{}},
		{2*time.Second - 1, false, []infraapi.Instance{}},
		{2 * time.Second, false, first},
		{time.Hour, true, first},
		{time.Hour, false, second},
	}
	for _, s := range steps {
		if diff := cmp.Diff(s.want, i.visibleList(start.Add(s.after), s.frozen)); diff != "" {
			t.Errorf("list after %v (-want +got):\n%s", s.after, diff)
		}
	}
}
