package ctl

import (
	_ "embed"
	"maps"
	"os"
	"slices"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
)

// starterBundle is the content of the file that the command bundle new writes.
//
//go:embed starter.yaml
var starterBundle []byte

// newCmd writes a starter bundle.
type newCmd struct {
	Out string `short:"o" help:"File to write; must not exist. Without it the bundle is printed." placeholder:"FILE"`
}

// Run writes the starter bundle to the file or to standard output.
func (c *newCmd) Run(env *runEnv) error {
	if c.Out == "" {
		env.printf("%s", starterBundle)
		return nil
	}
	if err := writeNew(c.Out, starterBundle, publicMode); err != nil {
		return err
	}
	env.printf("wrote %s\n", c.Out)
	return nil
}

// checkCmd validates a bundle file.
type checkCmd struct {
	File    string `arg:"" help:"Bundle file."`
	Weights string `help:"URL of the weight store; with it, the command also checks that the store has the weights of all models." placeholder:"URL" env:"CORIANDERCTL_WEIGHTS"`
}

// Run validates the bundle file and, if there is a weight store, its models' versions.
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

// checkWeights returns an error if the weight store lacks the weights of a model. With
// such a bundle in force, the model's engines would get orders to load the weights again
// and again, and could not serve any request.
func (c *checkCmd) checkWeights(env *runEnv, b *bundle.Bundle) error {
	if c.Weights == "" {
		return nil
	}
	store := infra.NewWeights(c.Weights, env.HTTP)
	for _, model := range slices.Sorted(maps.Keys(b.Models)) {
		version := b.Models[model].Version
		exists, err := store.Exists(env.ctx, model, version)
		if err != nil {
			return err
		}
		if !exists {
			return errors.Errorf("models.%s.version: the weight store does not hold version %q", model, version)
		}
	}
	return nil
}

// inForceName is the argument that selects the version in force instead of a file.
const inForceName = "in-force"

// diffCmd prints the differences between two bundles.
type diffCmd struct {
	From   string `arg:"" help:"Bundle file, or 'in-force'."`
	To     string `arg:"" help:"Bundle file, or 'in-force'."`
	Log    string `help:"URL of the log service, for 'in-force'." placeholder:"URL" env:"CORIANDERCTL_LOG"`
	Stream string `help:"The log's stream of bundle records." default:"${stream}"`
	Trust  string `help:"YAML file with the public keys, for 'in-force'." placeholder:"FILE" env:"CORIANDERCTL_TRUST"`
}

// Run prints the operations that change the first bundle into the second.
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

// load reads a bundle file, or the version in force from the log.
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
	return bundleOf(v), nil
}

// readRecord reads a file with a draft or a signed record. It does not verify signatures.
func readRecord(path string) (*bundle.Record, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	if info.Size() > bundle.MaxRecord {
		return nil, errors.Errorf("%s: %d bytes exceed the maximum of %d", path, info.Size(), bundle.MaxRecord)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	r, err := bundle.DecodeRecord(data)
	return r, errors.Wrap(err, path)
}
