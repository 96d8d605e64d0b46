// Package infraapi defines the paths and JSON messages of the platform's HTTP APIs:
// the append-only log, the instance list and the weight store.
package infraapi

// The paths of the APIs.
const (
	PathAppend    = "/streams/:stream/records" // POST AppendRequest -> AppendReply
	PathRead      = "/streams/:stream/records" // GET ?from=&max=&wait_ms= -> ReadReply; status 410 with ReadReply if from < First
	PathInstances = "/instances"               // GET -> InstancesReply
	PathWeights   = "/weights/:model/:version" // GET -> bytes, rate-limited; HEAD -> 200 if the store has the version, else 404
)

// AppendRequest appends records to a stream: either all, at consecutive offsets, or
// none.
type AppendRequest struct {
	Records [][]byte `json:"records"` // base64-encoded in JSON
}

// AppendReply contains the offset of the first appended record.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
	// TimeMS is when the log accepted the record, in milliseconds since the Unix
	// epoch.
	TimeMS int64 `json:"time_ms"`
}

// ReadReply holds the records from the requested offset on. First is the offset of the
// oldest record that the log still keeps, and Next that of the next appended record.
type ReadReply struct {
	Records []Record `json:"records"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	// Epoch rises each time that the log is restored from a copy that lacks acknowledged records,
	// whose offsets are then used again. A log that cannot lose any leaves it out.
	Epoch uint64 `json:"epoch,omitempty"`
}

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// The kinds of instances: KindEntry runs a daemon, KindUpstream an engine or a plain
// service.
const (
	KindEntry    InstanceKind = "entry"
	KindUpstream InstanceKind = "upstream"
)

// InstanceState is whether the platform is about to remove an instance.
type InstanceState string

// The states of an instance. A leaving instance is about to be removed.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list, which is updated with a delay.
type Instance struct {
	Name       string        `json:"name"`
	Kind       InstanceKind  `json:"kind"`
	DataCentre string        `json:"data_centre"`
	Address    string        `json:"address"` // host:port
	State      InstanceState `json:"state"`
}

// InstancesReply contains the platform's instance list.
type InstancesReply struct {
	Instances []Instance `json:"instances"`
}
