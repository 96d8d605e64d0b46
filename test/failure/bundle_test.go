package failure

import (
	"context"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/settings"
)

// bundleStatus returns the status of the version that is in force on a daemon.
func (r *harness) bundleStatus(d *testbed.Daemon) (adminapi.BundleStatus, error) {
	var out adminapi.BundleStatus
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+d.AdminAddress+adminapi.PathBundle, nil)
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+d.AdminToken)
	return out, getJSON(req, &out)
}

// awaitSameRecord waits until all running daemons have version n in force, checks that
// it is the same record on all, and returns its digest.
func (r *harness) awaitSameRecord(n uint64) string {
	r.t.Helper()
	r.awaitVersion(n, r.Daemons...)
	digest := ""
	for _, d := range r.Daemons {
		s, err := r.bundleStatus(d)
		r.must(err)
		if digest == "" {
			digest = s.Digest
		}
		if s.Digest != digest {
			r.t.Errorf("version %d has digest %s on %s, %s on others", n, s.Digest, d.Name, digest)
		}
	}
	return digest
}

// checkNoRollback checks until the end of the test that no daemon returns to an older
// version without a restart.
func (r *harness) checkNoRollback() {
	ctx, cancel := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	for _, d := range r.Daemons {
		wg.Go(func() { r.watchForRollback(ctx, d) })
	}
	r.t.Cleanup(func() {
		cancel()
		wg.Wait()
		r.checkLogsForRollback()
	})
}

// adoptedPattern matches the line that a daemon logs when a version comes into force.
var adoptedPattern = regexp.MustCompile(`message="bundle in force" .*number=(\d+)`)

// checkLogsForRollback checks the log lines of the daemons that were started once.
// They also contain versions that were in force for less than the polling interval of
// watchForRollback.
func (r *harness) checkLogsForRollback() {
	starts := map[string]int{}
	for _, p := range r.Processes() {
		starts[p.Name]++
	}
	for _, d := range r.Daemons {
		if starts[d.Name] != 1 {
			continue
		}
		highest := 0
		for _, line := range adoptedPattern.FindAllStringSubmatch(d.Stderr(), -1) {
			number, _ := strconv.Atoi(line[1])
			if number <= highest {
				r.t.Errorf("%s logged version %d after %d", d.Name, number, highest)
			}
			highest = number
		}
		if highest == 0 {
			r.t.Errorf("%s logged no version", d.Name)
		}
	}
}

// watchForRollback polls a daemon's version in force until ctx ends.
func (r *harness) watchForRollback(ctx context.Context, d *testbed.Daemon) {
	var highest uint64
	tick := time.NewTicker(2 * pollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if s, err := r.bundleStatus(d); err == nil && s.Number > 0 {
			if s.Number < highest {
				r.t.Errorf("%s returned from version %d to %d", d.Name, highest, s.Number)
			}
			highest = s.Number
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Guards against daemons that miss a version or return to an older one because they
// depend on a single source of versions or accept any version that they are sent. A
// version is published while the log, the connections or a daemon fail, which then
// recover.
func TestAdopt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault, heal func(*harness)
		// reached are the indexes of the daemons that must have the version before heal
		// is called.
		reached []int
	}{
		"adopt/platform-cut":    {fault: func(r *harness) { r.SetPlatformMode("dc1", testbed.Cut) }, reached: []int{0, 1, 2}},
		"adopt/log-slow":        {fault: func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), DelayMS: 500}, 0) }, reached: []int{0, 1, 2}},
		"adopt/data-centre-cut": {fault: func(r *harness) { r.SetPeerMode("dc1", "dc2", testbed.Cut) }, reached: []int{0, 1, 2}},
		"adopt/platform-cut+data-centre-cut": {
			fault:   func(r *harness) { r.SetPlatformMode("dc1", testbed.Cut); r.SetPeerMode("dc1", "dc2", testbed.Cut) },
			heal:    func(r *harness) { r.SetPlatformMode("dc1", testbed.Open); r.SetPeerMode("dc1", "dc2", testbed.Open) },
			reached: []int{1},
		},
		"adopt/connection-cut":      {fault: func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), Cut: true}, 6) }, reached: []int{0, 1, 2}},
		"adopt/log-record-repeated": {fault: func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), Duplicate: true}, 1) }, reached: []int{0, 1, 2}},
		"adopt/connection-stalled":  {fault: func(r *harness) { r.SetPlatformMode("dc1", testbed.Stalled) }, reached: []int{0, 1, 2}},
		"adopt/daemon-killed":       {fault: func(r *harness) { r.Daemons[0].Kill() }, heal: func(r *harness) { r.must(r.StartDaemons(r.ctx)) }, reached: []int{1, 2}},
		"adopt/daemon-frozen": {
			fault:   func(r *harness) { r.must(r.Daemons[0].Freeze(r.ctx)) },
			heal:    func(r *harness) { r.must(r.Daemons[0].Thaw()) },
			reached: []int{1, 2},
		},
		"adopt/daemon-frozen+platform-cut": {
			fault:   func(r *harness) { r.must(r.Daemons[0].Freeze(r.ctx)); r.SetPlatformMode("dc1", testbed.Cut) },
			heal:    func(r *harness) { r.must(r.Daemons[0].Thaw()) },
			reached: []int{1, 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t)
			r.checkNoRollback()
			c.fault(r)
			n := r.publishWithRetries(fullRetryBudget)
			for _, i := range c.reached {
				r.awaitVersion(n, r.Daemons[i])
			}
			if c.heal != nil {
				c.heal(r)
			}
			r.awaitVersion(n, r.Daemons...)
		})
	}
	t.Run("adopt/log-down", func(t *testing.T) {
		t.Parallel()
		r := startFleet(t)
		r.checkNoRollback()
		r.setLogFaults(logDown, 0)
		if _, err := r.Publisher.Publish(r.ctx, r.lastBundle); err == nil {
			t.Fatal("published while the log was down")
		}
		r.probeDaemons(r.Daemons...)
		r.setLogFaults(logsvc.Faults{}, 0)
		r.awaitVersion(r.publish(fullRetryBudget), r.Daemons...)
	})
}

