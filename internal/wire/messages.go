// Package wire defines the framing and the messages that daemons exchange over TCP.
// A frame is a 4-byte big-endian length followed by a msgpack Envelope. A frame that
// exceeds the size limit, is malformed or has another protocol version ends the
// connection. An unknown message type is answered with an error and the connection
// stays open, so that daemons of two releases can run side by side.
package wire

// Version is the protocol version of this build.
const Version = 1

// MaxFrame is the default limit of an envelope, in bytes.
const MaxFrame = 4 << 20

// Type identifies the message in an envelope.
type Type uint8

// The message types. "A -> B" is a call with message A and reply B.
const (
	TypeHello     Type = 1 // Hello, the first frame in each direction
	TypeHeartbeat Type = 2 // Heartbeat, one-way
	TypeBoard     Type = 3 // Board, one-way
	TypeBundleGet Type = 4 // BundleGet -> BundleRecords
	TypeForward   Type = 5 // Forward -> ForwardReply
	TypeClaim     Type = 6 // ClaimGet -> ClaimState
	TypeError     Type = 7 // Failure, the reply to a call that failed

	TypeClaimAppend Type = 8 // ClaimAppend -> ClaimAppended
	TypeCancelCall  Type = 9 // CancelCall, with the ID of the call to cancel; no reply

	// The calls of package relay, on separate connections.
	TypeFeedRead Type = 10
	TypeReaders  Type = 11
	TypePermit   Type = 12
	TypeLoan     Type = 13
	TypeCarriers Type = 14

	TypeOrigins   Type = 18
	TypeOriginGet Type = 19

	// The frames of a connection that is carried for another daemon (package reach).
	TypeTunnel     Type = 15
	TypeTunnelData Type = 16
	TypeTunnelEnd  Type = 17

	// The frames of a connection between a daemon and the coordinator of a pool (package
	// admission), in both directions.
	TypeAdmission Type = 20
)

// Envelope carries one message. ID identifies a call and is 0 for one-way messages. A
// reply has the ID of its call and Reply set.
type Envelope struct {
	Version uint8  `msgpack:"v"`
	Type    Type   `msgpack:"t"`
	ID      uint64 `msgpack:"i,omitempty"`
	Reply   bool   `msgpack:"r,omitempty"`
	Body    []byte `msgpack:"b"` // the msgpack encoding of the message
}

// NodeID identifies one incarnation of a daemon: an instance name and a number that
// increases with each restart of the process.
type NodeID struct {
	Instance    string `msgpack:"n"`
	Incarnation uint64 `msgpack:"c"`
}

// Hello is the handshake message that identifies each side of a connection.
type Hello struct {
	Node       NodeID `msgpack:"n"`
	DataCentre string `msgpack:"d"`
	Address    string `msgpack:"a"` // address of the sender's listener for peers, host:port
}

// IsZero reports whether n is the zero NodeID, which identifies no daemon.
func (n NodeID) IsZero() bool { return n == NodeID{} }

// Heartbeat shows a peer that the sender is alive. It also carries the sender's state
// and its gossip about other daemons and upstreams.
type Heartbeat struct {
	Node         NodeID `msgpack:"n,omitempty"`
	DataCentre   string `msgpack:"d,omitempty"`
	Address      string `msgpack:"a,omitempty"`
	Seq          uint64 `msgpack:"s"`
	BundleNumber uint64 `msgpack:"bn,omitempty"`
	BundleDigest []byte `msgpack:"bd,omitempty"`
	// Abbreviated marks a short heartbeat: BundleNumber, BundleDigest, Draining and Leaving are
	// left out because they are unchanged since the sender's last full heartbeat on this
	// connection. Node, DataCentre and Address are left out too, as the Hello contains
	// them. Package peer fills in all of these before it passes the heartbeat on.
	Abbreviated bool `msgpack:"=,omitempty"`
	// RequestEcho requests an immediate full heartbeat whose Echo is this Seq. A daemon sets it
	// after its process was paused, to find out which peers are alive now.
	RequestEcho bool `msgpack:"q,omitempty"`
	// Echo is the Seq of the receiver's heartbeat that this one answers; 0 if none
	// asked.
	Echo uint64 `msgpack:"e,omitempty"`
	// RelayedSeqs relays the heartbeat sequence numbers of daemons in other data centres.
	RelayedSeqs RelayedSeqs `msgpack:"f,omitempty"`
	// Draining is set when the sender takes no new requests.
	Draining bool `msgpack:"dr,omitempty"`
	// Leaving lists the upstreams of which the sender has learned, from any source, that
	// they are leaving.
	Leaving []string `msgpack:"l,omitempty"`
	// Known lists other daemons, so that a new daemon discovers all of them from one
	// peer.
	Known []KnownDaemon `msgpack:"k,omitempty"`
}

