package engine

// Garble names a way in which a stream's chunks are damaged.
type Garble string

// The ways to damage a stream.
const (
	// GarbleCrossed sends chunks under another request's id.
	GarbleCrossed Garble = "crossed"
	// GarbleOlder sends chunks under the attempt before.
	GarbleOlder Garble = "older-attempt"
	// GarbleRepeated sends every chunk twice.
	GarbleRepeated Garble = "repeated"
	// GarbleReordered swaps neighbouring chunks.
	GarbleReordered Garble = "reordered"
	// GarbleTruncated ends the stream cleanly without its Done chunk.
	GarbleTruncated Garble = "truncated"
	// GarbleSkipped leaves out one token.
	GarbleSkipped Garble = "skipped"
	// GarbleBytes writes bytes that are not JSON.
	GarbleBytes Garble = "bytes"
)

// Faults are the faults that a test can set on an engine; the zero value is none.
type Faults struct {
	// Refuse answers reserve, prefill and decode with 503 and a Refusal.
	Refuse bool `json:"refuse,omitempty"`
	// Delay holds the calls of these paths for DelayMS milliseconds before they
	// take effect, even if their caller has gone away meanwhile.
	Delay   []string `json:"delay,omitempty"`
	DelayMS int64    `json:"delay_ms,omitempty"`
	// Stall accepts the calls of these paths and never answers them. The call
	// itself has no effect.
	Stall []string `json:"stall,omitempty"`
	// StallReply lets the calls of these paths take effect but never answers them.
	StallReply []string `json:"stall_reply,omitempty"`
	// CutReply lets the calls of these paths take effect and cuts the connection.
	CutReply []string `json:"cut_reply,omitempty"`
	// CutAfter cuts a stream's connection after so many chunks; 0 never does.
	CutAfter int `json:"cut_after,omitempty"`
	// StallAfter stops writing a stream after so many chunks; 0 never does.
	StallAfter int `json:"stall_after,omitempty"`
	// Garble damages streams from chunk GarbleAfter on.
	Garble      Garble `json:"garble,omitempty"`
	GarbleAfter int    `json:"garble_after,omitempty"`
	// CutExport cuts an export before its end; StallExport stops it there.
	CutExport   bool `json:"cut_export,omitempty"`
	StallExport bool `json:"stall_export,omitempty"`
	// SlowStep multiplies the time between tokens when above 0.
	SlowStep float64 `json:"slow_step,omitempty"`
	// Leaving refuses new work as an engine that is going away does.
	Leaving bool `json:"leaving,omitempty"`
	// FreezeLoad keeps the polled load report as it is.
	FreezeLoad bool `json:"freeze_load,omitempty"`
	// DropLoad cuts polls of the load.
	DropLoad bool `json:"drop_load,omitempty"`
	// LoseCancel lets a cancel take effect and cuts its reply.
	LoseCancel bool `json:"lose_cancel,omitempty"`
}
