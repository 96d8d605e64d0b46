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

var nodeName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// rules returns the validator with this package's own rules.
var rules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	own := map[string]func(string) bool{
		"hostport": isHostPort,
		"nodename": nodeName.MatchString,
		"ed25519":  func(s string) bool { _, err := parseKey(s); return err == nil },
	}
	for tag, ok := range own {
		if err := v.RegisterValidation(tag, func(fl validator.FieldLevel) bool { return ok(fl.Field().String()) }); err != nil {
			panic(err) // a tag name is wrong in this file
		}
	}
	return v
})

// Validate checks settings that did not come from a file. Faults are *Error
// values without a line.
func (s *Settings) Validate() error {
	return validateSettings(s, &keyIndex{file: "settings"})
}

func validateSettings(s *Settings, keys *keyIndex) error {
	var faults validator.ValidationErrors
	if err := rules().Struct(s); errors.As(err, &faults) {
		return ruleError(faults[0], keys)
	}
	if key, reason := s.conflict(); key != "" {
		return &Error{File: keys.file, Line: keys.lines[key], Key: key, Reason: reason}
	}
	return nil
}

// ruleError describes a broken rule. It repeats no value: a secret pasted into
// the wrong key must not reach the logs.
func ruleError(f validator.FieldError, keys *keyIndex) error {
	_, key, _ := strings.Cut(f.Namespace(), ".")
	key = mapKey.ReplaceAllString(key, ".$1")
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
		e.Reason = "has to be more than " + strings.ToLower(f.Param())
	default:
		e.Reason = strings.TrimSpace(fmt.Sprintf("want %s %s", ruleWords[f.Tag()], f.Param()))
	}
	return e
}

// mapKey matches the entry of a map, but not the index of a list, in a name
// given by the validator.
var mapKey = regexp.MustCompile(`\[([^\]0-9][^\]]*|[0-9]+[^\]0-9][^\]]*)\]`)

var ruleWords = map[string]string{
	"min": "at least",
	"max": "at most",
	"gt":  "more than",
	"gte": "at least",
}

// conflict returns the first key that does not go with another one.
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
		return "peers.tls.ca_file", "needed with cert_file: peers are known by their certificates"
	}
	if need := s.Claims.KeyLifetime*5/4 + 2*claimMargin; s.Claims.LogRetention < need {
		return "claims.log_retention", fmt.Sprintf("keys kept for %s need %s: a key that the log has dropped would run again", s.Claims.KeyLifetime, need)
	}
	return s.Admin.conflict()
}

// claimMargin is the largest difference of two clocks that package claims assumes.
const claimMargin = time.Minute

// Check returns why an administration listener must not run with these
// settings. Load has checked them; a program that builds its own has not.
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

func (a Admin) conflict() (key, reason string) {
	if a.Listen == "" {
		return "", ""
	}
	if a.TokenFile == "" {
		return "admin.token_file", "needed when admin.listen is set"
	}
	if !a.TLS.Enabled() && !isLoopback(a.Listen) {
		return "admin.listen", "a listener without TLS has to be on a loopback address"
	}
	return "", ""
}

func tlsConflict(section, cert, key, ca string) (string, string) {
	switch {
	case cert != "" && key == "":
		return section + ".key_file", "needed with cert_file"
	case cert == "" && key != "":
		return section + ".cert_file", "needed with key_file"
	case cert == "" && ca != "":
		return section + ".cert_file", "needed with an authorities file"
	}
	return "", ""
}

func isHostPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || strings.ContainsAny(host, " /\t") {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// isLoopback says whether an address can be reached from this machine only. A
// name is resolved by nobody here, so only "localhost" counts among names.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

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

// PublicKeys decodes Authors and Reviewers.
func (b Bundle) PublicKeys() (authors, reviewers map[string]ed25519.PublicKey, err error) {
	if authors, err = parseKeys(b.Authors); err != nil {
		return nil, nil, err
	}
	reviewers, err = parseKeys(b.Reviewers)
	return authors, reviewers, err
}

func parseKeys(in map[string]string) (map[string]ed25519.PublicKey, error) {
	out := make(map[string]ed25519.PublicKey, len(in))
	for id, text := range in {
		key, err := parseKey(text)
		if err != nil {
			return nil, errors.Wrapf(err, "key %s", id)
		}
		out[id] = key
	}
	return out, nil
}
