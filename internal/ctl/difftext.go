package ctl

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/corianderturn/corianderturn/bundle"
)

// printDelta shows each operation: + added, ~ changed field by field, - removed.
func printDelta(env *runEnv, from *bundle.Bundle, d bundle.Delta) {
	if len(d.Ops) == 0 {
		env.printf("no difference\n")
	}
	for _, op := range d.Ops {
		before, existed := entry(from, op)
		path := string(op.Section)
		if op.Name != "" {
			path += " " + op.Name
		}
		switch {
		case op.Action == bundle.Remove:
			env.printf("- %s\n", path)
		case !existed:
			env.printf("+ %s %s\n", path, encode(value(op)))
		default:
			env.printf("~ %s\n", path)
			printFields(env, encode(before), encode(value(op)))
		}
	}
}

// printFields shows the fields that differ between two JSON objects.
func printFields(env *runEnv, before, after []byte) {
	var x, y map[string]json.RawMessage
	if json.Unmarshal(before, &x) != nil || json.Unmarshal(after, &y) != nil {
		return
	}
	names := maps.Clone(x)
	maps.Copy(names, y)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if bytes.Equal(x[name], y[name]) {
			continue
		}
		env.printf("    %s: %s -> %s\n", name, orNone(x[name]), orNone(y[name]))
	}
}

func orNone(raw json.RawMessage) string {
	if raw == nil {
		return "(none)"
	}
	return string(raw)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

// value returns what an upsert carries.
func value(op bundle.Op) any {
	switch op.Section {
	case bundle.SectionModel:
		return op.Model
	case bundle.SectionPool:
		return op.Pool
	case bundle.SectionUpstream:
		return op.Upstream
	case bundle.SectionService:
		return op.Service
	case bundle.SectionTeam:
		return op.Team
	case bundle.SectionClass:
		return op.Class
	default:
		return op.Policy
	}
}

// entry returns what a bundle has where an operation points.
func entry(b *bundle.Bundle, op bundle.Op) (v any, ok bool) {
	switch op.Section {
	case bundle.SectionModel:
		v, ok = b.Models[op.Name]
	case bundle.SectionPool:
		v, ok = b.Pools[op.Name]
	case bundle.SectionUpstream:
		v, ok = b.Upstreams[op.Name]
	case bundle.SectionService:
		v, ok = b.Services[op.Name]
	case bundle.SectionTeam:
		v, ok = b.Teams[op.Name]
	case bundle.SectionClass:
		v, ok = b.Classes[bundle.Class(op.Name)]
	default:
		v, ok = b.Policy, true
	}
	return v, ok
}
