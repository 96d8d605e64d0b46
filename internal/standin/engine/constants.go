package engine

import "time"

// The defaults and limits of the simulated engine. Where a comment refers to real
// engines, it states a property of the users' engines that the value must keep.
const (
	// DefaultSlots is the size of the decode batch. Real decode engines run about
	// twenty requests at a time.
	DefaultSlots = 20
	// DefaultStepBase and DefaultStepFull are the times between tokens with an
	// empty and with a full batch.
	DefaultStepBase = 30 * time.Millisecond
	DefaultStepFull = 45 * time.Millisecond
	// DefaultPrefillPerToken is the prefill time of one token. A typical prompt
	// takes 200 ms, as long as a full batch takes for about 89 output tokens
	// (45 ms / 20 each). On real engines too, a prefill costs as much as many tens
	// of output tokens.
	DefaultPrefillPerToken = 100 * time.Microsecond
	// TypicalPromptTokens is the length of the prompt for which
	// DefaultPrefillPerToken and DefaultMemoryBytes are chosen.
	TypicalPromptTokens = 2000
	// DefaultPrefillTTL is the time to live of a prefill result. Real engines keep
	// one for less than a second. Config.TimeScale does not apply to it.
	DefaultPrefillTTL = 800 * time.Millisecond
	// DefaultPrefillQueue is the largest number of prompts that wait for prefill.
	DefaultPrefillQueue = 16
	// DefaultLinger is how long a finished stream can still be read.
	DefaultLinger = time.Second
	// DefaultLoadLag is the largest age of a polled load report. Real
	// engines report their load with a lag.
	DefaultLoadLag = 300 * time.Millisecond
	// DefaultEventDelay is the delay with which a cache event is published.
	// Real engines publish cache events late.
	DefaultEventDelay = 500 * time.Millisecond
	// DefaultEventDrop is the fraction of cache events that are never published.
	// The events of real engines have gaps.
	DefaultEventDrop = 0.02
	// DefaultCacheBlocks is the size of the prefix cache, in blocks of
	// engineapi.BlockTokens tokens: about 32 typical prompts.
	DefaultCacheBlocks = 4096
	// DefaultLinkRate is the rate of the link that all exports of one engine
	// share, in bytes per second: 20 Gbit/s.
	DefaultLinkRate = 2.5e9
	// DefaultKVPerToken is the size of one token's KV cache, in bytes.
	DefaultKVPerToken = 128 << 10
	// DefaultMemoryBytes is the KV memory of an engine, in bytes: 1.5 times that
	// of a full batch of typical prompts.
	DefaultMemoryBytes = DefaultSlots * TypicalPromptTokens * DefaultKVPerToken * 3 / 2
	// DefaultOrderTime is how long an order takes: loading a model or an adapter,
	// or changing the role.
	DefaultOrderTime = 2 * time.Second
	// DefaultImportTimeout is the timeout for importing one KV cache.
	DefaultImportTimeout = 10 * time.Second

	// linkSliceSeconds is the link time that one export reserves at once, in
	// seconds: 5 ms, short enough that concurrent exports interleave.
	linkSliceSeconds = 0.005
	// maxCancelledAttempts is the number of cancelled attempts whose later calls
	// are refused; the oldest are forgotten first.
	maxCancelledAttempts = 1 << 16
	// maxExpiredPrefills is the number of expired prefill results for which an
	// export is answered with 410 instead of 404; the oldest are forgotten first.
	maxExpiredPrefills = 4096
	// maxCacheEvents is the number of cache events that are kept. A reader that
	// is further behind finds a gap.
	maxCacheEvents = 4096
	// maxCatchUpSteps is the largest delay, in decode steps, after which the missed
	// steps are still run. After a longer delay, because the process was suspended,
	// they are skipped.
	maxCatchUpSteps = 10
	// tokensPerLoadReport is the number of tokens from one load report in a stream
	// to the next.
	tokensPerLoadReport = 16
	// maxWeightBytes is the largest number of bytes that one order reads from the
	// weight store.
	maxWeightBytes = 256 << 20
)