// manyVersions is more than the records that a daemon gets with one read of the log.
const manyVersions = 20

// Guards against a daemon that returns to older versions because it assumes that
// records read from the log are newer than the version in force. A data centre that is
// cut from the platform has received many versions from its peers. Then it is cut from
// the peers and reconnected to the platform, and reads the same versions from the log,
// a few with each read, followed by a new one.
func TestNeverBack(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	r.checkNoRollback()
	t.Run("adopt/platform-cut", func(t *testing.T) {
		r := r.forSubtest(t)
		r.SetPlatformMode("dc1", testbed.Cut)
		for range manyVersions {
			r.publish(fullRetryBudget)
		}
		r.publishAndWait(shortCallTimeout)
		r.SetPeerMode("dc1", "dc2", testbed.Cut)
		r.SetPlatformMode("dc1", testbed.Open)
		r.publishAndWait(fullRetryBudget)
	})
}

// Guards against a restarted daemon that uses an outdated version, or finds none though
// its peers have one, because it relies on the first source that responds or on the log
// alone. A daemon is killed and restarted while the log is down, slow or unreachable or
// contains repeated or forged records, or while its peers are unreachable too.
func TestRestartAdopt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault func(*harness)
		alone bool
	}{
		"restart-adopt/daemon-frozen":       {fault: func(*harness) {}},
		"restart-adopt/daemon-killed":       {fault: func(*harness) {}},
		"restart-adopt/log-down":            {fault: func(r *harness) { r.setLogFaults(logDown, 0) }},
		"restart-adopt/log-slow":            {fault: func(r *harness) { r.setLogFaults(logsvc.Faults{DelayMS: 1000}, 0) }},
		"restart-adopt/platform-cut":        {fault: func(r *harness) { r.SetPlatformMode("dc2", testbed.Cut) }},
		"restart-adopt/connection-cut":      {fault: func(r *harness) { r.setLogFaults(logsvc.Faults{Cut: true}, 0) }},
		"restart-adopt/log-record-repeated": {fault: func(r *harness) { r.repeatLastRecord() }},
		"restart-adopt/forged-record":       {fault: func(r *harness) { r.appendForgedRecords() }},
		"restart-adopt/connection-stalled":  {fault: func(r *harness) { r.SetPlatformMode("dc2", testbed.Stalled) }},
		"restart-adopt/data-centre-cut":     {fault: func(r *harness) { r.SetPeerMode("dc1", "dc2", testbed.Cut) }},
		"restart-adopt/data-centre-cut+platform-cut": {alone: true, fault: func(r *harness) {
			r.SetPlatformMode("dc2", testbed.Cut)
			r.SetPeerMode("dc1", "dc2", testbed.Cut)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t)
			r.checkNoRollback()
			n := r.publishAndWait(fullRetryBudget)
			d := r.Daemons[1]
			d.Kill()
			c.fault(r)
			r.must(r.StartDaemon(r.ctx, 1))
			if name == "restart-adopt/daemon-frozen" {
				r.must(d.Freeze(r.ctx))
				n = r.publish(shortCallTimeout)
				r.awaitVersion(n, r.Daemons[0], r.Daemons[2])
				r.must(d.Thaw())
			}
			if c.alone {
				if g := r.call(d, http.MethodGet, pathService+"/x", "", ""); g.problem == nil || g.problem.Run != "not-run" || r.checkReady(d) == nil {
					t.Errorf("a daemon without a bundle version serves requests: %s", g)
				}
				r.SetPlatformMode("dc2", testbed.Open)
				r.SetPeerMode("dc1", "dc2", testbed.Open)
			}
			r.awaitVersion(n, d)
			r.probeDaemons(d)
		})
	}
}

