package ctl

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/corianderturn/corianderturn/bundle"
)

// printDelta prints each operation of a delta to the bundle from: + for an added entry, ~
// for a changed one with its changed fields, - for a removed one.
func printDelta(env *runEnv, from *bundle.Bundle, d bundle.Delta) {
	if len(d.Ops) == 0 {
		env.printf("no difference\n")
	}
	for _, op := range d.Ops {
		before, existed := lookup(from, op)
		path := string(op.Section)
		if op.Name != "" {
			path += " " + op.Name
		}
		switch {
		case op.Action == bundle.Remove:
			env.printf("- %s\n", path)
		case !existed:
			env.printf("+ %s %s\n", path, toJSON(newValue(op)))
		default:
			env.printf("~ %s\n", path)
			printFields(env, toJSON(before), toJSON(newValue(op)))
		}
	}
}

// printFields prints the fields that differ between two JSON objects.
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

// orNone returns the JSON text, or "(none)" for a missing field.
func orNone(raw json.RawMessage) string {
	if raw == nil {
		return "(none)"
	}
	return string(raw)
}

// toJSON returns the JSON encoding of v, or nil if it cannot be encoded.
func toJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

// newValue returns the value that an upsert operation sets.
func newValue(op bundle.Op) any {
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

// lookup returns the entry of a bundle that an operation refers to; ok is false if there
// is none.
func lookup(b *bundle.Bundle, op bundle.Op) (v any, ok bool) {
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
