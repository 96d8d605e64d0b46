// Package origin remembers at which software version streams began, so that a stream that a caller
// takes up after a broken connection goes on at that version, whichever daemon gets the new try.
// What two versions generate does not fit together, and upstreams do not check it.
//
// A daemon records each stream at its first event. It keeps the record, and sends it to two other
// daemons; the reader of a data centre (see package relay) appends what it gets to the platform's
// log. A daemon that is asked for a stream without a record here asks the others, and a reader
// reads the log. A caller that names no try has no record; its stream goes on if the service has
// had a single version for as long as a stream may last. Everything else is refused at once.
package origin

import (
	"crypto/sha256"
	"time"
	"unique"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/safepack"
)

// ID identifies a caller's try. It covers the team, so that no team can name the streams of
// another one.
type ID [16]byte

// IDOf returns the ID of the try with an id of a team.
func IDOf(team, try string) ID {
	sum := sha256.Sum256([]byte(team + "\x00" + try))
	return ID(sum[:len(ID{})])
}

// Record tells where a stream began.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	ID ID
	// Service and Version are those of the upstream that generated the first event, Upstream is
	// its name, and Born its incarnation (see fleet.Registration).
	Service, Version, Upstream string
	Born                       int64
	// BeganMillis is the time of the first event in Unix milliseconds, by the clock of the daemon
	// that made the record, and LifeMillis how long the record is of use from then on.
	BeganMillis, LifeMillis int64
}

// Limits of a valid record, in bytes and in time.
const (
	maxNameBytes = 256
	maxLife      = time.Hour
)

// Age returns the time since the first event.
func (r Record) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(r.BeganMillis)) }

// sameOrigin reports whether two records name one service and one version.
func (r Record) sameOrigin(o Record) bool { return r.Service == o.Service && r.Version == o.Version }

// validate returns an error for a record that no daemon makes.
func (r Record) validate() error {
	for _, s := range []string{r.Service, r.Version, r.Upstream} {
		if s == "" || len(s) > maxNameBytes {
			return errors.New("origin record: a name is empty or too long")
		}
	}
	if r.LifeMillis <= 0 || r.LifeMillis > maxLife.Milliseconds() || r.BeganMillis <= 0 {
		return errors.New("origin record: a time is out of range")
	}
	return nil
}

// interned returns the record with strings that it shares with all other records: there are far
// fewer upstreams than streams.
func (r Record) interned() Record {
	for _, s := range []*string{&r.Service, &r.Version, &r.Upstream} {
		*s = unique.Make(*s).Value()
	}
	return r
}

// Pack encodes a record for the platform's log.
func (r Record) Pack() ([]byte, error) {
	raw, err := msgpack.Marshal(&r)
	return raw, errors.Wrap(err, "encode origin record")
}

// Unpack decodes and validates a record that Pack encoded.
func Unpack(raw []byte) (r Record, err error) {
	if err := safepack.Unmarshal(raw, &r); err != nil {
		return r, errors.Wrap(err, "decode origin record")
	}
	return r, r.validate()
}
