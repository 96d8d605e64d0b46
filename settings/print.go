package settings

import (
	"bufio"
	"fmt"
	"io"
	"net/url"
	"strings"
)

// PrintDefaults writes a commented file with every key at its default. The
// output is a valid file.
func PrintDefaults(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, "# Every key of the settings, at its default.")
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

// Redacted returns a copy that may be logged: passwords in URLs are masked.
// Files with secrets are named in settings but their content is not.
func (s *Settings) Redacted() *Settings {
	c := *s
	c.Platform.LogURL = redactURL(s.Platform.LogURL)
	c.Platform.InstancesURL = redactURL(s.Platform.InstancesURL)
	return &c
}

// redactURL masks the password and the query, where tokens are put too.
func redactURL(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return "unreadable URL"
	}
	if u.RawQuery != "" {
		u.RawQuery = "redacted"
	}
	return u.Redacted()
}
