package experiment

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// Node is one process of a bed.
type Node struct {
	Name       string
	DataCentre string
	// Role is the pool's role for engines and services, empty for daemons.
	Role bundle.PoolRole
	// URL is the base URL of its own interface; Control that of a stand-in's
	// fault control or of a daemon's metrics.
	URL     string
	Control string
	PID     int
}

// Bed is a fleet of running processes that a measurement drives.
type Bed interface {
	Daemons() []Node
	Engines() []Node
	Services() []Node
	// Log is the platform's log.
	Log() Node
	// Teams returns the callers with their keys.
	Teams() []loadgen.Team
	// Bundle returns a copy of the bundle that was rolled last.
	Bundle() *bundle.Bundle
	// Roll publishes b and waits until every daemon has it in force.
	Roll(ctx context.Context, b *bundle.Bundle) error
	// Kill ends a process at once; Restart starts it again in its old place.
	Kill(ctx context.Context, name string) error
	Restart(ctx context.Context, name string) error
	// CutDataCentre cuts a data centre from the others and from the platform until heal is called.
	CutDataCentre(ctx context.Context, dataCentre string) (heal func(context.Context) error, err error)
	// CutPlatform makes the log, the instance list and the weight store
	// unreachable until heal is called.
	CutPlatform(ctx context.Context) (heal func(context.Context) error, err error)
	// Close ends every process.
	Close()
}

// Size describes the fleet of a bed.
type Size struct {
	DataCentres int
	Daemons     int
	Prefill     int
	Decode      int
	Services    int
	// Teams is how many teams the bundle names.
	Teams int
	// Scale divides the engines' step, prefill and link times, their lags and the
	// life of a prefill result.
	Scale float64
}

// StartBed starts a bed of a size with the programs in the folder bin.
type StartBed func(ctx context.Context, bin string, s Size) (Bed, error)

// scaled divides a duration by a time scale.
func scaled(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) / scale)
}
