package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestDecodeAttached(t *testing.T) {
	s, err := DecodeAttached("node.yaml", []byte(`
instance: {name: "front-1", data_centre: "a"}
callers: {listen: "10.1.0.35:8144"}
store: {address: "10.200.1.7:8142"}
retries: {ratio: 0.2, slack: 54, window: 10s}
drain: {grace: 8s}
limits: {memory_mb: 134, descriptors: 4100, cores: 1}
`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance.Name != "front-1" || s.Retries.Slack != 54 || s.Drain.Grace != 8*time.Second || s.Store.ContactTimeout != AttachedDefaults().Store.ContactTimeout {
		t.Errorf("settings %+v", s)
	}
}

// Each error is a single line that names the file, line, key and reason.
func TestDecodeAttachedFaults(t *testing.T) {
	for text, want := range map[string]string{
		"callers: {listen: nowhere}":                 "node.yaml:1: callers.listen: want host:port",
		"store: {host: \"a:1\"}":                     "node.yaml:1: store.host: unknown key; allowed: ",
		"drain: {grace: 8}":                          "node.yaml:1: drain.grace: want ",
		"limits: {memory_mb: 1}":                     "node.yaml:1: limits.memory_mb: want at least 16",
		"limits:\n  answers_share: 0":                "node.yaml:2: limits.answers_share: want more than 0",
		"limits:\n  answers_share: 0.6":              "node.yaml:2: limits.answers_share: want at most 0.5",
		"limits: {answers_share: much}":              "node.yaml:1: limits.answers_share: ",
		"retries: {ratio: 2}":                        "node.yaml:1: retries.ratio: want",
		"claims: {shards: 4}":                        "node.yaml:1: claims: unknown key; allowed: ",
		"instance: [1]":                              "node.yaml:1: instance: want a section",
		"log: {level: loud, format: json}":           "node.yaml:1: log.level: not an allowed value; allowed: ",
		"policy: {seed: x}":                          "node.yaml:1: policy.seed: ",
		"callers: {body_timeout: -1s}":               "node.yaml:1: callers.body_timeout: want more than 0",
		"hedging: {share: 1.5}":                      "node.yaml:1: hedging.share: want at most 1",
		"drain: {grace: 8s}\nhedging: {share: -0.1}": "node.yaml:2: hedging.share: want at least 0",
		"hedging: {share: most}":                     "node.yaml:1: hedging.share: want a number",
		"admission: {mode: sometimes}":               "node.yaml:1: admission.mode: not an allowed value; allowed: ranked, always, off",
		"services: {forecast: on}":                   "node.yaml:1: services.forecast: not an allowed value; allowed: paced, off",
	} {
		_, err := DecodeAttached("node.yaml", []byte(text))
		var decodeErr *Error
		if !errors.As(err, &decodeErr) || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}
