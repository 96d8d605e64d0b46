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

// status returns a daemon's word on the version in force.
func (r *rig) status(d *testbed.Daemon) (adminapi.BundleStatus, error) {
	var out adminapi.BundleStatus
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+d.AdminAddress+adminapi.PathBundle, nil)
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+d.AdminToken)
	return out, getJSON(req, &out)
}

// agree waits until all daemons that run have the same record of version n.
func (r *rig) agree(n uint64) string {
	r.t.Helper()
	r.inForce(n, r.Daemons...)
	digest := ""
	for _, d := range r.Daemons {
		s, err := r.status(d)
		r.must(err)
		if digest == "" {
			digest = s.Digest
		}
		if s.Digest != digest {
			r.t.Errorf("version %d is %s on %s and %s elsewhere", n, s.Digest, d.Name, digest)
		}
	}
	return digest
}

// forward watches every daemon until the test ends: within its life no daemon
// may go back to an older version.
func (r *rig) forward() {
	ctx, cancel := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	for _, d := range r.Daemons {
		wg.Go(func() { r.watchForward(ctx, d) })
	}
	r.t.Cleanup(func() {
		cancel()
		wg.Wait()
		r.logsForward()
	})
}

// adopted matches a daemon's log line of a version that came into force.
var adopted = regexp.MustCompile(`message="bundle in force" .*number=(\d+)`)

// logsForward checks the same by the log lines of daemons that had one life: a
// version that was in force for less than a look is there too.
func (r *rig) logsForward() {
	lives := map[string]int{}
	for _, p := range r.Processes() {
		lives[p.Name]++
	}
	for _, d := range r.Daemons {
		if lives[d.Name] != 1 {
			continue
		}
		highest := 0
		for _, line := range adopted.FindAllStringSubmatch(d.Stderr(), -1) {
			number, _ := strconv.Atoi(line[1])
			if number <= highest {
				r.t.Errorf("%s logs version %d after %d", d.Name, number, highest)
			}
			highest = number
		}
		if highest == 0 {
			r.t.Errorf("%s logs no version", d.Name)
		}
	}
}

func (r *rig) watchForward(ctx context.Context, d *testbed.Daemon) {
	var highest uint64
	tick := time.NewTicker(2 * pollEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		if s, err := r.status(d); err == nil && s.Number > 0 {
			if s.Number < highest {
				r.t.Errorf("%s went back from version %d to %d", d.Name, highest, s.Number)
			}
			highest = s.Number
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Symptom: a data centre runs an old version, or goes back to one.
// Sequence: a version is published while the log, the links or daemons fail;
// then they are well again.
// Cause: a version that is learnt in one way alone, or taken from whoever speaks.
func TestAdopt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault, heal func(*rig)
		// reached are the daemons that must have the version before heal.
		reached []int
	}{
		"adopt/platform-cut":    {fault: func(r *rig) { r.SetPlatform("dc1", testbed.Cut) }, reached: []int{0, 1, 2}},
		"adopt/log-slow":        {fault: func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), DelayMS: 500}, 0) }, reached: []int{0, 1, 2}},
		"adopt/data-centre-cut": {fault: func(r *rig) { r.SetPeers("dc1", "dc2", testbed.Cut) }, reached: []int{0, 1, 2}},
		"adopt/platform-cut+data-centre-cut": {
			fault:   func(r *rig) { r.SetPlatform("dc1", testbed.Cut); r.SetPeers("dc1", "dc2", testbed.Cut) },
			heal:    func(r *rig) { r.SetPlatform("dc1", testbed.Open); r.SetPeers("dc1", "dc2", testbed.Open) },
			reached: []int{1},
		},
		"adopt/connection-cut":      {fault: func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), Cut: true}, 6) }, reached: []int{0, 1, 2}},
		"adopt/log-record-repeated": {fault: func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), Duplicate: true}, 1) }, reached: []int{0, 1, 2}},
		"adopt/connection-stalled":  {fault: func(r *rig) { r.SetPlatform("dc1", testbed.Stalled) }, reached: []int{0, 1, 2}},
		"adopt/daemon-killed":       {fault: func(r *rig) { r.Daemons[0].Kill() }, heal: func(r *rig) { r.must(r.StartDaemons(r.ctx)) }, reached: []int{1, 2}},
		"adopt/daemon-frozen": {
			fault:   func(r *rig) { r.must(r.Daemons[0].Freeze(r.ctx)) },
			heal:    func(r *rig) { r.must(r.Daemons[0].Thaw()) },
			reached: []int{1, 2},
		},
		"adopt/daemon-frozen+platform-cut": {
			fault:   func(r *rig) { r.must(r.Daemons[0].Freeze(r.ctx)); r.SetPlatform("dc1", testbed.Cut) },
			heal:    func(r *rig) { r.must(r.Daemons[0].Thaw()) },
			reached: []int{1, 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			r.forward()
			c.fault(r)
			n := r.publishAnyhow(generous)
			for _, i := range c.reached {
				r.inForce(n, r.Daemons[i])
			}
			if c.heal != nil {
				c.heal(r)
			}
			r.inForce(n, r.Daemons...)
		})
	}
	t.Run("adopt/log-down", func(t *testing.T) {
		t.Parallel()
		r := start(t)
		r.forward()
		r.setLog(logDown, 0)
		if _, err := r.Publisher.Publish(r.ctx, r.last); err == nil {
			t.Fatal("published while the log was down")
		}
		r.probe(r.Daemons...)
		r.setLog(logsvc.Faults{}, 0)
		r.inForce(r.publish(generous), r.Daemons...)
	})
}

