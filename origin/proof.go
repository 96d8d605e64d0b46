package origin

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// proveTimeout bounds the search for a proof, and callTimeout one call for it. A slow store takes
	// 0.3 s for an answer.
	proveTimeout = 900 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	// gatherTime is the pause before a read of the store, which streams that are taken up meanwhile share.
	gatherTime = 10 * time.Millisecond
)

// Proof tells what proves that a service has had one version only.
type Proof string

// The proofs, as in logs.
const (
	// ProvedByStore: this daemon has watched the registrations, and a read of the store that began
	// after the stream was taken up has no other.
	ProvedByStore Proof = "store"
	// ProvedByLog: as ProvedByStore, and the log covers the time before this daemon began to watch.
	ProvedByLog Proof = "log"
	// ProvedByDaemon: another daemon, asked after the stream was taken up, has one of these proofs.
	ProvedByDaemon Proof = "daemon"
)

// soleQuery identifies the question for the only version of a service.
type soleQuery struct {
	service string
	window  time.Duration
}

// proveSole finds out whether the service of a query has had one version for the window.
//
// What this daemon knows may be some time old: it may be cut off, or have stood still. But a stream that
// is taken up began before, at an upstream whose registration the store had then, or had within the
// window. A read of the store that begins now returns that registration, whenever its answer arrives. It
// proves nothing of a daemon that has used registrations for longer after the store dropped them.
func (k *Keeper) proveSole(ctx context.Context, q Query) Reply {
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	if k.readsStore() {
		if reply := k.proveByStore(ctx, q); reply.settles() {
			return reply
		}
		return k.proveByPeers(ctx, q)
	}
	reply := k.proveByPeers(ctx, q)
	if reply.settles() || reply.Answered {
		return reply
	}
	return k.proveByStore(ctx, q)
}

// settles reports whether the reply says how many versions the service has had.
func (r Reply) settles() bool { return r.Several || r.SoleVersion != "" }

// soleVersion returns the only version that a service has had for the window, as far as this daemon
// knows.
func (k *Keeper) soleVersion(q Query) fleet.SoleVersion {
	sole := k.o.Versions.SoleVersion(q.Service, q.Window)
	recorded := k.table.Versions(k.o.Now(), q.Service, 2)
	if len(recorded) > 1 || len(recorded) == 1 && sole.Version != "" && recorded[sole.Version] == 0 {
		return fleet.SoleVersion{Several: true}
	}
	return sole
}

// proveByStore reads the store.
func (k *Keeper) proveByStore(ctx context.Context, q Query) Reply {
	asked := k.o.Now()
	known := k.soleVersion(q)
	if known.Version == "" {
		return Reply{Several: known.Several}
	}
	ahead, logRead, err := k.readStore(ctx, !known.Watched)
	if err != nil {
		k.o.Logger.WithField("service", q.Service).WithError(err).Debug("only version not proved by the store")
		return Reply{}
	}
	q.Window += k.o.Now().Sub(asked) // what counted when the stream was taken up counts
	known = k.soleVersion(q)
	switch {
	case known.Several || hasOther(ahead, q.Service, known.Version):
		return Reply{Several: true}
	case known.Watched:
		return Reply{SoleVersion: known.Version, Source: sourceOwn, Proof: ProvedByStore}
	case logRead && k.history.provesSole(q.Service, known.Version, q.Window):
		return Reply{SoleVersion: known.Version, Source: sourceLog, Proof: ProvedByLog}
	}
	return Reply{}
}

// readStore reads the registrations that this daemon has not applied yet, and the log of records if
// needed and there is one.
func (k *Keeper) readStore(ctx context.Context, withLog bool) (ahead []fleet.ServiceVersion, logRead bool, err error) {
	var wg conc.WaitGroup
	if withLog && k.history != nil {
		wg.Go(func() {
			_, logErr := k.logReads.Do(ctx, struct{}{})
			logRead = logErr == nil
		})
	}
	ahead, err = k.storeReads.Do(ctx, struct{}{})
	wg.Wait()
	return ahead, logRead, err
}

// readAhead reads the registrations that this daemon has not applied yet.
func (k *Keeper) readAhead(ctx context.Context, _ struct{}) ([]fleet.ServiceVersion, error) {
	clock.Sleep(ctx, gatherTime)
	return k.o.Versions.ReadAhead(ctx)
}

// readLog reads the log of records to its end.
func (k *Keeper) readLog(ctx context.Context, _ struct{}) (struct{}, error) {
	clock.Sleep(ctx, gatherTime)
	return struct{}{}, k.history.readNow(ctx)
}

// ask asks other daemons for the only version of a service.
func (k *Keeper) ask(ctx context.Context, s soleQuery) (Reply, error) {
	return k.o.Peers.Ask(ctx, Query{Service: s.service, Window: s.window}), nil
}

// hasOther reports whether a list has another version of a service.
func hasOther(list []fleet.ServiceVersion, service, version string) bool {
	for _, v := range list {
		if v.Service == service && v.Version != version {
			return true
		}
	}
	return false
}

// proveByPeers asks other daemons.
func (k *Keeper) proveByPeers(ctx context.Context, q Query) Reply {
	known := k.soleVersion(q)
	if known.Version == "" || k.o.Peers == nil {
		return Reply{Several: known.Several}
	}
	reply, err := k.asks.Do(ctx, soleQuery{q.Service, q.Window})
	if err != nil {
		return Reply{}
	}
	known = k.soleVersion(q)
	if known.Several || reply.Several || reply.SoleVersion != "" && reply.SoleVersion != known.Version {
		return Reply{Several: true, Source: reply.Source, Answered: true}
	}
	if reply.SoleVersion != "" {
		reply.Proof = ProvedByDaemon
	}
	return reply
}
