package relay

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/ratelimit"
)

// Peer describes a daemon that may read the store for others.
type Peer struct {
	Instance   string `msgpack:"i"`
	DataCentre string `msgpack:"d"`
	// Address is the host:port on which the daemon's Server listens.
	Address string `msgpack:"a"`
	// Weight is the daemon's capacity: the smaller of its CPU in thousandths of a core and
	// its link bandwidth in tenths of a Mbit/s.
	Weight int `msgpack:"w,omitempty"`
	// Boot tells one life of the daemon's process from the next; 0 if unknown.
	Boot uint64 `msgpack:"b,omitempty"`
	// CutOff is set if the daemon has lost its network path to the upstreams.
	CutOff bool `msgpack:"x,omitempty"`
}

// Succession lists the daemons that read the store for a data centre.
type Succession struct {
	// Order is the reader, followed by its successors in failover order.
	Order []Peer `msgpack:"o,omitempty"`
	// Others are the readers of the other data centres.
	Others []Peer `msgpack:"x,omitempty"`
	// Daemons is the number of known daemons in the whole fleet.
	Daemons int `msgpack:"n"`
	// ShareCount is the number of daemons by which the fleet's shared limits are divided.
	ShareCount int `msgpack:"h"`
	// LocalDaemons is the number of daemons in the data centre; 0 if unknown.
	LocalDaemons int `msgpack:"r,omitempty"`
}

// readStatus classifies the data that a reader can offer.
type readStatus uint8

const (
	// statusFresh: the batch has the records that the store had readResponse.Age ago.
	statusFresh readStatus = iota
	// statusStale: the reader's last contact with the store is too long ago, although none
	// of its calls to the store has failed since; or its data is of an earlier epoch of the store
	// than the caller knows; or the reader could not send a large batch
	// within the wait of the request, because it was sending others.
	statusStale
	// statusStoreDown: the store refuses the reader's calls or does not answer them.
	statusStoreDown
)

// readRequest asks for the records of a feed.
type readRequest struct {
	Feed fleet.Feed `msgpack:"f"`
	// From and FromEpoch are the position of the first record asked for. Whole asks for a snapshot
	// instead.
	From      uint64       `msgpack:"o"`
	FromEpoch logpos.Epoch `msgpack:"j,omitempty"`
	Whole     bool         `msgpack:"h,omitempty"`
	// KnownEpoch is the newest epoch of the store known to the caller. Older data is of no use to it.
	KnownEpoch logpos.Epoch  `msgpack:"z,omitempty"`
	Wait       time.Duration `msgpack:"w"` // longest wait for the first new record
	// Patient is set by a caller with no other daemon left to ask. The server then delays its
	// answer until it has fresh data or Wait is over. If Patient is not set, a server that
	// cannot get fresh data says so before Wait is over.
	Patient bool `msgpack:"p,omitempty"`
	Self    Peer `msgpack:"s"`
	// KnownVersion is the version of the succession that the caller has.
	KnownVersion uint64 `msgpack:"k,omitempty"`
	// Samples are new samples from the caller. SamplesUpTo is the sequence number up to
	// which the caller has received the samples of other daemons.
	Samples     []sample `msgpack:"e,omitempty"`
	SamplesUpTo uint64   `msgpack:"n,omitempty"`
	// QuarantineUpTo is the sequence number up to which the caller has received quarantine
	// records.
	QuarantineUpTo uint64 `msgpack:"t,omitempty"`
	// HandedOver is the span of time for which the answering daemon, not the caller, adds the
	// caller's units of the rate limits to its ledger (see AccrualSender).
	HandedOver quota.Span `msgpack:"a"`
	// Limits are the upstreams' rate limits known to the caller.
	Limits []ratelimit.Record `msgpack:"l,omitempty"`
	// SinceOutage is the time since the last outage of the store known to the caller; 0 if it
	// knows of none.
	SinceOutage time.Duration `msgpack:"u,omitempty"`
}

// from returns the position of the first record asked for.
func (r readRequest) from() logpos.Position {
	return logpos.Position{Epoch: r.FromEpoch, Offset: r.From}
}

// readResponse answers a readRequest.
type readResponse struct {
	Status readStatus    `msgpack:"v,omitempty"`
	Age    time.Duration `msgpack:"g,omitempty"` // time since the reader's last contact with the store
	// Batch is an encoded fleet.Batch (see encodeBatch).
	Batch []byte `msgpack:"b,omitempty"`
	// Succession is omitted if the caller already has this version of it.
	Succession *Succession `msgpack:"c,omitempty"`
	Version    uint64      `msgpack:"k,omitempty"`
	// Samples are samples from other daemons up to the sequence number SamplesUpTo.
	Samples     []sample `msgpack:"e,omitempty"`
	SamplesUpTo uint64   `msgpack:"n,omitempty"`
	// Quarantine holds records of requests during which upstreams ended, up to the sequence
	// number QuarantineUpTo.
	Quarantine     []quarantine.Record `msgpack:"q,omitempty"`
	QuarantineUpTo uint64              `msgpack:"t,omitempty"`
	// Stamp is the current time of the answering daemon's ledger. The caller needs it to
	// state the span HandedOver in later calls to that daemon (see AccrualSender).
	Stamp quota.Stamp `msgpack:"y"`
	// Limits are the upstreams' rate limits known to the answering daemon.
	Limits []ratelimit.Record `msgpack:"l,omitempty"`
	// SinceOutage is the time since the last outage of the store known to the answering daemon;
	// 0 if it knows of none.
	SinceOutage time.Duration `msgpack:"u,omitempty"`
}

