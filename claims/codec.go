package claims

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/safepack"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// recordVersion is the version of a record's encoding.
const recordVersion = 1

// Claim asks for a key.
type Claim struct {
	ID   ClaimID
	Key  Key
	Body Body
	// Seen is how far the claimant had read the stream when it received the
	// request: every record below this offset.
	Seen uint64
	// RequestID is for people who read the log.
	RequestID string
}

// Status is a holder's progress with its key.
type Status uint8

// The statuses. All but Held are final.
const (
	// Held: the holder may run the request, runs it, or died with it.
	Held Status = iota
	// Ran: the upstream answered.
	Ran
	// Unknown: the request may have run.
	Unknown
	// Released: the holder has not run the request and never will.
	Released
)

// Result is a holder's last word on its claim.
type Result struct {
	ID     ClaimID
	Key    Key
	Status Status
	// Answer is the encoded answer; nil when none is kept.
	Answer []byte
}

// Batch is one record of a stream. Its claims come before its results.
type Batch struct {
	Claims  []Claim
	Results []Result
}

type claimRecord struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Node      uint16
	Seq       uint64
	Key       []byte
	Body      []byte
	Seen      uint64
	RequestID string
}

type resultRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Node     uint16
	Seq      uint64
	Key      []byte
	Status   uint8
	Answer   []byte
}

type batchRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	Version  uint8
	Nodes    []wire.NodeID
	Claims   []claimRecord
	Results  []resultRecord
}

// nodeTable numbers the nodes of a batch, so that each is written once.
type nodeTable struct{ nodes []wire.NodeID }

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
			Node: t.index(c.ID.Node), Seq: c.ID.Seq, Key: c.Key[:], Body: c.Body[:], Seen: c.Seen, RequestID: c.RequestID,
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

// decodeBatch returns the batch in a log record. An error means that the record
// may hold claims which this build cannot read.
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
			ID: ClaimID{Node: rec.Nodes[c.Node], Seq: c.Seq}, Key: Key(c.Key), Body: Body(c.Body), Seen: c.Seen, RequestID: c.RequestID,
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

// encodeAnswer returns nil for an answer that is missing or over limit bytes.
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

// decodeAnswer returns nil when no answer is kept.
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
