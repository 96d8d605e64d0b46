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

// maxYAML bounds a YAML file, in bytes.
const maxYAML = 32 << 20

// places maps the path of a field to its line.
type places map[string]int

// readYAML decodes a file strictly into out, a pointer to a struct. Its errors
// name the file, the line and, for an unknown key, the allowed ones.
func readYAML(path string, out any) (places, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if len(data) > maxYAML {
		return nil, errors.Errorf("%s: %d bytes exceed %d", path, len(data), maxYAML)
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, locate(path, err)
	}
	if len(file.Docs) != 1 {
		return nil, errors.Errorf("%s: one YAML document is wanted, not %d", path, len(file.Docs))
	}
	w := &walker{file: path, lines: places{}}
	if err := w.walk(file.Docs[0].Body, reflect.TypeOf(out).Elem(), ""); err != nil {
		return nil, err
	}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	return w.lines, locate(path, dec.Decode(out))
}

// locate puts the file and line in front of a decoding error.
func locate(path string, err error) error {
	if err == nil {
		return nil
	}
	var at yaml.Error
	if !errors.As(err, &at) || at.GetToken() == nil {
		return errors.Wrap(err, path)
	}
	return errors.Errorf("%s:%d: %s", path, at.GetToken().Position.Line, at.GetMessage())
}

// walker checks keys against the types they are decoded into and notes where
// each field stands.
type walker struct {
	file  string
	lines places
}

func (w *walker) walk(node ast.Node, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch n := node.(type) {
	case *ast.AnchorNode:
		return w.walk(n.Value, t, path)
	case *ast.TagNode:
		return w.walk(n.Value, t, path)
	case *ast.SequenceNode:
		if t.Kind() != reflect.Slice {
			return nil // the decoder reports the wrong type
		}
		for i, value := range n.Values {
			at := path + "[" + strconv.Itoa(i) + "]"
			w.lines[at] = value.GetToken().Position.Line
			if err := w.walk(value, t.Elem(), at); err != nil {
				return err
			}
		}
	case *ast.MappingNode:
		for _, value := range n.Values {
			if err := w.field(value, t, path); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *walker) field(value *ast.MappingValueNode, t reflect.Type, path string) error {
	key := value.Key.GetToken()
	at := strings.TrimPrefix(path+"."+key.Value, ".")
	w.lines[at] = key.Position.Line
	switch t.Kind() {
	case reflect.Map:
		return w.walk(value.Value, t.Elem(), at)
	case reflect.Struct:
		names, types := fields(t)
		i := slices.Index(names, key.Value)
		if i < 0 {
			return errors.Errorf("%s:%d: unknown key %q%s; allowed: %s",
				w.file, key.Position.Line, key.Value, within(path), strings.Join(names, ", "))
		}
		return w.walk(value.Value, types[i], at)
	}
	return nil
}

func within(path string) string {
	if path == "" {
		return ""
	}
	return " in " + path
}

// fields returns a struct's YAML keys and their types.
func fields(t reflect.Type) (names []string, types []reflect.Type) {
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

// readBundle reads, checks and normalises a bundle file.
func readBundle(path string) (*bundle.Bundle, error) {
	var b bundle.Bundle
	lines, err := readYAML(path, &b)
	if err != nil {
		return nil, err
	}
	if err := bundle.Validate(&b); err != nil {
		return nil, withLines(path, lines, err)
	}
	return &b, nil
}

// withLines adds the file and line to each problem that Validate found. A field
// that is missing gets the line of the entry it is missing from.
func withLines(path string, lines places, err error) error {
	var invalid *bundle.InvalidError
	if !errors.As(err, &invalid) {
		return errors.Wrap(err, path)
	}
	out := make([]string, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		out = append(out, fmt.Sprintf("%s:%d: %s: %s", path, lines.find(p.Path), p.Path, p.Text))
	}
	return errors.New(strings.Join(out, "\n"))
}

// find returns the line of a path, or of the nearest one around it.
func (p places) find(path string) int {
	for path != "" {
		if line, ok := p[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}
