package experiment

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// Node is one process of a Bed.
type Node struct {
	Name       string
	DataCentre string
	// Role is the role of the pool that an engine or service belongs to; it is
	// empty for daemons and the log.
	Role bundle.PoolRole
	// URL is the base URL for clients. Control is the base URL of a stand-in's
	// control API, which has its statistics and faults, or the URL of a daemon's
	// metrics.
	URL     string
	Control string
	PID     int
}

// Bed is a running fleet of daemons and stand-ins on which measurements are taken.
type Bed interface {
	Daemons() []Node
	Engines() []Node
	Services() []Node
	// Log returns the platform's log service.
	Log() Node
	// Teams returns the teams in whose name load is sent, with their bearer keys.
	Teams() []loadgen.Team
	// Bundle returns a copy of the bundle that was published last.
	Bundle() *bundle.Bundle
	// RollOut publishes b and waits until it is in force on every daemon.
	RollOut(ctx context.Context, b *bundle.Bundle) error
	// Kill ends a process without a graceful shutdown. Restart starts a killed
	// process again at the same client address.
	Kill(ctx context.Context, name string) error
	Restart(ctx context.Context, name string) error
	// CutDataCentre cuts the connections of a data centre's daemons to the daemons
	// of other data centres and to the platform until heal is called.
	CutDataCentre(ctx context.Context, dataCentre string) (heal func(context.Context) error, err error)
	// CutPlatform cuts every daemon's connections to the log, the instance list and
	// the weight store until heal is called.
	CutPlatform(ctx context.Context) (heal func(context.Context) error, err error)
	// Close kills every process.
	Close()
}

// FleetSize holds the number of data centres, processes of each type and teams of a fleet,
// and its time scale.
type FleetSize struct {
	DataCentres int
	Daemons     int
	// Prefill and Decode are the numbers of prefill and decode engines; Services
	// is the number of replicas of the plain service.
	Prefill  int
	Decode   int
	Services int
	// Teams is the number of teams in the bundle.
	Teams int
	// Scale is the time scale. It divides the engines' step, prefill and link
	// times, the delays of their load reports and cache events, and the lifetime
	// of a prefill result.
	Scale float64
}

// StartBed starts a fleet of size s with the programs in the folder bin.
type StartBed func(ctx context.Context, bin string, s FleetSize) (Bed, error)

// divideByScale returns d divided by the time scale.
func divideByScale(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) / scale)
}
