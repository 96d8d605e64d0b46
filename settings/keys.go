package settings

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// keyIndex checks the keys of a settings file and records their line numbers for error messages.
type keyIndex struct {
	file string
	// lines holds the line number of each key that is in the file, by its full name.
	lines map[string]int
	// fields describes the keys that the file may have.
	fields []Field
}

// field returns the description of a key that is given by its full name.
func (k *keyIndex) field(key string) (Field, bool) { return fieldOf(k.fields, key) }

// checkDocument records the keys of a document and rejects those for which the settings type t
// has no field. The YAML library rejects unknown keys too, but its error names neither the
// section nor the allowed keys.
func (k *keyIndex) checkDocument(t reflect.Type, body ast.Node) error {
	return k.checkSection("", t, body)
}

// checkSection checks the keys of the section at path, whose settings type is t.
func (k *keyIndex) checkSection(path string, t reflect.Type, n ast.Node) error {
	values, err := k.mappingEntries(path, n)
	if err != nil {
		return err
	}
	for _, v := range values {
		name := v.Key.GetToken().Value
		f, ok := fieldByKey(t, name)
		if !ok {
			return &Error{File: k.file, Line: nodeLine(v.Key), Key: join(path, name), Reason: "unknown key", Allowed: sectionKeys(t)}
		}
		if err := k.checkValue(join(path, name), f.Type, v); err != nil {
			return err
		}
	}
	return nil
}

// checkValue records the line of a key and checks that its value has the form that type t needs.
func (k *keyIndex) checkValue(path string, t reflect.Type, v *ast.MappingValueNode) error {
	k.lines[path] = nodeLine(v.Key)
	if v.Value == nil || v.Value.Type() == ast.NullType {
		return &Error{File: k.file, Line: nodeLine(v.Key), Key: path, Reason: "no value"}
	}
	switch t.Kind() {
	case reflect.Struct:
		return k.checkSection(path, t, v.Value)
	case reflect.Map:
		return k.checkMap(path, v.Value)
	case reflect.Slice:
		return k.checkList(path, v.Value)
	default:
		return k.checkScalar(path, t, v.Value)
	}
}

// checkMap checks a map from names to scalars.
func (k *keyIndex) checkMap(path string, n ast.Node) error {
	values, err := k.mappingEntries(path, n)
	if err != nil {
		return err
	}
	for _, v := range values {
		name := join(path, v.Key.GetToken().Value)
		k.lines[name] = nodeLine(v.Key)
		if err := k.checkScalar(name, reflect.TypeFor[string](), v.Value); err != nil {
			return err
		}
	}
	return nil
}

// checkList checks a list of scalars.
func (k *keyIndex) checkList(path string, n ast.Node) error {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		return &Error{File: k.file, Line: nodeLine(n), Key: path, Reason: "want a list"}
	}
	for i, item := range seq.Values {
		name := fmt.Sprintf("%s[%d]", path, i)
		k.lines[name] = nodeLine(item)
		if err := k.checkScalar(name, reflect.TypeFor[string](), item); err != nil {
			return err
		}
	}
	return nil
}

// mappingEntries returns the entries of a YAML mapping. The parser represents a mapping with one entry
// by that entry alone.
func (k *keyIndex) mappingEntries(path string, n ast.Node) ([]*ast.MappingValueNode, error) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, nil
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, nil
	}
	return nil, &Error{File: k.file, Line: nodeLine(n), Key: path, Reason: "want a section of keys and values"}
}

// checkScalar rejects everything but a scalar: anchors and aliases could make a small file expand
// without bound, and a section in place of a value would be ignored silently.
func (k *keyIndex) checkScalar(path string, t reflect.Type, n ast.Node) error {
	switch v := n.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.LiteralNode:
		if t != reflect.TypeFor[time.Duration]() {
			return nil
		}
		if _, err := time.ParseDuration(v.GetToken().Value); err == nil {
			return nil
		}
	}
	e := &Error{File: k.file, Line: nodeLine(n), Key: path, Reason: "want a single value"}
	if f, ok := k.field(path); ok {
		e.Reason = "want " + f.expectedValue()
		e.Allowed = f.Allowed
	}
	return e
}

// keyAtLine returns the longest key on a line, which is the innermost one, or "" if the line has none.
func (k *keyIndex) keyAtLine(line int) string {
	longest := ""
	for name, l := range k.lines {
		if l == line && (len(name) > len(longest) || len(name) == len(longest) && name < longest) {
			longest = name
		}
	}
	return longest
}

// fieldByKey returns the field of settings type t that has the given YAML key.
func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for f := range fieldsOf(t) {
		if f.Tag.Get("yaml") == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// sectionKeys returns the YAML keys of settings type t, sorted.
func sectionKeys(t reflect.Type) []string {
	var out []string
	for f := range fieldsOf(t) {
		out = append(out, f.Tag.Get("yaml"))
	}
	slices.Sort(out)
	return out
}

// join returns the full name of a key in the section at path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
