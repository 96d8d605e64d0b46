package quarantine

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/safepack"
)

// Record reports to other daemons that an upstream crashed while running a request or, if
// Upstream is empty, that the request completed. Records may be applied in any order and
// repeatedly with the same result. Record is comparable.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Digest   Digest
	Upstream string
	// Millis is the wall-clock time of the event in Unix milliseconds, by the clock of the daemon
	// that detected it.
	Millis int64
	// Answering is set if a part of the response had arrived before the crash.
	Answering bool
	// RanMillis is how long the run had lasted at the crash, in milliseconds.
	RanMillis int64
}

// at returns the time of the event.
func (r Record) at() time.Time { return time.UnixMilli(r.Millis) }

// crashRecord returns the record of a crash.
func crashRecord(d Digest, e Crash) Record {
	return Record{Digest: d, Upstream: e.Upstream, Millis: e.At.UnixMilli(), Answering: e.Answering, RanMillis: e.Ran.Milliseconds()}
}

// completionRecord returns the record of a completion.
func completionRecord(d Digest, at time.Time) Record {
	return Record{Digest: d, Millis: at.UnixMilli()}
}

// Pack encodes a record for the quarantine log.
func (r Record) Pack() ([]byte, error) {
	raw, err := msgpack.Marshal(&r)
	return raw, errors.Wrap(err, "encode quarantine record")
}

// Limits of a valid record: the length of the upstream's name in bytes, and the duration of the
// run in milliseconds.
const (
	maxUpstreamLen = 256
	maxRanMillis   = 24 * 3600 * 1000
)

// Unpack decodes and validates a record that Pack encoded.
func Unpack(raw []byte) (r Record, err error) {
	if err := safepack.Unmarshal(raw, &r); err != nil {
		return r, errors.Wrap(err, "decode quarantine record")
	}
	if len(r.Upstream) > maxUpstreamLen || r.Millis <= 0 || r.RanMillis < 0 || r.RanMillis > maxRanMillis {
		return r, errors.New("quarantine record: a field is out of range")
	}
	return r, nil
}

// apply adds a record to the ledger, and reports whether it was new. A completion is recorded
// even for a request without entry: a daemon that has just started may receive it before the
// earlier crashes that it clears.
func (l *Ledger) apply(r Record) bool {
	if r.Upstream == "" {
		l.entry(r.Digest)
		return l.RecordCompletion(r.Digest, r.at())
	}
	return l.RecordCrash(r.Digest, Crash{Upstream: r.Upstream, At: r.at(), Answering: r.Answering, Ran: time.Duration(r.RanMillis) * time.Millisecond})
}

// recordsOf returns the records from which another daemon can restore the entry of a request.
func (l *Ledger) recordsOf(d Digest) (list []Record) {
	n := l.entries[d]
	if n == nil {
		return nil
	}
	if len(n.crashes) == 0 {
		return []Record{completionRecord(d, n.completed)}
	}
	for _, e := range n.crashes {
		list = append(list, crashRecord(d, e))
	}
	return list
}

// Lift returns a record that removes a request from quarantine. It is a completion record, so
// crashes up to that time no longer count.
func Lift(d Digest, at time.Time) Record { return completionRecord(d, at) }

// Apply applies records; their order does not matter.
func (l *Ledger) Apply(list []Record) {
	for _, r := range list {
		l.apply(r)
	}
}
