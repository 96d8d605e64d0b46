// Package telemetry sets up log lines and metrics. Nothing in it is global:
// a process may hold several daemons, each with its own logger and registry.
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
		return nil, errors.Errorf("log format %q", format)
	}
	return &log.Logger{Handler: &redactor{next: h}, Level: lv}, nil
}

const redacted = "redacted"

// secretName matches the names of fields whose values are never written.
// Counts such as prompt_tokens and names such as key_id do not match.
var secretName = regexp.MustCompile(`(?i)^(.*[_-])?(authorization|token|key|secret|password|cookie)$`)

// secretText matches credentials inside a text.
var secretText = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[A-Za-z0-9._~+/=-]+`)

// redactor masks secrets before a line is written. Callers don't log secrets;
// this keeps one that slips into an error text or a field out of the logs,
// where it would otherwise be found by whoever reads them.
type redactor struct {
	next log.Handler
	// secret keeps by field name what secretName says: names are few, and the
	// expression takes longer than the rest of a line.
	secret sync.Map
}

// HandleLog implements log.Handler.
func (r *redactor) HandleLog(e *log.Entry) error {
	c := *e
	c.Message = mask(e.Message)
	c.Fields = make(log.Fields, len(e.Fields))
	for name, v := range e.Fields {
		c.Fields[name] = r.maskField(name, v)
	}
	return r.next.HandleLog(&c)
}

func (r *redactor) maskField(name string, v any) any {
	secret, known := r.secret.Load(name)
	if !known {
		secret = secretName.MatchString(name)
		r.secret.Store(name, secret)
	}
	if secret == true {
		return redacted
	}
	switch t := v.(type) {
	case string:
		return mask(t)
	case error:
		return mask(t.Error())
	}
	return v
}

func mask(s string) string {
	// The test is much cheaper than the expression, and most texts fail it.
	if !strings.ContainsAny(s, " \t") {
		return s
	}
	return secretText.ReplaceAllString(s, "$1 "+redacted)
}
