package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"os"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
)

const (
	// secretMode is the mode of files that hold a private key.
	secretMode = 0o600
	// publicMode is the mode of all other files.
	publicMode = 0o644
	// teamKeyBytes is the number of random bytes in a team's key.
	teamKeyBytes = 32
)

// keygenCmd generates a signing key.
type keygenCmd struct {
	ID  string `arg:"" help:"Id of the key in the daemons' settings."`
	Out string `required:"" short:"o" help:"File for the private key; must not exist." placeholder:"FILE"`
}

// Run generates a key pair. It writes the private key to a file and prints the public key.
func (c *keygenCmd) Run(env *runEnv) error {
	key, err := bundle.GenerateKey(c.ID)
	if err != nil {
		return usageError{err}
	}
	data, err := bundle.MarshalKey(key)
	if err != nil {
		return err
	}
	if err := writeNew(c.Out, data, secretMode); err != nil {
		return err
	}
	env.printf("private key: %s\npublic key, for the authors or reviewers of the trust settings:\n  %s: %s\n",
		c.Out, key.ID, bundle.FormatPublicKey(key.Public()))
	return nil
}

// writeNew writes a file that must not exist yet. Otherwise repeating a command could
// overwrite a private key that is still needed.
func writeNew(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write")
}

// readKey reads a private key. It returns an error if the file's mode gives access to the
// group or to other users.
func readKey(path string) (bundle.Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return bundle.Key{}, errors.Wrap(err, "read key")
	}
	if info.Mode().Perm()&0o077 != 0 {
		return bundle.Key{}, errors.Errorf("%s: others may read this private key (mode %04o); run chmod 600", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.Key{}, errors.Wrap(err, "read key")
	}
	key, err := bundle.ParseKey(data)
	return key, errors.Wrap(err, path)
}

// teamKeyCmd generates a bearer key for a team.
type teamKeyCmd struct{}

// Run prints a new team key and its digest. The key is the only secret that corianderctl
// prints: it is stored nowhere, and the operator must pass it on to the team.
func (*teamKeyCmd) Run(env *runEnv) error {
	raw := make([]byte, teamKeyBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.Wrap(err, "generate key")
	}
	key := base64.RawURLEncoding.EncodeToString(raw)
	digest := sha256.Sum256([]byte(key))
	env.printf("key (give it to the team, it is kept nowhere): %s\nkey_digests entry for the bundle:               %s\n",
		key, hex.EncodeToString(digest[:]))
	return nil
}

// trustFlags are the flags that specify the trusted keys.
type trustFlags struct {
	Trust string `required:"" help:"YAML file with the authors' and reviewers' public keys, as in the daemons' settings." placeholder:"FILE" env:"CORIANDERCTL_TRUST"`
}

// load reads the trust file.
func (f trustFlags) load() (bundle.Trust, error) {
	var conf bundle.TrustConfig
	if _, err := readYAML(f.Trust, &conf); err != nil {
		return bundle.Trust{}, err
	}
	trust, err := conf.Trust()
	return trust, errors.Wrap(err, f.Trust)
}