// Guards against a version that is lost when the log's retention deletes its only
// record, so that restarted daemons find none. The daemons append a checkpoint despite
// the fault; the log then deletes the records before it, and all daemons are restarted
// at once.
func TestReappend(t *testing.T) {
	t.Parallel()
	frequentCheckpoints := func(l *testbed.Layout) {
		before := l.Settings
		l.Settings = func(n int, s *settings.Settings) { before(n, s); s.Bundle.CheckpointInterval = time.Second }
	}
	for name, fault := range map[string]func(*harness){
		"re-append/daemon-killed":       func(r *harness) { r.Daemons[0].Kill() },
		"re-append/daemon-frozen":       func(r *harness) { r.must(r.Daemons[0].Freeze(r.ctx)) },
		"re-append/log-down":            func(r *harness) { r.setLogFaults(logDown, 3) },
		"re-append/log-reply-lost":      func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), LoseReply: true}, 2) },
		"re-append/log-record-repeated": func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), Duplicate: true}, 2) },
		"re-append/log-slow":            func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), DelayMS: 300}, 0) },
		"re-append/connection-cut":      func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), Cut: true}, 4) },
		"re-append/connection-stalled":  func(r *harness) { r.setLogFaults(logsvc.Faults{Stream: bundleStream(), StallReply: true}, 2) },
		"re-append/data-centre-cut":     func(r *harness) { r.SetPeerMode("dc1", "dc2", testbed.Cut) },
		"re-append/forged-record":       func(r *harness) { r.appendForgedRecords() },
		"re-append/platform-cut":        func(r *harness) { r.SetPlatformMode("dc1", testbed.Cut) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, frequentCheckpoints)
			n := r.publishAndWait(fullRetryBudget)
			fault(r)
			r.eventually("a checkpoint covers the version", func() error {
				_, err := r.checkpointOffset(n)
				return err
			})
			for _, d := range r.Daemons {
				d.Kill()
			}
			r.setLogFaults(logsvc.Faults{}, 0)
			r.SetPlatformMode("dc1", testbed.Open)
			r.SetPeerMode("dc1", "dc2", testbed.Open)
			from, err := r.checkpointOffset(n)
			r.must(err)
			r.must(r.Log.Post(r.ctx, "/trim", logsvc.TrimRequest{Stream: bundleStream(), Before: from}))
			r.must(r.StartDaemons(r.ctx))
			r.awaitSameRecord(n)
			r.probeDaemons(r.Daemons[0])
		})
	}
}

// checkpointOffset returns the offset up to which a checkpoint replaces all records of
// the bundle's stream. It returns an error while the checkpoints do not cover the
// records of that many versions. The test trims the log by offset, not to a number of
// newest records, which would change when a delayed append of a killed daemon arrives.
func (r *harness) checkpointOffset(versions uint64) (from uint64, err error) {
	log, err := r.logClient().Read(r.ctx, bundleStream(), 0, 1000, 0)
	if err != nil {
		return 0, err
	}
	for _, record := range log.Records {
		if through, ok := bundle.CheckpointThrough(record.Data); ok {
			from = max(from, through)
		}
	}
	if from < versions {
		return 0, errors.Errorf("%d records, checkpoints cover those below offset %d", len(log.Records), from)
	}
	return from, nil
}

// publishWithRetries publishes a version and repeats the append until the log accepts
// it, for faults of the log that also affect the publisher.
func (r *harness) publishWithRetries(change func(*bundle.Bundle)) (n uint64) {
	r.t.Helper()
	change(r.lastBundle)
	r.eventually("the log accepts the record", func() (err error) {
		n, err = r.Publisher.Publish(r.ctx, r.lastBundle)
		return err
	})
	return n
}

// appendForgedRecords appends a record signed with untrusted keys, and bytes that are
// not a record.
func (r *harness) appendForgedRecords() {
	r.t.Helper()
	untrusted, err := testbed.NewPublisher("http://" + r.Log.Listen)
	r.must(err)
	record, err := untrusted.Sign(r.lastBundle)
	r.must(err)
	_, err = r.logClient().Append(r.ctx, bundleStream(), record.Raw(), []byte("not a record"))
	r.must(err)
}

// repeatLastRecord appends the newest record of the bundle's stream a second time.
func (r *harness) repeatLastRecord() {
	r.t.Helper()
	log, err := r.logClient().Read(r.ctx, bundleStream(), 0, 1000, 0)
	r.must(err)
	_, err = r.logClient().Append(r.ctx, bundleStream(), log.Records[len(log.Records)-1].Data)
	r.must(err)
}
