package router

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/durablelog"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/relay"
)

// provisionFeeds creates the clients that read the store's feeds. With a relay address in the
// settings, the daemons of a data centre share the reads: one reads the store and relays
// the feeds to the others. Without one, this daemon reads the store itself.
func (a *Attached) provisionFeeds() error {
	s := a.settings.Load()
	a.storeEpochs = logpos.NewTracker(a.reportStoreEpoch)
	a.store = platform.NewStore(s.Store.Address, a.storeClient(), a.logger).WithEpochs(a.storeEpochs)
	wait := s.Store.ContactTimeout - s.Store.Timeout - contactMargin
	a.quarantineLog = newDurableLog(a, platform.NewQuarantineTopic(a.store), "quarantine", a.readsQuarantineLog)
	a.quarantine = newQuarantineKeeper(quarantine.Options{
		Dial: a.probeUpstream, Log: a.quarantineLog, IsReader: a.readsQuarantineLog, Wait: wait, Retention: s.Store.RecordRetention,
	}, a.metrics.Instruments, func() { a.runner.RecheckQueued() }, a.logger)
	self := relay.Peer{Instance: s.Instance.Name, DataCentre: s.Instance.DataCentre, Weight: s.Limits.Weight(), Boot: uint64(time.Now().UnixMilli())}
	var feeds fleet.Store = fleet.TimeoutStore{Store: a.store, Timeout: s.Store.Timeout}
	if s.Relay.Listen != "" {
		ln, err := net.Listen("tcp", s.Relay.Listen)
		if err != nil {
			return errors.Wrap(err, "listen for relay connections")
		}
		self.Address = ln.Addr().String()
		a.provisionRelay(self, ln)
	} else {
		a.provisionOrigins()
	}
	var err error
	if a.group, err = platform.NewGroup(a.store, self, time.Now().UTC().Format("150405.000000000")); err != nil {
		return err
	}
	if a.relay != nil {
		a.feeds = relay.NewStore(a.relayOptions(self, feeds))
		feeds = a.feeds
	}
	a.watcher = fleet.NewWatcher(fleet.Options{
		Store: feeds,
		Intervals: fleet.Intervals{
			PollWait: wait,
			Retry:    s.Store.Retry,
		},
		Instance: s.Instance.Name, DataCentre: s.Instance.DataCentre, Lease: s.Store.RegistrationLease(), MaxAge: s.Store.ContactTimeout,
		OnReread: func(f fleet.Feed, reason fleet.RereadReason) { a.metrics.StoreReread(f.String(), string(reason)) },
		OnView:   a.applyView,
		Logger:   a.logger,
		Now:      time.Now,
	})
	return nil
}

// newDurableLog returns the log of a topic of the store that only daemons write. isReader reports whether
// this daemon reads the topic for others; nil means that it does.
func newDurableLog[R comparable](a *Attached, topic durablelog.Topic[R], name string, isReader func() bool) *durablelog.Log[R] {
	return durablelog.New(durablelog.Options[R]{
		Topic: topic, Name: name, Epochs: a.storeEpochs, IsReader: isReader, Logger: a.logger, Now: time.Now,
		OnRewritten: func(n int) { a.metrics.StoreRewritten(name, n) },
	})
}

// reportStoreEpoch logs and measures a new epoch of the store.
func (a *Attached) reportStoreEpoch(previous, current logpos.Epoch) {
	a.metrics.SetStoreEpoch(current.Number())
	if previous == 0 {
		return
	}
	a.logger.WithFields(log.Fields{"epoch": current.Number(), "previous": previous.Number()}).Warn("store restored from a copy")
}

