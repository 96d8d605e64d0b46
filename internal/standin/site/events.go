package site

import (
	"fmt"
	"strings"
)

// Event returns event number i of the stream for a request, as sent; numbers start
// at 1.
func Event(id string, i int) string { return versionedEvent(id, i, DefaultVersion) }

// versionedEvent is Event at a version of the software.
func versionedEvent(id string, i int, version string) string {
	if version != DefaultVersion {
		version = " " + version
	} else {
		version = ""
	}
	return fmt.Sprintf("id: %d\ndata: %s.%d%s\n\n", i, id, i, version)
}

// WithoutVersions returns a part of a stream as the default version would have sent it.
func WithoutVersions(events string) string {
	var b strings.Builder
	for line := range strings.Lines(events) {
		if data, version, named := strings.Cut(line, " v"); named && strings.HasPrefix(line, "data: ") && version != "" {
			line = data + "\n"
		}
		b.WriteString(line)
	}
	return b.String()
}

// EventVersions returns the versions of the software that sent the events in a part of a stream,
// in the order of the events.
func EventVersions(events string) (out []string) {
	for line := range strings.Lines(events) {
		data, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if !ok {
			continue
		}
		_, version, named := strings.Cut(data, " ")
		if !named {
			version = DefaultVersion
		}
		out = append(out, version)
	}
	return out
}

// Stream returns a complete stream of n events, as sent.
func Stream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Event(id, i))
	}
	return b.String()
}
