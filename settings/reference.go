package settings

import (
	"fmt"
	"iter"
	"reflect"
	"strings"
	"time"
)

// Field describes one key of a settings file, for the reference page and for error messages.
type Field struct {
	// Key is the full name, such as "callers.listen".
	Key string
	// Section is set if the key is a section, which holds other keys.
	Section bool
	// Doc, Unit and Default are texts for the reader. Default is in YAML syntax.
	Doc     string
	Unit    string
	Default string
	// Allowed lists the valid values if they are a fixed set.
	Allowed []string

	goType reflect.Type
}

// Fields describes every key of the settings file, in the file's order.
func Fields() []Field {
	return appendFields(nil, "", reflect.ValueOf(*Defaults()))
}

// FieldOf returns the description of a key that is given by its full name.
func FieldOf(key string) (Field, bool) { return fieldOf(Fields(), key) }

func fieldOf(fields []Field, key string) (Field, bool) {
	for _, f := range fields {
		if f.Key == key {
			return f, true
		}
	}
	return Field{}, false
}

// appendFields appends the descriptions of the keys of v, a section with its defaults, and of
// the sections in it. path is the full name of the section.
func appendFields(out []Field, path string, v reflect.Value) []Field {
	for f := range fieldsOf(v.Type()) {
		field := Field{
			Key:     join(path, f.Tag.Get("yaml")),
			Section: f.Type.Kind() == reflect.Struct,
			Doc:     f.Tag.Get("doc"),
			Unit:    f.Tag.Get("unit"),
			Allowed: allowedValues(f.Tag.Get("validate")),
			goType:  f.Type,
		}
		value := v.FieldByIndex(f.Index)
		if field.Section {
			out = appendFields(append(out, field), field.Key, value)
			continue
		}
		field.Default = yamlLiteral(value)
		out = append(out, field)
	}
	return out
}

// fieldsOf iterates over the fields of a settings struct.
func fieldsOf(t reflect.Type) iter.Seq[reflect.StructField] {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// yamlLiteral returns a default in YAML syntax. Lists and maps have empty defaults.
func yamlLiteral(v reflect.Value) string {
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

// allowedValues returns the values that the oneof rule of a validate tag lists, or nil.
func allowedValues(tag string) []string {
	for rule := range strings.SplitSeq(tag, ",") {
		if list, ok := strings.CutPrefix(rule, "oneof="); ok {
			return strings.Fields(list)
		}
	}
	return nil
}

// expectedValue describes the type of the key's value for error messages that begin with "want".
func (f Field) expectedValue() string {
	if f.goType == reflect.TypeFor[time.Duration]() {
		return `a duration such as "500ms"`
	}
	switch f.goType.Kind() {
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
