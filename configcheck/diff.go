package configcheck

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/teams"
)

// Action is how an entry differs from the version in force.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is an entry that differs between two configurations.
type Change struct {
	Action Action  `json:"action"`
	Entry  string  `json:"entry"`
	Fields []Field `json:"fields"`
}

// Field is a field whose value differs; a missing value is empty.
type Field struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Compare compares an entry, a struct, with its previous value. A nil value means that the entry
// does not exist. The second result is false if there is no difference.
func Compare(entry string, before, after any) (Change, bool) {
	c := Change{Action: Changed, Entry: entry}
	switch {
	case before == nil:
		c.Action = Added
	case after == nil:
		c.Action = Removed
	}
	x, y := map[string]string{}, map[string]string{}
	flatten(x, "", reflect.ValueOf(before), c.Action == Changed)
	flatten(y, "", reflect.ValueOf(after), c.Action == Changed)
	names := maps.Clone(x)
	maps.Copy(names, y)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if x[name] != y[name] {
			c.Fields = append(c.Fields, Field{Name: name, Old: x[name], New: y[name]})
		}
	}
	return c, c.Action != Changed || len(c.Fields) > 0
}

// flatten adds the fields of v, a struct or a pointer to one, to out by name. The fields of nested
// structs are named Outer.Inner. Without zeros, zero values are left out.
func flatten(out map[string]string, name string, v reflect.Value, zeros bool) {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return
		}
		v = v.Elem()
		if v.Kind() != reflect.Struct { // an optional number, of which 0 is a value
			out[name] = fmt.Sprint(v.Interface())
			return
		}
	}
	switch {
	case !v.IsValid():
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if tag != "-" {
				flatten(out, strings.TrimPrefix(name+"."+cmp.Or(tag, v.Type().Field(i).Name), "."), v.Field(i), zeros)
			}
		}
	case zeros || !v.IsZero() || v.Type() == reflect.TypeFor[fleet.Kind]():
		out[name] = render(v.Interface())
	}
}

// render formats a value. Of the digests of keys, it prints enough to tell them apart.
func render(v any) string {
	const shown = 4 // bytes of a digest
	switch x := v.(type) {
	case time.Duration:
		return x.String()
	case fleet.Kind:
		return [...]string{fleet.Once: "once", fleet.Idempotent: "idempotent", fleet.Stream: "stream"}[x]
	case []teams.Digest:
		out := make([]string, 0, len(x))
		for _, d := range x {
			out = append(out, hex.EncodeToString(d[:shown]))
		}
		return fmt.Sprint(out)
	}
	return fmt.Sprint(v)
}

// DiffFleet returns the differences between two configurations of the users' platform, with
// entries named like Routes[NAME]. The order of entries makes no difference.
func DiffFleet(from, to *fleet.Config) []Change {
	var out []Change
	out = diffMap(out, "Routes", routesByName(from), routesByName(to))
	out = diffMap(out, "Services", from.Services, to.Services)
	out = diffMap(out, "Teams", teamsByName(from), teamsByName(to))
	if c, differs := Compare("Limits", from.Limits, to.Limits); differs {
		out = append(out, c)
	}
	return out
}

func diffMap[V any](out []Change, section string, from, to map[string]V) []Change {
	names := maps.Clone(from)
	if names == nil {
		names = map[string]V{}
	}
	maps.Copy(names, to)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var before, after any
		if v, ok := from[name]; ok {
			before = v
		}
		if v, ok := to[name]; ok {
			after = v
		}
		if c, differs := Compare(section+"["+name+"]", before, after); differs {
			out = append(out, c)
		}
	}
	return out
}

func routesByName(c *fleet.Config) map[string]fleet.Route {
	out := make(map[string]fleet.Route, len(c.Routes))
	for _, r := range c.Routes {
		out[unusedName(out, r.Name)] = r
	}
	return out
}

func teamsByName(c *fleet.Config) map[string]fleet.Team {
	out := make(map[string]fleet.Team, len(c.Teams))
	for _, t := range c.Teams {
		out[unusedName(out, t.Name)] = t
	}
	return out
}

// unusedName returns name, with a number if an earlier entry has the same.
func unusedName[V any](taken map[string]V, name string) string {
	candidate := name
	for n := 2; ; n++ {
		if _, ok := taken[candidate]; !ok {
			return candidate
		}
		candidate = fmt.Sprintf("%s#%d", name, n)
	}
}
