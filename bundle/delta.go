package bundle

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Action is what an Op does with its entry.
type Action string

// The actions: Upsert adds or replaces an entry, Remove deletes it.
const (
	Upsert Action = "upsert"
	Remove Action = "remove"
)

// Section is the part of a Bundle that an Op changes.
type Section string

// The sections, one for each field of Bundle.
const (
	SectionModel    Section = "model"
	SectionPool     Section = "pool"
	SectionUpstream Section = "upstream"
	SectionService  Section = "service"
	SectionTeam     Section = "team"
	SectionClass    Section = "class"
	SectionPolicy   Section = "policy"
)

// Op changes one named entry. An upsert carries the whole new entry in the
// field of its section; a remove carries none. The policy has no name and
// cannot be removed.
type Op struct {
	Action   Action        `json:"action"`
	Section  Section       `json:"section"`
	Name     string        `json:"name,omitempty"`
	Model    *Model        `json:"model,omitempty"`
	Pool     *Pool         `json:"pool,omitempty"`
	Upstream *Upstream     `json:"upstream,omitempty"`
	Service  *Service      `json:"service,omitempty"`
	Team     *Team         `json:"team,omitempty"`
	Class    *ClassTarget  `json:"class,omitempty"`
	Policy   *PolicyConfig `json:"policy,omitempty"`
}

// Delta is a list of operations that turn a parent bundle into the next version,
// applied in order.
type Delta struct {
	Ops []Op `json:"ops"`
}

// EncodeBundle returns the canonical encoding of a Bundle: JSON with sorted names.
func EncodeBundle(b *Bundle) ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode bundle")
}

// DecodeBundle decodes and validates a Bundle. Unknown fields are an error.
func DecodeBundle(data []byte) (*Bundle, error) {
	b := new(Bundle)
	if err := decodeStrict(data, b); err != nil {
		return nil, errors.Wrap(err, "decode bundle")
	}
	return b, Validate(b)
}

// EncodeDelta returns the JSON encoding of a Delta.
func EncodeDelta(d Delta) ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode delta")
}

// DecodeDelta decodes a Delta without validating its operations. Unknown fields
// are an error.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	err := decodeStrict(data, &d)
	return d, errors.Wrap(err, "decode delta")
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// Apply returns a copy of parent with d applied, and an error if the result is
// invalid. It does not modify parent; the result shares with it the maps of the
// sections that d does not change.
func Apply(parent *Bundle, d Delta) (*Bundle, error) {
	if len(d.Ops) == 0 {
		return nil, errors.New("the delta is empty")
	}
	out := *parent
	cloned := map[Section]bool{}
	for i, op := range d.Ops {
		if err := applyOp(&out, op, cloned); err != nil {
			return nil, errors.Wrapf(err, "ops[%d] %s %s %q", i, op.Action, op.Section, op.Name)
		}
	}
	return &out, validateChange(&out, d)
}

// applyOp changes b in place. It copies a section's map at the first change,
// because until then b shares it with the parent; cloned holds the sections
// that were copied.
func applyOp(b *Bundle, op Op, cloned map[Section]bool) error {
	if err := op.validate(); err != nil {
		return err
	}
	cloneFirst := !cloned[op.Section]
	cloned[op.Section] = true
	switch op.Section {
	case SectionModel:
		return applyToMap(&b.Models, cloneFirst, op, op.Model)
	case SectionPool:
		return applyToMap(&b.Pools, cloneFirst, op, op.Pool)
	case SectionUpstream:
		return applyToMap(&b.Upstreams, cloneFirst, op, op.Upstream)
	case SectionService:
		return applyToMap(&b.Services, cloneFirst, op, op.Service)
	case SectionTeam:
		return applyToMap(&b.Teams, cloneFirst, op, op.Team)
	case SectionClass:
		return applyToMap(&b.Classes, cloneFirst, op, op.Class)
	case SectionPolicy:
		b.Policy = *op.Policy
	}
	return nil
}

