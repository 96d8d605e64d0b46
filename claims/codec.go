package claims

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/safepack"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// recordVersion is the version of the encoding of log records.
const recordVersion = 1

// Claim is a daemon's claim to a key, made in order to run one request.
type Claim struct {
	ID   ClaimID
	Key  Key
	Body BodyDigest
	// SeenOffset is the offset below which the claimant, or a home that it had asked,
	// had read the stream when the claimant received the request.
	SeenOffset uint64
	// RequestID is informational; it identifies the request to people who read the
	// log.
	RequestID string
}

// Status is the status of a claim, and of the request for which it was made.
type Status uint8

// The statuses of a claim. All but Held are final.
const (
	// Held: the claim has no result. Its claimant may still dispatch the request, is
	// running it, or ended without writing a result.
	Held Status = iota
	// Ran: the upstream answered the request.
	Ran
	// Unknown: the request may have run.
	Unknown
	// Released: the claimant has not run the request and never will.
	Released
)

// Result is the final status of a claim, written by the daemon that made the claim.
type Result struct {
	ID     ClaimID
	Key    Key
	Status Status
	// Answer is the encoded answer of the upstream, or nil if it is not stored.
	Answer []byte
}

// Batch is the content of one record of a stream. Readers apply its claims before
// its results.
type Batch struct {
	Claims  []Claim
	Results []Result
}

// claimRecord is the encoding of a Claim. Node is an index into batchRecord.Nodes.
type claimRecord struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Node      uint16
	Seq       uint64
	Key       []byte
	Body      []byte
	Seen      uint64
	RequestID string
}

// resultRecord is the encoding of a Result. Node is an index into
// batchRecord.Nodes.
type resultRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Node     uint16
	Seq      uint64
	Key      []byte
	Status   uint8
	Answer   []byte
}

// batchRecord is the encoding of a Batch.
type batchRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Version  uint8
	Nodes    []wire.NodeID
	Claims   []claimRecord
	Results  []resultRecord
}

// nodeTable assigns an index to each node named in a batch, so that the record
// contains each node only once.
type nodeTable struct{ nodes []wire.NodeID }

// index returns the index of a node, which it adds to the table if necessary.
func (t *nodeTable) index(n wire.NodeID) uint16 {
	for i, known := range t.nodes {
		if known == n {
			return uint16(i)
		}
	}
	t.nodes = append(t.nodes, n)
	return uint16(len(t.nodes) - 1)
}

// Encode returns the batch as one log record.
func (b *Batch) Encode() ([]byte, error) {
	var t nodeTable
	rec := batchRecord{Version: recordVersion}
	for i := range b.Claims {
		c := &b.Claims[i]
		rec.Claims = append(rec.Claims, claimRecord{
			Node: t.index(c.ID.Node), Seq: c.ID.Seq, Key: c.Key[:], Body: c.Body[:], Seen: c.SeenOffset, RequestID: c.RequestID,
		})
	}
	for i := range b.Results {
		r := &b.Results[i]
		rec.Results = append(rec.Results, resultRecord{
			Node: t.index(r.ID.Node), Seq: r.ID.Seq, Key: r.Key[:], Status: uint8(r.Status), Answer: r.Answer,
		})
	}
	rec.Nodes = t.nodes
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(&rec); err != nil {
		return nil, errors.Wrap(err, "encode claims")
	}
	return buf.Bytes(), nil
}

// decodeBatch returns the batch in a log record. After an error the record must be
// assumed to contain claims that this version of the program cannot read.
func decodeBatch(data []byte) (*Batch, error) {
	var rec batchRecord
	if err := safepack.Unmarshal(data, &rec); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	if rec.Version != recordVersion {
		return nil, errors.Errorf("decode claims: version %d", rec.Version)
	}
	b := &Batch{}
	for i := range rec.Claims {
		c := &rec.Claims[i]
		if int(c.Node) >= len(rec.Nodes) || len(c.Key) != DigestSize || len(c.Body) != DigestSize {
			return nil, errors.New("decode claims: malformed claim")
		}
		b.Claims = append(b.Claims, Claim{
			ID: ClaimID{Node: rec.Nodes[c.Node], Seq: c.Seq}, Key: Key(c.Key), Body: BodyDigest(c.Body), SeenOffset: c.Seen, RequestID: c.RequestID,
		})
	}
	for i := range rec.Results {
		r := &rec.Results[i]
		if int(r.Node) >= len(rec.Nodes) || len(r.Key) != DigestSize || r.Status > uint8(Released) {
			return nil, errors.New("decode claims: malformed result")
		}
		b.Results = append(b.Results, Result{
			ID: ClaimID{Node: rec.Nodes[r.Node], Seq: r.Seq}, Key: Key(r.Key), Status: Status(r.Status), Answer: r.Answer,
		})
	}
	return b, nil
}

// encodeAnswer returns the encoded answer, or nil if there is none or it exceeds
// limit bytes.
func encodeAnswer(a *request.CallAnswer, limit int) []byte {
	if a == nil || len(a.Body) > limit {
		return nil
	}
	data, err := msgpack.Marshal(a)
	if err != nil || len(data) > limit {
		return nil
	}
	return data
}

// decodeAnswer returns the decoded answer, or nil if there is none or it cannot be
// decoded.
func decodeAnswer(data []byte) *request.CallAnswer {
	if data == nil {
		return nil
	}
	var a request.CallAnswer
	if err := safepack.Unmarshal(data, &a); err != nil {
		return nil
	}
	return &a
}
