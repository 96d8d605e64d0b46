package settings

import (
	"fmt"
	"iter"
	"reflect"
	"strings"
	"time"
)

// Field describes one key for the reference page.
type Field struct {
	// Key is the full name, such as "callers.listen".
	Key string
	// Section says that the key holds other keys.
	Section bool
	// Doc, Unit and Default are for people; Default is written as in YAML.
	Doc     string
	Unit    string
	Default string
	// Allowed lists the values, where that is a closed list.
	Allowed []string

	kind reflect.Type
}

// Fields returns every key in the order of the file.
func Fields() []Field {
	return appendFields(nil, "", reflect.ValueOf(*Defaults()))
}

// FieldOf returns the description of one key.
func FieldOf(key string) (Field, bool) { return fieldOf(Fields(), key) }

func fieldOf(fields []Field, key string) (Field, bool) {
	for _, f := range fields {
		if f.Key == key {
			return f, true
		}
	}
	return Field{}, false
}

func appendFields(out []Field, path string, v reflect.Value) []Field {
	for f := range fieldsOf(v.Type()) {
		field := Field{
			Key:     join(path, f.Tag.Get("yaml")),
			Section: f.Type.Kind() == reflect.Struct,
			Doc:     f.Tag.Get("doc"),
			Unit:    f.Tag.Get("unit"),
			Allowed: allowedValues(f.Tag.Get("validate")),
			kind:    f.Type,
		}
		value := v.FieldByIndex(f.Index)
		if field.Section {
			out = appendFields(append(out, field), field.Key, value)
			continue
		}
		field.Default = literal(value)
		out = append(out, field)
	}
	return out
}

// fieldsOf yields the fields of a settings type.
func fieldsOf(t reflect.Type) iter.Seq[reflect.StructField] {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// literal writes a default as YAML.
func literal(v reflect.Value) string {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	switch v.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Slice:
		return "[]"
	case reflect.Map:
		return "{}"
	default:
		return fmt.Sprint(v.Interface())
	}
}

// allowedValues returns the closed list of a validate tag, if it holds one.
func allowedValues(tag string) []string {
	for rule := range strings.SplitSeq(tag, ",") {
		if list, ok := strings.CutPrefix(rule, "oneof="); ok {
			return strings.Fields(list)
		}
	}
	return nil
}

// want says in words what value a key takes.
func (f Field) want() string {
	if f.kind == reflect.TypeFor[time.Duration]() {
		return `a duration such as "500ms"`
	}
	switch f.kind.Kind() {
	case reflect.Struct, reflect.Map:
		return "a section of keys and values"
	case reflect.Slice:
		return "a list"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	default:
		return "a string"
	}
}
