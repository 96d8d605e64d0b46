package router

import (
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/relay"
)

// provisionFeeds wires the reading of the store: directly, or through another daemon
// where the settings let this one serve others too.
func (a *Attached) provisionFeeds() error {
	s := a.settings.Load()
	a.store = platform.NewStore(s.Store.Address, a.storeClient(), a.logger)
	self := relay.Peer{Instance: s.Instance.Name, DataCentre: s.Instance.DataCentre}
	journal, asked := relay.NewJournal(), relay.NewAsked()
	if s.Relay.Listen != "" {
		a.relay = relay.NewServer(s.Relay.Listen, journal, asked, a.logger)
		if err := a.relay.Listen(); err != nil {
			return err
		}
		self.Address = a.relay.Addr().String()
	}
	var err error
	if a.group, err = platform.NewGroup(a.store, self, time.Now().UTC().Format("150405.000000000")); err != nil {
		return err
	}
	var feeds fleet.Store = a.store
	if a.relay != nil {
		feeds = relay.NewStore(relay.Options{
			Direct: a.store, Directory: a.group, Journal: journal, Asked: asked, Self: self, Logger: a.logger, Now: time.Now,
			Counted: a.countReading,
		})
	}
	a.watcher = fleet.NewWatcher(fleet.Options{
		Store: feeds,
		Intervals: fleet.Intervals{
			Wait:    s.Store.Contact - s.Store.Timeout - readMargin,
			Retry:   s.Store.Retry,
			Timeout: s.Store.Timeout,
		},
		Apply:  a.adopt,
		Logger: a.logger,
		Now:    time.Now,
	})
	return nil
}

// countReading counts a reading of the store.
func (a *Attached) countReading(f fleet.Feed, w relay.Way) {
	result := [...]string{relay.Direct: telemetry.ReadDirect, relay.Through: telemetry.ReadReader, relay.Failed: telemetry.ReadFailed}[w]
	a.metrics.StoreReading(f.String(), result)
}
