package settings

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// keyIndex holds the line of each key of a file.
type keyIndex struct {
	file  string
	lines map[string]int
	// fields describes the keys of the file.
	fields []Field
}

// field returns the description of one key.
func (k *keyIndex) field(key string) (Field, bool) { return fieldOf(k.fields, key) }

// walk records the keys of a document and refuses those that t lacks.
// The YAML library refuses unknown keys too, but without naming the section
// and what it allows.
func (k *keyIndex) walk(t reflect.Type, body ast.Node) error {
	return k.section("", t, body)
}

func (k *keyIndex) section(path string, t reflect.Type, n ast.Node) error {
	values, err := k.mapping(path, n)
	if err != nil {
		return err
	}
	for _, v := range values {
		name := v.Key.GetToken().Value
		f, ok := fieldByKey(t, name)
		if !ok {
			return &Error{File: k.file, Line: nodeLine(v.Key), Key: join(path, name), Reason: "unknown key", Allowed: sectionKeys(t)}
		}
		if err := k.value(join(path, name), f.Type, v); err != nil {
			return err
		}
	}
	return nil
}

func (k *keyIndex) value(path string, t reflect.Type, v *ast.MappingValueNode) error {
	k.lines[path] = nodeLine(v.Key)
	if v.Value == nil || v.Value.Type() == ast.NullType {
		return &Error{File: k.file, Line: nodeLine(v.Key), Key: path, Reason: "no value"}
	}
	switch t.Kind() {
	case reflect.Struct:
		return k.section(path, t, v.Value)
	case reflect.Map:
		return k.entries(path, v.Value)
	case reflect.Slice:
		return k.items(path, v.Value)
	default:
		return k.plain(path, t, v.Value)
	}
}

func (k *keyIndex) entries(path string, n ast.Node) error {
	values, err := k.mapping(path, n)
	if err != nil {
		return err
	}
	for _, v := range values {
		name := join(path, v.Key.GetToken().Value)
		k.lines[name] = nodeLine(v.Key)
		if err := k.plain(name, reflect.TypeFor[string](), v.Value); err != nil {
			return err
		}
	}
	return nil
}

func (k *keyIndex) items(path string, n ast.Node) error {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		return &Error{File: k.file, Line: nodeLine(n), Key: path, Reason: "want a list"}
	}
	for i, item := range seq.Values {
		name := fmt.Sprintf("%s[%d]", path, i)
		k.lines[name] = nodeLine(item)
		if err := k.plain(name, reflect.TypeFor[string](), item); err != nil {
			return err
		}
	}
	return nil
}

func (k *keyIndex) mapping(path string, n ast.Node) ([]*ast.MappingValueNode, error) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, nil
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, nil
	}
	return nil, &Error{File: k.file, Line: nodeLine(n), Key: path, Reason: "want a section of keys and values"}
}

// plain refuses anything but one value: anchors and aliases could make a small
// file expand without bound, and a misplaced section would be dropped unseen.
func (k *keyIndex) plain(path string, t reflect.Type, n ast.Node) error {
	switch v := n.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.LiteralNode:
		if t != reflect.TypeFor[time.Duration]() {
			return nil
		}
		if _, err := time.ParseDuration(v.GetToken().Value); err == nil {
			return nil
		}
	}
	e := &Error{File: k.file, Line: nodeLine(n), Key: path, Reason: "want one plain value"}
	if f, ok := k.field(path); ok {
		e.Reason = "want " + f.want()
		e.Allowed = f.Allowed
	}
	return e
}

// at returns the longest key on a line, or "".
func (k *keyIndex) at(line int) string {
	best := ""
	for name, l := range k.lines {
		if l == line && (len(name) > len(best) || len(name) == len(best) && name < best) {
			best = name
		}
	}
	return best
}

func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for f := range fieldsOf(t) {
		if f.Tag.Get("yaml") == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func sectionKeys(t reflect.Type) []string {
	var out []string
	for f := range fieldsOf(t) {
		out = append(out, f.Tag.Get("yaml"))
	}
	slices.Sort(out)
	return out
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
