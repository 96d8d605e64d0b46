// Package wire holds the framing and the messages that daemons exchange over
// TCP. A frame is a 4-byte big-endian length, then a msgpack Envelope. A frame
// over the limit, a garbled one or one of an unknown version ends the
// connection; an unknown message type is answered with an error and the
// connection goes on, so that daemons of two releases can run side by side.
package wire

// Version is the protocol version of this build.
const Version = 1

// MaxFrame is the default bound of a frame, in bytes.
const MaxFrame = 4 << 20

// Type says which message an envelope holds.
type Type uint8

// The message types.
const (
	TypeHello     Type = 1 // Hello, first frame in each direction
	TypeHeartbeat Type = 2 // Heartbeat, one-way
	TypeBoard     Type = 3 // Board, one-way
	TypeBundleGet Type = 4 // BundleGet -> BundleRecords
	TypeForward   Type = 5 // Forward -> ForwardReply
	TypeClaim     Type = 6 // ClaimGet -> ClaimState
	TypeError     Type = 7 // reply when a call failed
)

// Envelope carries one message. ID is 0 for one-way messages; a reply repeats
// the ID of its call with Reply set.
type Envelope struct {
	Version uint8  `msgpack:"v"`
	Type    Type   `msgpack:"t"`
	ID      uint64 `msgpack:"i,omitempty"`
	Reply   bool   `msgpack:"r,omitempty"`
	Body    []byte `msgpack:"b"` // msgpack of the message
}

// NodeID names one life of one daemon.
type NodeID struct {
	Instance    string `msgpack:"n"`
	Incarnation uint64 `msgpack:"c"`
}

// Hello opens a connection.
type Hello struct {
	Node       NodeID `msgpack:"n"`
	DataCentre string `msgpack:"d"`
	Address    string `msgpack:"a"` // the peer listener, host:port
}

// Heartbeat tells peers that a daemon lives and what it knows.
type Heartbeat struct {
	Node         NodeID `msgpack:"n"`
	DataCentre   string `msgpack:"d"`
	Address      string `msgpack:"a"`
	Seq          uint64 `msgpack:"s"`
	BundleNumber uint64 `msgpack:"bn"`
	BundleDigest []byte `msgpack:"bd"`
	// Draining says the daemon takes no new requests.
	Draining bool `msgpack:"dr,omitempty"`
	// Leaving names upstreams that this daemon heard are leaving, from any source.
	Leaving []string `msgpack:"l,omitempty"`
	// Known lists other daemons, so that a fresh one finds everybody from one peer.
	Known []Known `msgpack:"k,omitempty"`
}

// Known is a daemon that the sender has heard from lately.
type Known struct {
	Node       NodeID `msgpack:"n"`
	DataCentre string `msgpack:"d"`
	Address    string `msgpack:"a"`
}

// Board tells peers the load of the upstreams the sender is steward of.
type Board struct {
	Rows []BoardRow `msgpack:"r"`
}

// BoardRow is the load of one upstream. Index is the upstream's position in
// the sorted list of upstream names of bundle BundleNumber; a receiver with
// another number drops the row.
type BoardRow struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection
	BundleNumber uint64
	Index        uint16
	Active       uint8
	Queued       uint8
	StepMS       uint8
	LinkBusyMS   uint16
	QueuedKTok   uint8 // queued prompt tokens, in units of 256
	AgeMS        uint16
	Leaving      bool
}

// BundleGet asks a peer for the records after a version.
type BundleGet struct {
	After uint64 `msgpack:"a"`
}

// BundleRecords holds signed bundle records in chain order.
type BundleRecords struct {
	Records [][]byte `msgpack:"r"`
}

// Forward asks a peer to run a request whose key only that peer may run.
type Forward struct {
	RequestID string            `msgpack:"i"`
	Team      string            `msgpack:"t"`
	Method    string            `msgpack:"m"`
	Path      string            `msgpack:"p"`
	Header    map[string]string `msgpack:"h"`
	Body      []byte            `msgpack:"b"`
	TimeoutMS int64             `msgpack:"o"`
}

// ForwardReply is the peer's answer.
type ForwardReply struct {
	Status int               `msgpack:"s"`
	Header map[string]string `msgpack:"h"`
	Body   []byte            `msgpack:"b"`
}

// ClaimGet asks the home of a key's shard for the claim's state.
type ClaimGet struct {
	Stream string `msgpack:"s"`
	Key    []byte `msgpack:"k"`
}

// ClaimState is what the home knows of a key.
type ClaimState struct {
	Found   bool   `msgpack:"f"`
	Holder  NodeID `msgpack:"h"`
	Offset  uint64 `msgpack:"o"`
	Through uint64 `msgpack:"t"` // the home has read the stream up to this offset
}

// Failure is the body of TypeError.
type Failure struct {
	Kind   string `msgpack:"k"`
	Detail string `msgpack:"d"`
}
