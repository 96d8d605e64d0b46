package relay

import (
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Asked remembers when another daemon last asked this one. It is safe for concurrent use.
type Asked struct{ at atomic.Pointer[time.Time] }

// NewAsked returns an Asked that nobody has asked.
func NewAsked() *Asked { return &Asked{} }

// Note takes that another daemon asks now.
func (a *Asked) Note(now time.Time) { a.at.Store(&now) }

// Lately says whether others rely on this daemon, which then reads the store itself,
// with short waits.
func (a *Asked) Lately(now time.Time) bool {
	at := a.at.Load()
	return at != nil && clock.Elapsed(*at, now) < askedTime
}
