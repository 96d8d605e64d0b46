package engine

import "time"

// Every constant of the stand-in's behaviour stands here with its source:
// "required" is what the users say of their engines, and "assumed" a figure of no
// outside source.
const (
	// DefaultSlots is the size of the decode batch. Required: a decode engine
	// holds about twenty requests.
	DefaultSlots = 20
	// DefaultStepBase and DefaultStepFull are the times between tokens with an
	// empty and with a full batch. Assumed: 30 ms idle, 45 ms
	// with 20 requests.
	DefaultStepBase = 30 * time.Millisecond
	DefaultStepFull = 45 * time.Millisecond
	// DefaultPrefillPerToken makes a typical prompt cost 200 ms, about 89 of a
	// full batch's output tokens (45 ms / 20 each). Required: a prefill costs
	// as much as many tens of output tokens.
	DefaultPrefillPerToken = 100 * time.Microsecond
	// TypicalPromptTokens is the prompt that DefaultPrefillPerToken is set for (assumed).
	TypicalPromptTokens = 2000
	// DefaultPrefillTTL is how long a prefill result survives. Required: under
	// a second. No time scale applies to it.
	DefaultPrefillTTL = 800 * time.Millisecond
	// DefaultPrefillQueue bounds the prompts that wait for prefill (assumed).
	DefaultPrefillQueue = 16
	// DefaultLinger is how long a finished stream stays readable (assumed).
	DefaultLinger = time.Second
	// DefaultLoadLag is the age that a polled load report may have. Required:
	// engines report load with a lag; the figure is assumed.
	DefaultLoadLag = 300 * time.Millisecond
	// DefaultEventDelay is how late a cache event is published. Required:
	// published late; the figure is assumed.
	DefaultEventDelay = 500 * time.Millisecond
	// DefaultEventDrop is the share of cache events that are never published.
	// Required: with gaps; the figure is assumed.
	DefaultEventDrop = 0.02
	// DefaultCacheBlocks is the size of the prefix cache, in blocks of
	// engineapi.BlockTokens tokens: about 32 typical prompts (assumed).
	DefaultCacheBlocks = 4096
	// DefaultLinkRate is the rate of the link that all exports of one engine
	// share, in bytes per second (assumed: 20 Gbit/s).
	DefaultLinkRate = 2.5e9
	// DefaultKVPerToken is the size of one token's KV cache, in bytes (assumed).
	DefaultKVPerToken = 128 << 10
	// DefaultMemoryBytes bounds the KV memory of an engine (assumed: half as much
	// again as a full batch of typical prompts).
	DefaultMemoryBytes = DefaultSlots * TypicalPromptTokens * DefaultKVPerToken * 3 / 2
	// DefaultOrderTime is how long loading a model or an adapter and changing
	// the role take (assumed).
	DefaultOrderTime = 2 * time.Second
	// DefaultImportTimeout bounds one pull of a KV cache (assumed).
	DefaultImportTimeout = 10 * time.Second

	// linkSlice is the share of a second of link time that one export books at
	// once, so that exports interleave (assumed: 5 ms).
	linkSlice = 0.005
	// maxCancelled bounds the cancelled attempts that are remembered (assumed).
	maxCancelled = 1 << 16
	// maxExpired bounds the expired prefill results that are remembered, which
	// are answered 410 in place of 404 (assumed).
	maxExpired = 4096
	// maxEvents bounds the cache events that are kept; older ones are a gap (assumed).
	maxEvents = 4096
	// maxLagSteps is how many steps a process that was stopped makes up for at
	// once when it runs again (assumed).
	maxLagSteps = 10
	// loadEvery is the number of tokens between two load reports in a stream (assumed).
	loadEvery = 16
	// retryAfter is the time to come back that a refusal names (assumed).
	retryAfter = 500 * time.Millisecond
	// maxWeightBytes bounds what one order reads from the weight store (assumed).
	maxWeightBytes = 256 << 20
)