// applyToMap applies op to a section's map, which it copies first if cloneFirst is set.
func applyToMap[K ~string, V any](m *map[K]V, cloneFirst bool, op Op, value *V) error {
	if cloneFirst {
		*m = maps.Clone(*m)
	}
	key := K(op.Name)
	if op.Action == Upsert {
		if *m == nil {
			*m = map[K]V{}
		}
		(*m)[key] = *value
		return nil
	}
	if _, ok := (*m)[key]; !ok {
		return errors.New("no such entry to remove")
	}
	delete(*m, key)
	return nil
}

// validate checks that action and section are known, and that the op has a value
// exactly where they require one.
func (op Op) validate() error {
	values := map[Section]bool{
		SectionModel: op.Model != nil, SectionPool: op.Pool != nil, SectionUpstream: op.Upstream != nil,
		SectionService: op.Service != nil, SectionTeam: op.Team != nil, SectionClass: op.Class != nil,
		SectionPolicy: op.Policy != nil,
	}
	if _, ok := values[op.Section]; !ok {
		return errors.New("unknown section")
	}
	if op.Action != Upsert && op.Action != Remove {
		return errors.New("unknown action")
	}
	isPolicy := op.Section == SectionPolicy
	if isPolicy && (op.Action != Upsert || op.Name != "") {
		return errors.New("the policy has no name and can only be upserted")
	}
	if !isPolicy && op.Name == "" {
		return errors.New("the name is missing")
	}
	for section, set := range values {
		want := section == op.Section && op.Action == Upsert
		if set != want {
			return errors.Errorf("the field %q does not fit the action and section", section)
		}
	}
	return nil
}

// Diff returns the Delta that turns from into to. It is empty if both have the
// same content. Removals come last, so that entries that refer to a removed
// entry are changed before it is removed.
func Diff(from, to *Bundle) Delta {
	var upserts, removes []Op
	collect := func(section Section, name string, removed bool, set func(*Op)) {
		op := Op{Action: Upsert, Section: section, Name: name}
		if removed {
			op.Action = Remove
			removes = append(removes, op)
			return
		}
		set(&op)
		upserts = append(upserts, op)
	}
	diffMap(SectionPool, from.Pools, to.Pools, collect, func(op *Op, v *Pool) { op.Pool = v })
	diffMap(SectionModel, from.Models, to.Models, collect, func(op *Op, v *Model) { op.Model = v })
	diffMap(SectionUpstream, from.Upstreams, to.Upstreams, collect, func(op *Op, v *Upstream) { op.Upstream = v })
	diffMap(SectionService, from.Services, to.Services, collect, func(op *Op, v *Service) { op.Service = v })
	diffMap(SectionTeam, from.Teams, to.Teams, collect, func(op *Op, v *Team) { op.Team = v })
	diffMap(SectionClass, from.Classes, to.Classes, collect, func(op *Op, v *ClassTarget) { op.Class = v })
	if !sameJSON(from.Policy, to.Policy) {
		collect(SectionPolicy, "", false, func(op *Op) { op.Policy = &to.Policy })
	}
	return Delta{Ops: append(upserts, removes...)}
}

// collector adds one operation to a Delta; set stores the value of an upsert.
type collector func(section Section, name string, removed bool, set func(*Op))

// diffMap calls collect for each entry of a section that differs, in the order of names.
func diffMap[K ~string, V any](section Section, from, to map[K]V, collect collector, set func(*Op, *V)) {
	names := map[K]bool{}
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, inFrom := from[name]
		after, inTo := to[name]
		if inFrom && inTo && sameJSON(before, after) {
			continue
		}
		collect(section, string(name), !inTo, func(op *Op) { set(op, &after) })
	}
}

// sameJSON reports whether two values have the same JSON encoding. Fields with
// omitempty therefore make no difference between a nil and an empty list.
func sameJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
