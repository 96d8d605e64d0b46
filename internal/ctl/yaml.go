package ctl

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
)

// maxYAML is the maximum size of a YAML file, in bytes.
const maxYAML = 32 << 20

// lineNumbers maps the path of a field, such as pools.a.slots, to its line in the file.
type lineNumbers map[string]int

// readYAML decodes a file into out, a pointer to a struct, and returns the lines of the
// fields. Unknown and duplicate keys are errors. Errors contain the file name and the line,
// and for an unknown key the allowed ones.
func readYAML(path string, out any) (lineNumbers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if len(data) > maxYAML {
		return nil, errors.Errorf("%s: %d bytes exceed the maximum of %d", path, len(data), maxYAML)
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, withPosition(path, err)
	}
	if len(file.Docs) != 1 {
		return nil, errors.Errorf("%s: want one YAML document, got %d", path, len(file.Docs))
	}
	w := &keyChecker{file: path, lines: lineNumbers{}}
	if err := w.checkNode(file.Docs[0].Body, reflect.TypeOf(out).Elem(), ""); err != nil {
		return nil, err
	}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	return w.lines, withPosition(path, dec.Decode(out))
}

// positionError is a decoding error at a line of a file.
type positionError struct {
	file string
	line int
	text string
}

// Error implements error.
func (e *positionError) Error() string { return fmt.Sprintf("%s:%d: %s", e.file, e.line, e.text) }

// withPosition adds the file name and the line to a decoding error.
func withPosition(path string, err error) error {
	if err == nil {
		return nil
	}
	var at yaml.Error
	if !errors.As(err, &at) || at.GetToken() == nil {
		return errors.Wrap(err, path)
	}
	return errors.WithStack(&positionError{path, at.GetToken().Position.Line, at.GetMessage()})
}

// keyChecker checks the keys of a YAML document against the types into which it is decoded,
// and records the line of each field.
type keyChecker struct {
	file  string
	lines lineNumbers
}

// checkNode checks the keys of a node that is decoded into type t. path is the node's path,
// empty for the document.
func (w *keyChecker) checkNode(node ast.Node, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch n := node.(type) {
	case *ast.AnchorNode:
		return w.checkNode(n.Value, t, path)
	case *ast.TagNode:
		return w.checkNode(n.Value, t, path)
	case *ast.SequenceNode:
		if t.Kind() != reflect.Slice {
			return nil // the decoder reports the wrong type
		}
		for i, value := range n.Values {
			elemPath := path + "[" + strconv.Itoa(i) + "]"
			w.lines[elemPath] = value.GetToken().Position.Line
			if err := w.checkNode(value, t.Elem(), elemPath); err != nil {
				return err
			}
		}
	case *ast.MappingNode:
		for _, value := range n.Values {
			if err := w.checkField(value, t, path); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkField records the line of a mapping's entry and checks its key and value. t is the
// type of the mapping and path its path.
func (w *keyChecker) checkField(value *ast.MappingValueNode, t reflect.Type, path string) error {
	key := value.Key.GetToken()
	fieldPath := strings.TrimPrefix(path+"."+key.Value, ".")
	w.lines[fieldPath] = key.Position.Line
	switch t.Kind() {
	case reflect.Map:
		return w.checkNode(value.Value, t.Elem(), fieldPath)
	case reflect.Struct:
		names, types := yamlFields(t)
		i := slices.Index(names, key.Value)
		if i < 0 {
			return errors.WithStack(&positionError{w.file, key.Position.Line,
				fmt.Sprintf("unknown key %q%s; allowed: %s", key.Value, inPath(path), strings.Join(names, ", "))})
		}
		return w.checkNode(value.Value, types[i], fieldPath)
	}
	return nil
}

// inPath returns the part of an error message that names the enclosing field; empty at the
// top level.
func inPath(path string) string {
	if path == "" {
		return ""
	}
	return " in " + path
}

// yamlFields returns the YAML keys of a struct's fields and the fields' types.
func yamlFields(t reflect.Type) (names []string, types []reflect.Type) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		names = append(names, name)
		types = append(types, t.Field(i).Type)
	}
	return names, types
}

// readBundle reads and validates a bundle file.
func readBundle(path string) (*bundle.Bundle, error) {
	var b bundle.Bundle
	lines, err := readYAML(path, &b)
	if err != nil {
		return nil, err
	}
	if err := bundle.Validate(&b); err != nil {
		return nil, withProblemLines(path, lines, err)
	}
	return &b, nil
}

// withProblemLines adds the file name and the line to each problem that bundle.Validate
// found. A missing field gets the line of the entry that lacks it.
func withProblemLines(path string, lines lineNumbers, err error) error {
	var invalid *bundle.InvalidError
	if !errors.As(err, &invalid) {
		return errors.Wrap(err, path)
	}
	out := make([]string, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		out = append(out, fmt.Sprintf("%s:%d: %s: %s", path, lines.nearest(p.Path), p.Path, p.Text))
	}
	return errors.New(strings.Join(out, "\n"))
}

// nearest returns the line of a path, or else of the innermost enclosing field that has a
// line, or else 1.
func (p lineNumbers) nearest(path string) int {
	for path != "" {
		if line, ok := p[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}
