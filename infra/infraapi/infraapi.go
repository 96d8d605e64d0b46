// Package infraapi holds the messages of the platform's published HTTP and
// JSON interfaces: the append-only log, the instance list and the weight store.
package infraapi

// The paths of the interfaces.
const (
	PathAppend    = "/streams/:stream/records" // POST AppendRequest -> AppendReply
	PathRead      = "/streams/:stream/records" // GET ?from=&max=&wait_ms= -> ReadReply; 410 with ReadReply when from < First
	PathInstances = "/instances"               // GET -> InstancesReply
	PathWeights   = "/weights/:model/:version" // GET -> bytes, rate-limited; HEAD -> 200 when held, 404 when not
)

// AppendRequest adds records to a stream, all at consecutive offsets or none.
type AppendRequest struct {
	Records [][]byte `json:"records"` // base64 in JSON
}

// AppendReply gives the offset of the first record added.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
	// TimeMS is when the log took the record, in milliseconds since the epoch.
	TimeMS int64 `json:"time_ms"`
}

// ReadReply holds records from an offset on. First is the oldest offset still
// kept and Next the offset the next append will get.
type ReadReply struct {
	Records []Record `json:"records"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
}

// InstanceKind says what runs on an instance.
type InstanceKind string

// The kinds of instance: one that runs a daemon, and an engine or plain service.
const (
	KindEntry    InstanceKind = "entry"
	KindUpstream InstanceKind = "upstream"
)

// InstanceState says whether the platform is about to take an instance away.
type InstanceState string

// The states of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list, which lags.
type Instance struct {
	Name       string        `json:"name"`
	Kind       InstanceKind  `json:"kind"`
	DataCentre string        `json:"data_centre"`
	Address    string        `json:"address"` // host:port
	State      InstanceState `json:"state"`
}

// InstancesReply is the list as the platform knows it.
type InstancesReply struct {
	Instances []Instance `json:"instances"`
}
