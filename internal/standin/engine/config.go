package engine

import (
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// The roles of an engine.
const (
	RolePrefill = "prefill" // computes the KV caches of prompts
	RoleDecode  = "decode"  // imports KV caches and generates tokens
)

// Config configures an engine. Package kong derives the flags of `standin engine`
// from its fields and tags.
type Config struct {
	Role            string            `help:"Role at start: prefill or decode." default:"decode" enum:"prefill,decode" validate:"oneof=prefill decode"`
	Models          map[string]string `help:"Models loaded at start, NAME=VERSION; if none is given, every model is served." name:"model"`
	Adapters        map[string]string `help:"Adapters loaded at start, MODEL/ADAPTER=VERSION." name:"adapter"`
	Slots           int               `help:"Size of the decode batch." default:"20" validate:"min=1"`
	StepBase        time.Duration     `help:"Time between tokens with an empty batch." default:"30ms" validate:"min=1"`
	StepFull        time.Duration     `help:"Time between tokens with a full batch." default:"45ms" validate:"gtefield=StepBase"`
	PrefillPerToken time.Duration     `help:"Prefill time of one prompt token that is not cached." default:"100us" validate:"min=0"`
	PrefillTTL      time.Duration     `help:"Time to live of a prefill result; not scaled by the time scale." default:"800ms" validate:"min=1"`
	PrefillQueue    int               `help:"Largest number of prompts that wait for prefill." default:"16" validate:"min=1"`
	CacheBlocks     int               `help:"Size of the prefix cache, in blocks." default:"4096" validate:"min=0"`
	MemoryBytes     int64             `help:"KV memory, in bytes." default:"7864320000" validate:"min=1"`
	KVPerToken      int64             `help:"KV cache of one prompt token, in bytes." default:"131072" validate:"min=1"`
	LinkRate        float64           `help:"Rate of the export link, in bytes per second." default:"2.5e9" validate:"gt=0"`
	Linger          time.Duration     `help:"How long a finished stream can still be read." default:"1s" validate:"min=0"`
	LoadLag         time.Duration     `help:"Largest age of a polled load report." default:"300ms" validate:"min=0"`
	EventDelay      time.Duration     `help:"Delay of the publication of cache events." default:"500ms" validate:"min=0"`
	EventDrop       float64           `help:"Fraction of cache events that are never published." default:"0.02" validate:"min=0,max=1"`
	HonourHold      bool              `help:"Free a reservation when its hold time has passed."`
	CheckFence      bool              `help:"Refuse orders with an outdated fencing number."`
	OrderTime       time.Duration     `help:"Time that an order takes to complete." default:"2s" validate:"min=0"`
	WeightStore     string            `help:"Base URL of the weight store from which weights are fetched; if empty, none are fetched."`
	ImportTimeout   time.Duration     `help:"Timeout of one KV import." default:"10s" validate:"min=1"`
	CrashText       string            `help:"Text of prompts that crash each decode engine which begins to answer them: its process exits."`
	TimeScale       float64           `help:"Divisor of step, prefill, link and order times." default:"1" validate:"gt=0"`
	Seed            uint64            `help:"Seed of the random source; 0 means a random seed."`
}

// DefaultConfig returns the configuration with the defaults of the flags.
func DefaultConfig() Config {
	return Config{
		Role:            RoleDecode,
		Slots:           DefaultSlots,
		StepBase:        DefaultStepBase,
		StepFull:        DefaultStepFull,
		PrefillPerToken: DefaultPrefillPerToken,
		PrefillTTL:      DefaultPrefillTTL,
		PrefillQueue:    DefaultPrefillQueue,
		CacheBlocks:     DefaultCacheBlocks,
		MemoryBytes:     DefaultMemoryBytes,
		KVPerToken:      DefaultKVPerToken,
		LinkRate:        DefaultLinkRate,
		Linger:          DefaultLinger,
		LoadLag:         DefaultLoadLag,
		EventDelay:      DefaultEventDelay,
		EventDrop:       DefaultEventDrop,
		OrderTime:       DefaultOrderTime,
		ImportTimeout:   DefaultImportTimeout,
		TimeScale:       1,
	}
}

// Validate returns an error if a setting is out of range.
func (c *Config) Validate() error {
	return errors.Wrap(validator.New().Struct(c), "engine")
}

// scaled returns d divided by the time scale.
func (c *Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.TimeScale)
}

// step returns the time between tokens when active requests are in the batch. It
// grows linearly from StepBase, for an empty batch, to StepFull.
func (c *Config) step(active int) time.Duration {
	perSlot := float64(c.StepFull-c.StepBase) / float64(c.Slots)
	return c.scaled(c.StepBase + time.Duration(perSlot*float64(active)))
}
