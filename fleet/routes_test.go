package fleet

import "testing"

func TestMatch(t *testing.T) {
	table := NewRouteTable([]Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:8080", "/x/z", "short"},
		{"A.EXAMPLE", "/x", "all"}, // does not match the prefix "/x/"
		{"b.example", "/x/", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	} {
		got, ok := table.Match(tc.host, tc.path)
		if got.Name != tc.want || ok != (tc.want != "") {
			t.Errorf("%s%s: %q, want %q", tc.host, tc.path, got.Name, tc.want)
		}
	}
}

func TestSelectService(t *testing.T) {
	split := Route{Targets: []Target{{"a", 90}, {"off", 0}, {"b", 10}}}
	for _, tc := range []struct {
		route Route
		draw  float64
		want  string
	}{
		{split, 0, "a"}, {split, 0.899, "a"}, {split, 0.901, "b"}, {split, 0.9999, "b"},
		{Route{Targets: []Target{{"only", 0}}}, 0.5, "only"},
		{Route{}, 0.5, ""},
	} {
		if got := tc.route.SelectService(tc.draw); got != tc.want {
			t.Errorf("draw %v of %v: %q, want %q", tc.draw, tc.route.Targets, got, tc.want)
		}
	}
}
