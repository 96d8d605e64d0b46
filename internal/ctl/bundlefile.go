package ctl

import (
	_ "embed"
	"maps"
	"net/http"
	"os"
	"slices"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
)

//go:embed starter.yaml
var starter []byte

type newCmd struct {
	Out string `short:"o" help:"File to write; must not exist. Without it the bundle is printed." placeholder:"FILE"`
}

// Run writes the starter bundle.
func (c *newCmd) Run(env *runEnv) error {
	if c.Out == "" {
		env.printf("%s", starter)
		return nil
	}
	if err := writeNew(c.Out, starter, publicMode); err != nil {
		return err
	}
	env.printf("wrote %s\n", c.Out)
	return nil
}

type checkCmd struct {
	File    string `arg:"" help:"Bundle file."`
	Weights string `help:"URL of the weight store, to check that it holds the models' versions." placeholder:"URL" env:"CORIANDERCTL_WEIGHTS"`
}

// Run checks a bundle file.
func (c *checkCmd) Run(env *runEnv) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	if err := c.checkWeights(env, b); err != nil {
		return err
	}
	env.printf("%s is good: %d models, %d pools, %d upstreams, %d services, %d teams\n",
		c.File, len(b.Models), len(b.Pools), len(b.Upstreams), len(b.Services), len(b.Teams))
	return nil
}

// checkWeights refuses a bundle that names weights the store does not hold: its
// engines would be ordered to load them again and again, and serve nothing.
func (c *checkCmd) checkWeights(env *runEnv, b *bundle.Bundle) error {
	if c.Weights == "" {
		return nil
	}
	store := infra.NewWeights(c.Weights, http.DefaultClient)
	for _, model := range slices.Sorted(maps.Keys(b.Models)) {
		version := b.Models[model].Version
		held, err := store.Exists(env.ctx, model, version)
		if err != nil {
			return err
		}
		if !held {
			return errors.Errorf("models.%s.version: the weight store does not hold version %q", model, version)
		}
	}
	return nil
}

// inForceName stands for the version in force in place of a file.
const inForceName = "in-force"

type diffCmd struct {
	From   string `arg:"" help:"Bundle file, or 'in-force'."`
	To     string `arg:"" help:"Bundle file, or 'in-force'."`
	Log    string `help:"URL of the log service, for 'in-force'." placeholder:"URL" env:"CORIANDERCTL_LOG"`
	Stream string `help:"The log's stream of bundle records." default:"${stream}"`
	Trust  string `help:"YAML file with the public keys, for 'in-force'." placeholder:"FILE" env:"CORIANDERCTL_TRUST"`
}

// Run shows the operations from one bundle to another.
func (c *diffCmd) Run(env *runEnv) error {
	from, err := c.load(env, c.From)
	if err != nil {
		return err
	}
	to, err := c.load(env, c.To)
	if err != nil {
		return err
	}
	printDelta(env, from, bundle.Diff(from, to))
	return nil
}

func (c *diffCmd) load(env *runEnv, name string) (*bundle.Bundle, error) {
	if name != inForceName {
		return readBundle(name)
	}
	if c.Log == "" || c.Trust == "" {
		return nil, usageError{errors.New("'in-force' needs --log and --trust")}
	}
	_, v, err := logFlags{Log: c.Log, Stream: c.Stream, trustFlags: trustFlags{Trust: c.Trust}}.openInForce(env)
	if err != nil {
		return nil, err
	}
	return contentOf(v), nil
}

// readRecord reads a draft or a signed record.
func readRecord(path string) (*bundle.Record, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	if info.Size() > bundle.MaxRecord {
		return nil, errors.Errorf("%s: %d bytes exceed %d", path, info.Size(), bundle.MaxRecord)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	r, err := bundle.DecodeRecord(data)
	return r, errors.Wrap(err, path)
}