// sample is the wire form of an estimate.Sample. It is encoded as an array, without field
// names.
type sample struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Model string
	// Prompt, Expected and Size are the numbers of tokens of the prompt, of the answer as
	// expected and of the actual answer.
	Prompt, Expected, Size int
	// HeldMillis, PerTokenMicros and PrefillNanos are Held, PerToken and PrefillPerToken of
	// the estimate.Sample, in milliseconds, microseconds and nanoseconds. PrefillPerToken is
	// the prefill time of one prompt token; PrefillTimedOut is set if the prefill timed out.
	HeldMillis, PerTokenMicros, PrefillNanos int64
	PrefillTimedOut                          bool
}

// toWireSamples converts samples to their wire form.
func toWireSamples(list []estimate.Sample) []sample {
	var out []sample
	for _, s := range list {
		out = append(out, sample{
			Model: s.Model, Prompt: s.PromptTokens, Expected: s.ExpectedTokens, Size: s.AnswerTokens,
			HeldMillis: s.Held.Milliseconds(), PerTokenMicros: s.PerToken.Microseconds(), PrefillNanos: s.PrefillPerToken.Nanoseconds(),
			PrefillTimedOut: s.PrefillTimedOut,
		})
	}
	return out
}

// fromWireSamples converts samples from their wire form.
func fromWireSamples(list []sample) []estimate.Sample {
	var out []estimate.Sample
	for _, s := range list {
		out = append(out, estimate.Sample{
			Model: s.Model, PromptTokens: s.Prompt, ExpectedTokens: s.Expected, AnswerTokens: s.Size,
			Held:     time.Duration(s.HeldMillis) * time.Millisecond,
			PerToken: time.Duration(s.PerTokenMicros) * time.Microsecond, PrefillPerToken: time.Duration(s.PrefillNanos),
			PrefillTimedOut: s.PrefillTimedOut,
		})
	}
	return out
}

// claim announces that a daemon reads the store for its data centre.
type claim struct {
	Peer    Peer          `msgpack:"p"`
	Daemons int           `msgpack:"n"` // in the reader's data centre
	Age     time.Duration `msgpack:"g"` // time since the reader made the claim
}

// discoverRequest asks for the readers of the caller's data centre. Readers also use it to
// announce themselves to each other.
type discoverRequest struct {
	Self Peer `msgpack:"s"`
	// Claims are those of all readers known to the caller, including its own if it is a
	// reader.
	Claims []claim `msgpack:"c,omitempty"`
	// Unreachable are the addresses of daemons that failed to answer the caller.
	Unreachable []string `msgpack:"q,omitempty"`
	// Samples are sent by readers and come from the daemons of their data centre.
	Samples []sample `msgpack:"e,omitempty"`
	// HandedOver is the span of time for which the answering daemon, not the caller, adds the
	// caller's units of the rate limits to its ledger (see AccrualSender).
	HandedOver quota.Span `msgpack:"a"`
	// Limits are the upstreams' rate limits known to the caller.
	Limits []ratelimit.Record `msgpack:"l,omitempty"`
}

// discoverResponse answers a discoverRequest with the succession of the caller's data
// centre.
type discoverResponse struct {
	Succession Succession `msgpack:"c"`
	Claims     []claim    `msgpack:"r,omitempty"`
	// Stamp is the current time of the answering daemon's ledger. The caller needs it to
	// state the span HandedOver in later calls to that daemon (see AccrualSender).
	Stamp quota.Stamp `msgpack:"y"`
	// Limits are the upstreams' rate limits known to the answering daemon.
	Limits []ratelimit.Record `msgpack:"l,omitempty"`
}

// carriersRequest asks which daemons of the answering daemon's data centre may carry connections
// to upstreams.
type carriersRequest struct {
	// Address is that of the calling daemon, which is left out.
	Address string `msgpack:"a"`
}

// carriersResponse answers a carriersRequest.
type carriersResponse struct {
	Peers []Peer `msgpack:"p,omitempty"`
}

// version returns a hash of what followers act on: the addresses in the succession and the
// numbers of daemons. The numbers are rounded to logarithmic steps, so that a daemon that
// starts or ends rarely changes the version. The steps are a factor of 1.2 for Daemons and
// of 1.05 for ShareCount and LocalDaemons. An error of a twentieth in the last two does no
// harm because the daemons' shares add up to that much less than the whole limit (see
// package retry).
func (s Succession) version() uint64 {
	h := xxhash.New()
	for _, list := range [][]Peer{s.Order, s.Others} {
		for _, p := range list {
			_, _ = h.WriteString(p.Address + " ") // never fails
		}
		_, _ = h.WriteString("/")
	}
	for _, count := range []struct {
		daemons int
		step    float64
	}{{s.Daemons, 1.2}, {s.ShareCount, 1.05}, {s.LocalDaemons, 1.05}} {
		_, _ = h.WriteString(strconv.Itoa(int(math.Log(float64(max(1, count.daemons)))/math.Log(count.step))) + "/")
	}
	return h.Sum64()
}
