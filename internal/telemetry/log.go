// Package telemetry provides logging and metrics. It has no global state, so that several
// daemons can run in one process, each with its own logger and metrics registry.
package telemetry

import (
	"io"
	"regexp"
	"strings"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/pkg/errors"
)

// The log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// NewLogger returns a logger that writes to w, usually standard error. Level is
// "debug", "info", "warn" or "error"; format is FormatText or FormatJSON.
func NewLogger(w io.Writer, level, format string) (*log.Logger, error) {
	lv, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	var h log.Handler
	switch format {
	case FormatText:
		h = logfmt.New(w)
	case FormatJSON:
		h = json.New(w)
	default:
		return nil, errors.Errorf("unknown log format %q", format)
	}
	return &log.Logger{Handler: &redactor{next: h}, Level: lv}, nil
}

// redactedText replaces a masked value.
const redactedText = "redacted"

// secretNamePattern matches the names of log fields whose values are always masked.
// Counts such as prompt_tokens and names such as key_id do not match.
var secretNamePattern = regexp.MustCompile(`(?i)^(.*[_-])?(authorization|token|key|secret|password|cookie)$`)

// credentialPattern matches the credentials of an Authorization header inside a text.
var credentialPattern = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[A-Za-z0-9._~+/=-]+`)

// redactor is a log handler that masks secrets. Callers do not log secrets on purpose;
// the redactor is a second barrier against one that gets into an error text or a field.
// Everyone who may read the logs could use it.
type redactor struct {
	next log.Handler
	// isSecret caches by field name whether secretNamePattern matches. There are few
	// names, and matching takes longer than the rest of the work on a line.
	isSecret sync.Map
}

// HandleLog implements log.Handler.
func (r *redactor) HandleLog(e *log.Entry) error {
	c := *e
	c.Message = maskCredentials(e.Message)
	c.Fields = make(log.Fields, len(e.Fields))
	for name, v := range e.Fields {
		c.Fields[name] = r.maskField(name, v)
	}
	return r.next.HandleLog(&c)
}

// maskField returns the value to log for a field.
func (r *redactor) maskField(name string, v any) any {
	matched, cached := r.isSecret.Load(name)
	if !cached {
		matched = secretNamePattern.MatchString(name)
		r.isSecret.Store(name, matched)
	}
	if matched == true {
		return redactedText
	}
	switch t := v.(type) {
	case string:
		return maskCredentials(t)
	case error:
		return maskCredentials(t.Error())
	}
	return v
}

// maskCredentials returns s with all credentials replaced by redactedText.
func maskCredentials(s string) string {
	// This test is much cheaper than the regular expression. Most texts contain no
	// whitespace and so cannot match.
	if !strings.ContainsAny(s, " \t") {
		return s
	}
	return credentialPattern.ReplaceAllString(s, "$1 "+redactedText)
}