// KnownDaemon is a daemon that the sender does not consider dead.
type KnownDaemon struct {
	Node       NodeID `msgpack:"n"`
	DataCentre string `msgpack:"d"`
	Address    string `msgpack:"a"`
}

// BundleGet requests the configuration bundle records after version After.
type BundleGet struct {
	After uint64 `msgpack:"a"`
}

// BundleRecords is the reply to BundleGet. Records holds signed bundle records in chain
// order.
type BundleRecords struct {
	Records [][]byte `msgpack:"r"`
	// Number and Digest identify the version in force at the sender. When CaughtUp is
	// set, that version was in force once all records of the bundle stream below offset
	// Through were applied.
	Number   uint64 `msgpack:"n"`
	Digest   []byte `msgpack:"d"`
	CaughtUp bool   `msgpack:"u,omitempty"`
	Through  uint64 `msgpack:"t,omitempty"`
	// Busy is set when the sender has reached its rate limit and sends no records.
	Busy bool `msgpack:"b,omitempty"`
}

// Forward asks a peer to execute a client request whose idempotency key only that peer
// may execute.
type Forward struct {
	RequestID string              `msgpack:"i"`
	Team      string              `msgpack:"t"`
	Method    string              `msgpack:"m"`
	Path      string              `msgpack:"p"`
	Header    map[string][]string `msgpack:"h"` // as in http.Header, with separate values because Cookie headers cannot be joined
	Body      []byte              `msgpack:"b"`
	TimeoutMS int64               `msgpack:"o"` // time left until the request's deadline
}

// ForwardReply is the HTTP response to a forwarded request.
type ForwardReply struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
}

// ClaimGet requests the state of an idempotency key from a home of the key's shard, a
// daemon that reads the stream of claims of that shard.
type ClaimGet struct {
	Stream string `msgpack:"s"`
	Key    []byte `msgpack:"k"`
	// Through is the offset up to which the home must have read the stream before it
	// answers.
	Through uint64 `msgpack:"t"`
}

// ClaimState is the reply to ClaimGet: the state of the key according to the records
// that the home has read.
type ClaimState struct {
	Found   bool   `msgpack:"f"`
	Holder  NodeID `msgpack:"h"`
	Offset  uint64 `msgpack:"o"`
	Through uint64 `msgpack:"t"` // the home has read every record below this offset
	// HolderSeq is the number that the holder gave to its claim.
	HolderSeq uint64 `msgpack:"q"`
	// BodyDigest is the digest of the request for which the holder claimed the key.
	BodyDigest []byte `msgpack:"b"`
	// Authoritative is false when records that the home could not read may name an
	// earlier holder.
	Authoritative bool `msgpack:"u"`
	// Status is the progress of the holder, a value of claims.Status.
	Status uint8 `msgpack:"p"`
	// ReleaseOffset is the offset of the record that released the key, if any.
	ReleaseOffset uint64 `msgpack:"r"`
	// AgeMS is the age of the claim in milliseconds, by the timestamps of the log.
	AgeMS int64 `msgpack:"a"`
	// Answer is the stored answer to the request, encoded by package claims, or nil.
	Answer []byte `msgpack:"w"`
}

// ClaimAppend asks a home of a shard to append a record of claims to the stream, in a
// batch with those of other daemons.
type ClaimAppend struct {
	Stream string `msgpack:"s"`
	Record []byte `msgpack:"r"`
}

// ClaimAppended is the reply to ClaimAppend, with the offset of the record.
type ClaimAppended struct {
	Offset uint64 `msgpack:"o"`
}

// CancelCall cancels the call whose ID is in the envelope, because its caller no longer
// waits for the reply.
type CancelCall struct{}

// Failure is the message of TypeError. Package peer defines the values of Kind.
type Failure struct {
	Kind   string `msgpack:"k"`
	Detail string `msgpack:"d"`
}