// manyVersions is more than a daemon takes from the log with one read.
const manyVersions = 20

// Symptom: a daemon goes back to versions that it has left behind.
// Sequence: a data centre cut from the platform has learnt many versions from its
// peers; then it is cut from the peers, the platform's link heals, and the log
// brings it the same ones again, a few with each read, and a new one.
// Cause: a log taken for the newest word.
func TestNeverBack(t *testing.T) {
	t.Parallel()
	r := start(t)
	r.forward()
	t.Run("adopt/platform-cut", func(t *testing.T) {
		r := r.under(t)
		r.SetPlatform("dc1", testbed.Cut)
		for range manyVersions {
			r.publish(generous)
		}
		r.roll(quickCalls)
		r.SetPeers("dc1", "dc2", testbed.Cut)
		r.SetPlatform("dc1", testbed.Open)
		r.roll(generous)
	})
}

// Symptom: a daemon that was replaced serves an old version, or none though its
// peers have one.
// Sequence: a version is in force; a daemon is killed and started again, with the
// log down or cut, or cut from its peers too; then all is well again.
// Cause: a version taken from the first source that answers, or only from the log.
func TestRestartAdopt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault func(*rig)
		alone bool
	}{
		"restart-adopt/daemon-frozen":       {fault: func(*rig) {}},
		"restart-adopt/daemon-killed":       {fault: func(*rig) {}},
		"restart-adopt/log-down":            {fault: func(r *rig) { r.setLog(logDown, 0) }},
		"restart-adopt/log-slow":            {fault: func(r *rig) { r.setLog(logsvc.Faults{DelayMS: 1000}, 0) }},
		"restart-adopt/platform-cut":        {fault: func(r *rig) { r.SetPlatform("dc2", testbed.Cut) }},
		"restart-adopt/connection-cut":      {fault: func(r *rig) { r.setLog(logsvc.Faults{Cut: true}, 0) }},
		"restart-adopt/log-record-repeated": {fault: func(r *rig) { r.repeatLast() }},
		"restart-adopt/forged-record":       {fault: func(r *rig) { r.litter() }},
		"restart-adopt/connection-stalled":  {fault: func(r *rig) { r.SetPlatform("dc2", testbed.Stalled) }},
		"restart-adopt/data-centre-cut":     {fault: func(r *rig) { r.SetPeers("dc1", "dc2", testbed.Cut) }},
		"restart-adopt/data-centre-cut+platform-cut": {alone: true, fault: func(r *rig) {
			r.SetPlatform("dc2", testbed.Cut)
			r.SetPeers("dc1", "dc2", testbed.Cut)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			r.forward()
			n := r.roll(generous)
			d := r.Daemons[1]
			d.Kill()
			c.fault(r)
			r.must(r.StartDaemon(r.ctx, 1))
			if name == "restart-adopt/daemon-frozen" {
				r.must(d.Freeze(r.ctx))
				n = r.publish(quickCalls)
				r.inForce(n, r.Daemons[0], r.Daemons[2])
				r.must(d.Thaw())
			}
			if c.alone {
				if g := r.call(d, http.MethodGet, pathService+"/x", "", ""); g.problem == nil || g.problem.Run != "not-run" || r.ready(d) == nil {
					t.Errorf("a daemon that knows no version serves: %s", g)
				}
				r.SetPlatform("dc2", testbed.Open)
				r.SetPeers("dc1", "dc2", testbed.Open)
			}
			r.inForce(n, d)
			r.probe(d)
		})
	}
}