// provisionRelay creates the relay server and the clients that exchange records, samples,
// retries and units of rate limits with other daemons.
func (a *Attached) provisionRelay(self relay.Peer, ln net.Listener) {
	s := a.settings.Load()
	a.feedCache, a.roster, a.followerActivity = relay.NewFeedCache(), relay.NewRoster(self, s.Relay.DataCentres), relay.NewFollowerActivity()
	a.samples = relay.NewSamples(time.Now())
	a.accrualSender = relay.NewAccrualSender(a.teamLimits.ledger, a.roster)
	a.teamLimits.borrower.lenders = relay.NewLoans(relay.LoansOptions{Roster: a.roster, Time: a.accrualSender, Quota: a.teamLimits.ledger, Dial: relay.DialTCP, Logger: a.logger, Now: time.Now})
	a.provisionDetours()
	a.provisionAdmission(self)
	a.provisionOrigins()
	a.relay = relay.NewServer(relay.ServerOptions{
		Cache: a.feedCache, Roster: a.roster, Followers: a.followerActivity, Samples: a.samples, Quarantine: a.quarantine, Limits: a.upstreamLimits, OnSamples: a.learnSamples,
		Timing: relay.TimingFor(s.Store.ChangeTimeout()), Lend: a.lendRetries, Quota: a.teamLimits.ledger, LendUnits: a.lendUnits,
		Tunnels: a.carrier, Admission: a.coordinator, Origins: a.origins, LinkRate: s.Limits.LinkBytesPerSecond(), FrameBytes: s.Limits.FrameBytes(), MaxConns: maxRelayConns(s.Limits.Descriptors), Epochs: a.storeEpochs, Logger: a.logger, Now: time.Now,
	})
	a.relay.Listen(ln)
	a.retryBorrower = relay.NewBorrower(relay.BorrowerOptions{
		Roster: a.roster, Dial: relay.DialTCP, Random: rand.New(rand.NewPCG(a.seed, rngBorrow)), Logger: a.logger, Now: time.Now,
	})
	a.exchange = relay.NewExchange(relay.ExchangeOptions{
		Self: self, Seeds: s.Relay.Seeds, Roster: a.roster, Samples: a.samples, Limits: a.upstreamLimits, Time: a.accrualSender, Dial: relay.DialTCP, Logger: a.logger, Now: time.Now,
	})
}

// maxRelayConns returns the number of other daemons' connections for a number of file descriptors.
func maxRelayConns(descriptors int) int {
	const share = 0.4
	return min(relay.MaxConns, int(share*float64(descriptors)))
}

// relayOptions returns the options of the client that reads the store or asks the reader of
// the data centre; direct is the store.
func (a *Attached) relayOptions(self relay.Peer, direct fleet.Store) relay.Options {
	s := a.settings.Load()
	return relay.Options{
		Direct: direct, Directory: a.group, Cache: a.feedCache, Roster: a.roster, Followers: a.followerActivity,
		Samples: a.samples, Quarantine: a.quarantine, Limits: a.upstreamLimits, OnSamples: a.learnSamples, Time: a.accrualSender, Epochs: a.storeEpochs, Dial: relay.DialTCP, Timing: relay.TimingFor(s.Store.ChangeTimeout()), Self: self, Seeds: s.Relay.Seeds,
		Random: rand.New(rand.NewPCG(a.seed, rngRelay)), Logger: a.logger, Now: time.Now, OnRead: a.countStoreRead,
	}
}

// Stream numbers of the random generators that select the daemons to call. Generators with
// different stream numbers produce independent sequences from the daemon's seed.
const (
	rngRelay        uint64 = 101
	rngBorrow       uint64 = 102
	rngCarriers     uint64 = 103
	rngAvailability uint64 = 104
)

// countStoreRead counts a read of a feed by its result: answered by the store, answered by
// another daemon, or failed.
func (a *Attached) countStoreRead(f fleet.Feed, w relay.Outcome, reason relay.ReadReason) {
	result := [...]string{relay.Direct: telemetry.ReadDirect, relay.ViaPeer: telemetry.ReadViaReader, relay.Failed: telemetry.ReadFailed}[w]
	a.metrics.StoreRead(f.String(), result, string(reason))
}
