package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// namePattern matches the names of instances, data centres and streams.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// tagValidator returns a validator that also has the rules hostport, nodename and ed25519, which
// the validate tags of this package use. Its errors refer to fields by their YAML keys.
var tagValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	own := map[string]func(string) bool{
		"hostport": isHostPort,
		"nodename": namePattern.MatchString,
		"ed25519":  func(s string) bool { _, err := parseKey(s); return err == nil },
	}
	for tag, ok := range own {
		if err := v.RegisterValidation(tag, func(fl validator.FieldLevel) bool { return ok(fl.Field().String()) }); err != nil {
			panic(err) // one of the tag names above is invalid
		}
	}
	return v
})

// Validate checks settings that were not read from a file. Invalid settings result in an *Error
// without a line.
func (s *Settings) Validate() error {
	return validateSettings(s, &keyIndex{file: "settings"})
}

// validateSettings checks each value by the rules of its tag, then the values that depend on
// each other.
func validateSettings(s *Settings, keys *keyIndex) error {
	var violations validator.ValidationErrors
	if err := tagValidator().Struct(s); errors.As(err, &violations) {
		return violationError(violations[0], keys)
	}
	if key, reason := s.conflict(); key != "" {
		return &Error{File: keys.file, Line: keys.lines[key], Key: key, Reason: reason}
	}
	return nil
}

// violationError returns the error for a value that violates the rule of its tag. The error does
// not contain the value: a secret in the wrong key must not get into the logs.
func violationError(f validator.FieldError, keys *keyIndex) error {
	_, key, _ := strings.Cut(f.Namespace(), ".")
	key = mapKeyPattern.ReplaceAllString(key, ".$1")
	e := &Error{File: keys.file, Line: keys.lines[key], Key: key}
	switch f.Tag() {
	case "oneof":
		e.Reason, e.Allowed = "not an allowed value", strings.Fields(f.Param())
	case "hostport":
		e.Reason = "want host:port"
	case "nodename":
		e.Reason = "want letters, digits, dots, dashes and underscores"
	case "ed25519":
		e.Reason = fmt.Sprintf("want the base64 of an ed25519 public key of %d bytes", ed25519.PublicKeySize)
	case "http_url":
		e.Reason = "want an http or https URL"
	case "required":
		e.Reason = "no value"
	case "gtfield":
		e.Reason = "want more than " + strings.ToLower(f.Param())
	default:
		e.Reason = strings.TrimSpace(fmt.Sprintf("want %s %s", comparisonWords[f.Tag()], f.Param()))
	}
	return e
}

// mapKeyPattern matches the key of a map entry in a field name from the validator, such as
// "[ana]" in "authors[ana]", but not the index of a list element, such as "[0]".
var mapKeyPattern = regexp.MustCompile(`\[([^\]0-9][^\]]*|[0-9]+[^\]0-9][^\]]*)\]`)

// comparisonWords holds the wording of the rules that compare with a number, for error messages.
var comparisonWords = map[string]string{
	"min": "at least",
	"max": "at most",
	"gt":  "more than",
	"gte": "at least",
	"lte": "at most",
}

// conflict returns the first key whose value is invalid because of the value of another key, and
// the reason.
func (s *Settings) conflict() (key, reason string) {
	if key, reason := tlsConflict("callers.tls", s.Callers.TLS.CertFile, s.Callers.TLS.KeyFile, s.Callers.TLS.ClientCAFile); key != "" {
		return key, reason
	}
	if key, reason := tlsConflict("admin.tls", s.Admin.TLS.CertFile, s.Admin.TLS.KeyFile, s.Admin.TLS.ClientCAFile); key != "" {
		return key, reason
	}
	if key, reason := tlsConflict("peers.tls", s.Peers.TLS.CertFile, s.Peers.TLS.KeyFile, s.Peers.TLS.CAFile); key != "" {
		return key, reason
	}
	if s.Peers.TLS.CertFile != "" && s.Peers.TLS.CAFile == "" {
		return "peers.tls.ca_file", "needed with cert_file: peers are authenticated by their certificates"
	}
	if minRetention := s.Claims.KeyLifetime*5/4 + 2*maxClockDifference; s.Claims.LogRetention < minRetention {
		return "claims.log_retention", fmt.Sprintf("a key_lifetime of %s needs at least %s: a request whose key is no longer in the log could run again", s.Claims.KeyLifetime, minRetention)
	}
	return s.Admin.conflict()
}

// maxClockDifference is the largest difference between two clocks that package claims expects by
// default.
const maxClockDifference = time.Minute

// Check returns an error if an administration listener must not run with these settings. It is
// for programs that build their own settings; Load makes the same checks.
func (a Admin) Check() error {
	if a.Listen == "" {
		return errors.New("admin.listen: empty")
	}
	key, reason := a.conflict()
	if key == "" {
		key, reason = tlsConflict("admin.tls", a.TLS.CertFile, a.TLS.KeyFile, a.TLS.ClientCAFile)
	}
	if key != "" {
		return errors.Errorf("%s: %s", key, reason)
	}
	return nil
}

// conflict is Settings.conflict for the keys of the administration listener.
func (a Admin) conflict() (key, reason string) {
	if a.Listen == "" {
		return "", ""
	}
	if a.TokenFile == "" {
		return "admin.token_file", "needed when admin.listen is set"
	}
	if !a.TLS.Enabled() && !isLoopbackAddress(a.Listen) {
		return "admin.listen", "without TLS, want a loopback address"
	}
	return "", ""
}

// tlsConflict checks that the files of a TLS section are given together: a certificate needs a
// key and the other way round, and authorities need a certificate.
func tlsConflict(section, cert, key, ca string) (string, string) {
	switch {
	case cert != "" && key == "":
		return section + ".key_file", "needed with cert_file"
	case cert == "" && key != "":
		return section + ".cert_file", "needed with key_file"
	case cert == "" && ca != "":
		return section + ".cert_file", "needed with a file of certificate authorities"
	}
	return "", ""
}

// isHostPort reports whether s is a host, which may be empty, and a numeric port.
func isHostPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || strings.ContainsAny(host, " /\t") {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// isLoopbackAddress reports whether an address can be reached from this machine only. Host names
// are not resolved, so the only one that is accepted is "localhost".
func isLoopbackAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// parseKey decodes a base64 ed25519 public key.
func parseKey(s string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, errors.New("not base64")
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, errors.Errorf("%d bytes, want %d", len(raw), ed25519.PublicKeySize)
	}
	return ed25519.PublicKey(raw), nil
}

// PublicKeys decodes the keys in Authors and Reviewers.
func (b Bundle) PublicKeys() (authors, reviewers map[string]ed25519.PublicKey, err error) {
	if authors, err = parseKeys(b.Authors); err != nil {
		return nil, nil, err
	}
	reviewers, err = parseKeys(b.Reviewers)
	return authors, reviewers, err
}

// parseKeys decodes public keys by key id.
func parseKeys(in map[string]string) (map[string]ed25519.PublicKey, error) {
	out := make(map[string]ed25519.PublicKey, len(in))
	for id, text := range in {
		key, err := parseKey(text)
		if err != nil {
			return nil, errors.Wrapf(err, "public key %s", id)
		}
		out[id] = key
	}
	return out, nil
}