// Symptom: after the log's retention has passed, a new daemon finds no version.
// Sequence: the version in force is appended again while the log is well, or
// after it was down, lost the reply or a daemon died; the log then drops all
// older records; every daemon is replaced at once.
// Cause: a version that stands on the log once.
func TestReappend(t *testing.T) {
	t.Parallel()
	soon := func(l *testbed.Layout) {
		before := l.Settings
		l.Settings = func(n int, s *settings.Settings) { before(n, s); s.Bundle.CheckpointInterval = time.Second }
	}
	for name, fault := range map[string]func(*rig){
		"re-append/daemon-killed":       func(r *rig) { r.Daemons[0].Kill() },
		"re-append/daemon-frozen":       func(r *rig) { r.must(r.Daemons[0].Freeze(r.ctx)) },
		"re-append/log-down":            func(r *rig) { r.setLog(logDown, 3) },
		"re-append/log-reply-lost":      func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), LoseReply: true}, 2) },
		"re-append/log-record-repeated": func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), Duplicate: true}, 2) },
		"re-append/log-slow":            func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), DelayMS: 300}, 0) },
		"re-append/connection-cut":      func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), Cut: true}, 4) },
		"re-append/connection-stalled":  func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), StallReply: true}, 2) },
		"re-append/data-centre-cut":     func(r *rig) { r.SetPeers("dc1", "dc2", testbed.Cut) },
		"re-append/forged-record":       func(r *rig) { r.litter() },
		"re-append/platform-cut":        func(r *rig) { r.SetPlatform("dc1", testbed.Cut) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, soon)
			n := r.roll(generous)
			fault(r)
			r.eventually("the version is appended again", func() error {
				_, err := r.checkpointed(n)
				return err
			})
			for _, d := range r.Daemons {
				d.Kill()
			}
			r.setLog(logsvc.Faults{}, 0)
			r.SetPlatform("dc1", testbed.Open)
			r.SetPeers("dc1", "dc2", testbed.Open)
			from, err := r.checkpointed(n)
			r.must(err)
			r.must(r.Log.Post(r.ctx, "/trim", logsvc.TrimRequest{Stream: bundleStream(), Before: from}))
			r.must(r.StartDaemons(r.ctx))
			r.agree(n)
			r.probe(r.Daemons[0])
		})
	}
}

// checkpointed returns the offset up to which a checkpoint speaks for all records, and an
// error while that needs a version's own record. A number of newest records would be
// another one once a slow append of a killed daemon arrives.
func (r *rig) checkpointed(versions uint64) (from uint64, err error) {
	log, err := r.logClient().Read(r.ctx, bundleStream(), 0, 1000, 0)
	if err != nil {
		return 0, err
	}
	for _, x := range log.Records {
		if through, ok := bundle.CheckpointThrough(x.Data); ok {
			from = max(from, through)
		}
	}
	if from < versions {
		return 0, errors.Errorf("%d records, the newest checkpoint speaks through %d", len(log.Records), from)
	}
	return from, nil
}

// publishAnyhow publishes past a fault of the log that hits the publisher too.
func (r *rig) publishAnyhow(change func(*bundle.Bundle)) (n uint64) {
	r.t.Helper()
	change(r.last)
	r.eventually("the log takes the record", func() (err error) {
		n, err = r.Publisher.Publish(r.ctx, r.last)
		return err
	})
	return n
}

// litter appends records that are none, or that strangers signed.
func (r *rig) litter() {
	r.t.Helper()
	stranger, err := testbed.NewPublisher("http://" + r.Log.Listen)
	r.must(err)
	strange, err := stranger.Sign(r.last)
	r.must(err)
	_, err = r.logClient().Append(r.ctx, bundleStream(), strange.Raw(), []byte("not a record"))
	r.must(err)
}

// repeatLast appends the log's newest record once more.
func (r *rig) repeatLast() {
	r.t.Helper()
	log, err := r.logClient().Read(r.ctx, bundleStream(), 0, 1000, 0)
	r.must(err)
	_, err = r.logClient().Append(r.ctx, bundleStream(), log.Records[len(log.Records)-1].Data)
	r.must(err)
}
