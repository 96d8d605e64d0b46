package bundle

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Action says what an Op does to the entry it names.
type Action string

// The actions.
const (
	Upsert Action = "upsert"
	Remove Action = "remove"
)

// Section names the part of a Bundle that an Op changes.
type Section string

// The sections.
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

// Delta is a small change on a parent, applied in order.
type Delta struct {
	Ops []Op `json:"ops"`
}

// EncodeBundle returns the one encoding of a Bundle: JSON with sorted names.
func EncodeBundle(b *Bundle) ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode bundle")
}

// DecodeBundle decodes and validates a Bundle. Unknown fields are refused.
func DecodeBundle(data []byte) (*Bundle, error) {
	b := new(Bundle)
	if err := decodeStrict(data, b); err != nil {
		return nil, errors.Wrap(err, "decode bundle")
	}
	return b, Validate(b)
}

// EncodeDelta returns the encoding of a Delta.
func EncodeDelta(d Delta) ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode delta")
}

// DecodeDelta decodes a Delta. Unknown fields are refused.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	err := decodeStrict(data, &d)
	return d, errors.Wrap(err, "decode delta")
}

func decodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end")
	}
	return nil
}

// Apply returns parent with d applied and validated. It leaves parent as it
// is and shares with it the sections that d does not touch.
func Apply(parent *Bundle, d Delta) (*Bundle, error) {
	if len(d.Ops) == 0 {
		return nil, errors.New("the delta is empty")
	}
	out := *parent
	touched := map[Section]bool{}
	for i, op := range d.Ops {
		if err := applyOp(&out, op, touched); err != nil {
			return nil, errors.Wrapf(err, "ops[%d] %s %s %q", i, op.Action, op.Section, op.Name)
		}
	}
	return &out, validateChange(&out, d)
}

// applyOp changes b in place. A section's map is copied the first time it is
// touched, because the parent still owns it.
func applyOp(b *Bundle, op Op, touched map[Section]bool) error {
	if err := op.check(); err != nil {
		return err
	}
	fresh := !touched[op.Section]
	touched[op.Section] = true
	switch op.Section {
	case SectionModel:
		return edit(&b.Models, fresh, op, op.Model)
	case SectionPool:
		return edit(&b.Pools, fresh, op, op.Pool)
	case SectionUpstream:
		return edit(&b.Upstreams, fresh, op, op.Upstream)
	case SectionService:
		return edit(&b.Services, fresh, op, op.Service)
	case SectionTeam:
		return edit(&b.Teams, fresh, op, op.Team)
	case SectionClass:
		return edit(&b.Classes, fresh, op, op.Class)
	case SectionPolicy:
		b.Policy = *op.Policy
	}
	return nil
}

func edit[K ~string, V any](m *map[K]V, fresh bool, op Op, value *V) error {
	if fresh {
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

// check says whether the op carries exactly the value its action and section call for.
func (op Op) check() error {
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

// Diff returns the Delta that makes to of from, with removals last, so that
// what names an entry is changed before the entry goes. It is empty when both
// have the same content.
func Diff(from, to *Bundle) Delta {
	var ups, removes []Op
	collect := func(section Section, name string, removed bool, set func(*Op)) {
		op := Op{Action: Upsert, Section: section, Name: name}
		if removed {
			op.Action = Remove
			removes = append(removes, op)
			return
		}
		set(&op)
		ups = append(ups, op)
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
	return Delta{Ops: append(ups, removes...)}
}

type collector func(section Section, name string, removed bool, set func(*Op))

func diffMap[K ~string, V any](section Section, from, to map[K]V, collect collector, set func(*Op, *V)) {
	names := map[K]bool{}
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := from[name]
		after, has := to[name]
		if had && has && sameJSON(before, after) {
			continue
		}
		collect(section, string(name), !has, func(op *Op) { set(op, &after) })
	}
}

// sameJSON compares content, for which a nil and an empty list are the same.
func sameJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
