package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Error reports an invalid settings file.
type Error struct {
	// File is the name given to Load. Line counts from 1 and is 0 if the key is not in the
	// file.
	File string
	Line int
	// Key is the full name of the key, such as "callers.listen", or empty if the error is not
	// about a key.
	Key string
	// Reason is what is wrong with the key's value or with the file.
	Reason string
	// Allowed lists the valid keys or values if they are a fixed set.
	Allowed []string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(e.Reason)
	if len(e.Allowed) > 0 {
		fmt.Fprintf(&b, "; allowed: %s", strings.Join(e.Allowed, ", "))
	}
	return b.String()
}

// Load reads and validates a settings file. Keys that the file does not set have their
// defaults. An invalid file results in an *Error.
func Load(file string) (*Settings, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, data)
}

// readFile reads at most one byte more than MaxFileBytes, so that decodeInto can reject a file
// that is too large.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	return data, errors.Wrapf(err, "read %s", file)
}

// Decode is Load for content that has been read already. The file name is used in errors only.
func Decode(file string, data []byte) (*Settings, error) {
	s := Defaults()
	keys := &keyIndex{file: file, lines: map[string]int{}, fields: Fields()}
	if err := decodeInto(s, keys, data); err != nil {
		return nil, err
	}
	if err := validateSettings(s, keys); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeInto decodes the content of a file into s, which holds the defaults.
func decodeInto(s any, keys *keyIndex, data []byte) error {
	file := keys.file
	if len(data) > MaxFileBytes {
		return &Error{File: file, Reason: fmt.Sprintf("larger than %d bytes", MaxFileBytes)}
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return syntaxError(file, nil, err)
	}
	body, err := singleDocument(file, tree)
	if err != nil || body == nil {
		return err
	}
	if err := keys.checkDocument(reflect.TypeOf(s).Elem(), body); err != nil {
		return err
	}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(s); err != nil {
		return syntaxError(file, keys, err)
	}
	return nil
}

// singleDocument returns the body of the file's single YAML document, or nil for a file that has
// only comments.
func singleDocument(file string, tree *ast.File) (ast.Node, error) {
	var body ast.Node
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, &Error{File: file, Line: nodeLine(doc.Body), Reason: "more than one YAML document"}
		}
		body = doc.Body
	}
	return body, nil
}

// syntaxError converts an error of the YAML library into an Error. keys provides the name of the
// key on the line; it is nil before the keys have been read.
func syntaxError(file string, keys *keyIndex, err error) error {
	e := &Error{File: file, Reason: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		e.Reason = y.GetMessage()
		if tok := y.GetToken(); tok != nil && tok.Position != nil {
			e.Line = tok.Position.Line
		}
	}
	if keys == nil {
		return e
	}
	e.Key = keys.keyAtLine(e.Line)
	if f, ok := keys.field(e.Key); ok {
		e.Reason = fmt.Sprintf("want %s", f.expectedValue())
		e.Allowed = f.Allowed
	}
	return e
}

// nodeLine returns the line number of a node, or 0 if it is unknown.
func nodeLine(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}
