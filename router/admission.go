package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderturn/corianderturn/admission"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/settings"
)

// orderedAdmission admits the requests of some models in turns over all daemons. It implements
// request.Admission.
type orderedAdmission struct {
	*admission.Client
	always bool
}

// Enabled implements request.Admission.
func (o orderedAdmission) Enabled(m bundle.Model) bool { return o.always || len(m.Ranks) > 1 }

// provisionAdmission creates both sides of the admission in turns: the client for this daemon's own
// requests, and the server for the pools that it coordinates. Both need a relay address.
func (a *Attached) provisionAdmission(self relay.Peer) {
	a.coordinator = admission.NewServer(admission.ServerOptions{
		Instance: self.Instance, Incarnation: self.Boot, Known: a.isDecodePool, Draining: a.Draining,
		Metrics: a.metrics.Instruments, Logger: a.logger, Now: time.Now,
	})
	a.admission = admission.NewClient(admission.ClientOptions{
		Instance: self.Instance, Incarnation: self.Boot, Coordinator: a.coordinatorOf, Dial: relay.DialTCP,
		Metrics: a.metrics.Instruments, Logger: a.logger, Now: time.Now,
	})
}

// requestAdmission returns the admission of the runner; nil if the settings leave the order to each
// daemon.
func (a *Attached) requestAdmission() request.Admission {
	mode := a.settings.Load().Admission.Mode
	if a.admission == nil || mode == settings.AdmissionOff {
		return nil
	}
	return orderedAdmission{Client: a.admission, always: mode == settings.AdmissionAlways}
}

// isDecodePool reports whether a model of the configuration in force decodes in a pool.
func (a *Attached) isDecodePool(pool string) bool {
	v := a.watcher.View()
	if v == nil {
		return false
	}
	for _, m := range v.Bundle.Bundle.Models {
		if m.DecodePool == pool && m.PrefillPool != "" {
			return true
		}
	}
	return false
}

// coordinatorOf returns the coordinator of a pool.
func (a *Attached) coordinatorOf(pool string) (admission.Coordinator, bool) {
	return chooseCoordinator(pool, a.roster.Readers(time.Now()))
}

// chooseCoordinator returns the coordinator of a pool: the reader with the highest hash of its
// address and the pool's name (rendezvous hashing), so that daemons that know the same readers agree,
// and the loss of a reader moves only its own pools. Daemons that know different readers may choose
// different coordinators for a moment, which costs refused reservations only.
func chooseCoordinator(pool string, readers []relay.Peer) (out admission.Coordinator, ok bool) {
	highest := uint64(0)
	for _, p := range readers {
		h := xxhash.Sum64String(pool + "\x00" + p.Address)
		if !ok || h > highest || h == highest && p.Address < out.Address {
			highest, ok = h, true
			out = admission.Coordinator{Instance: p.Instance, Address: p.Address}
		}
	}
	return out, ok
}
