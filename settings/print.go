package settings

import (
	"bufio"
	"fmt"
	"io"
	"net/url"
	"strings"
)

// PrintDefaults writes a settings file that sets every key to its default and documents each in
// a comment. Load accepts the output.
func PrintDefaults(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, "# All settings with their defaults.")
	for _, f := range Fields() {
		depth := strings.Count(f.Key, ".")
		indent := strings.Repeat("  ", depth)
		name := f.Key[strings.LastIndex(f.Key, ".")+1:]
		if depth == 0 {
			fmt.Fprintln(out)
		}
		fmt.Fprintf(out, "%s# %s\n", indent, f.comment())
		if f.Section {
			fmt.Fprintf(out, "%s%s:\n", indent, name)
			continue
		}
		fmt.Fprintf(out, "%s%s: %s\n", indent, name, f.Default)
	}
	return out.Flush()
}

// comment returns the documentation of a key with its unit and allowed values.
func (f Field) comment() string {
	s := f.Doc
	if f.Unit != "" {
		s += " [" + f.Unit + "]"
	}
	if len(f.Allowed) > 0 {
		s += " (" + strings.Join(f.Allowed, ", ") + ")"
	}
	return s
}

// Redacted returns a copy that may be logged: passwords and queries in URLs are masked. Other
// secrets are in files of which the settings hold only the names.
func (s *Settings) Redacted() *Settings {
	c := *s
	c.Platform.LogURL = redactURL(s.Platform.LogURL)
	c.Platform.InstancesURL = redactURL(s.Platform.InstancesURL)
	return &c
}

// redactURL masks the password and the query of a URL; a query may hold a token.
func redactURL(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return "invalid URL"
	}
	if u.RawQuery != "" {
		u.RawQuery = "redacted"
	}
	return u.Redacted()
}
