package engine

// Corruption is a way to corrupt the chunks of a stream.
type Corruption string

// The ways to corrupt a stream.
const (
	// CorruptOtherRequest sends chunks with the id of another request.
	CorruptOtherRequest Corruption = "crossed"
	// CorruptOlderAttempt sends chunks with the number of the previous attempt.
	CorruptOlderAttempt Corruption = "older-attempt"
	// CorruptRepeated sends every chunk twice.
	CorruptRepeated Corruption = "repeated"
	// CorruptReordered swaps neighbouring chunks.
	CorruptReordered Corruption = "reordered"
	// CorruptTruncated ends the stream without its Done chunk and without a
	// connection error.
	CorruptTruncated Corruption = "truncated"
	// CorruptSkipped omits one token.
	CorruptSkipped Corruption = "skipped"
	// CorruptBytes writes bytes that are not valid JSON.
	CorruptBytes Corruption = "bytes"
)

// Faults are the faults that a test can set on an engine. The zero value sets none.
type Faults struct {
	// Refuse makes reserve, prefill and decode reply with 503 and a Refusal.
	Refuse bool `json:"refuse,omitempty"`
	// RestMS makes reserve, prefill and decode reply with 503 and a Refusal that asks for
	// this many milliseconds without calls.
	RestMS int64 `json:"rest_ms,omitempty"`
	// Delay delays calls to these paths by DelayMS milliseconds before they take
	// effect. They take effect even if the client has disconnected meanwhile.
	Delay   []string `json:"delay,omitempty"`
	DelayMS int64    `json:"delay_ms,omitempty"`
	// Stall accepts calls to these paths and never replies. The calls have no
	// effect.
	Stall []string `json:"stall,omitempty"`
	// StallReply lets calls to these paths take effect and never replies.
	StallReply []string `json:"stall_reply,omitempty"`
	// CutReply lets calls to these paths take effect and closes the connection
	// without a reply.
	CutReply []string `json:"cut_reply,omitempty"`
	// CutAfter closes a stream's connection after this number of chunks; 0 means
	// never.
	CutAfter int `json:"cut_after,omitempty"`
	// StallAfter stops writing a stream after this number of chunks and keeps its
	// connection open; 0 means never.
	StallAfter int `json:"stall_after,omitempty"`
	// Garble is how streams are corrupted, from the chunk after the first GarbleAfter
	// chunks on; empty means not at all.
	Garble      Corruption `json:"garble,omitempty"`
	GarbleAfter int        `json:"garble_after,omitempty"`
	// CutExport closes the connection of an export before its end. StallExport
	// stops sending and keeps the connection open.
	CutExport   bool `json:"cut_export,omitempty"`
	StallExport bool `json:"stall_export,omitempty"`
	// SlowStep multiplies the time between tokens if it is greater than 0.
	SlowStep float64 `json:"slow_step,omitempty"`
	// Leaving refuses new work and reports that the engine is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// FreezeLoad stops the updates of the polled load report.
	FreezeLoad bool `json:"freeze_load,omitempty"`
	// DropLoad closes the connections of load polls without a reply.
	DropLoad bool `json:"drop_load,omitempty"`
	// LoseCancel lets a cancel take effect and closes the connection without a
	// reply.
	LoseCancel bool `json:"lose_cancel,omitempty"`
}
