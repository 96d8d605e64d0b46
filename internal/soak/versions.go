package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// maxTries is the number of tries of a caller that takes its stream up.
	maxTries = 3
	// maxRegisterDelay bounds the time from an upstream's restart to its registration.
	maxRegisterDelay = 300 * time.Millisecond
	// maxPause bounds the time for which a daemon stands still during an upgrade.
	maxPause = 3 * time.Second
	// With Options.StaleDaemons, one of namelessShare callers takes its streams up without naming its try.
	namelessShare = 3
)

// softwareVersions are the versions at which engines restart, in no order.
var softwareVersions = []string{site.DefaultVersion, "v2", "v3"}

// versionFaults generates upgrades at random, back and forth: single engines restart under their
// names, at the version that they had or another one, and series move all of them one after the
// other. Some fall together with a kill of all daemons. The same seed gives the same faults.
func versionFaults(seed uint64, length time.Duration, _, upstreams int) []fault {
	const perSecond = 1.5
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []fault
	for range int(length.Seconds() * perSecond) {
		at, version := time.Duration(rng.Int64N(int64(length))), rng.IntN(len(softwareVersions))
		targets := rng.Perm(upstreams)[:1]
		if rng.IntN(4) == 0 {
			targets = rng.Perm(upstreams)
		}
		for i, target := range targets {
			out = append(out, fault{start: at + time.Duration(i)*100*time.Millisecond, duration: time.Duration(rng.Int64N(int64(maxRegisterDelay))), action: actUpgrade, target: target, version: softwareVersions[version]})
		}
		if rng.IntN(6) == 0 {
			out = append(out, fault{start: at + time.Duration(rng.IntN(500))*time.Millisecond, action: actKillAll})
		}
	}
	return out
}

// staleDaemonFaults generates pauses of single daemons that begin up to 0.2 s before the first upgrade of versionFaults
// and before some others.
func staleDaemonFaults(seed uint64, length time.Duration, daemons, upstreams int) (out []fault) {
	upgrades := versionFaults(seed, length, daemons, upstreams)
	slices.SortStableFunc(upgrades, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	rng := rand.New(rand.NewPCG(seed, 12))
	for i, f := range upgrades {
		if i > 0 && rng.IntN(8) > 0 {
			continue
		}
		before := time.Duration(rng.IntN(200)) * time.Millisecond
		out = append(out, fault{start: max(0, f.start-before), duration: time.Duration(rng.Int64N(int64(maxPause))), action: actPause, target: rng.IntN(daemons)})
	}
	return out
}

// upgrade restarts an engine at a version. Its registration follows after the duration of the fault.
func (r *run) upgrade(f fault) {
	u, _ := r.upstream(f.target)
	if u.Role() == "" || !r.site.IsRunning(u.Name) {
		return
	}
	u.Restart(f.version)
	time.Sleep(f.duration)
	r.site.Register(u, "in_service")
}

// streamCounts counts the tries of callers that take streams up.
type streamCounts struct {
	// Began and BeganOf are the first tries that brought an event, and all first tries. WentOn and
	// TakenUp are the same for tries that take a stream up. Refused counts those that were refused.
	Began, BeganOf, WentOn, TakenUp, Refused int64
	// NamelessWentOn and NamelessTakenUp are the part of WentOn and TakenUp that names no try.
	NamelessWentOn, NamelessTakenUp int64
}

// runResumer begins streams, leaves them or loses them at some event, and takes them up at random
// daemons, until ctx ends.
func (r *run) runResumer(ctx context.Context, n uint64) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 1000+n))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		r.resumeStream(ctx, client, rng, r.options.StaleDaemons && n%namelessShare == 0)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// resumeStream runs all tries of one stream and checks the versions of its events. nameless leaves out which try
// began it.
func (r *run) resumeStream(ctx context.Context, client *http.Client, rng *rand.Rand, nameless bool) {
	var versions []string
	origin, has := "", 0
	for try := range maxTries {
		id := fmt.Sprintf("up%d", r.idCount.Add(1))
		header := []string{}
		if has > 0 {
			header = []string{"Last-Event-Id", strconv.Itoa(has)}
		}
		if has > 0 && !nameless {
			header = append(header, "Resumes", origin)
		}
		leaveAfter := 1 + rng.IntN(streamEvents)
		if try == maxTries-1 {
			leaveAfter = streamEvents
		}
		sent := sentRequest{id: id, path: site.PathDraft, daemon: r.daemons[rng.IntN(len(r.daemons))], sentAt: time.Now(), left: true}
		status, events, err := r.readEvents(ctx, client, sent.daemon, id, leaveAfter, header)
		sent.status = status
		r.recordRequest(sent, err)
		got := site.EventVersions(events)
		r.countTry(has > 0, nameless, len(got) > 0, status)
		if len(got) > 0 && origin == "" {
			origin = id
		}
		versions, has = append(versions, got...), has+len(got)
		if distinct := slices.Compact(slices.Sorted(slices.Values(versions))); len(distinct) > 1 {
			r.addViolation("%s (stream of %s): events of versions %v", id, origin, versions)
			return
		}
		if has >= streamEvents || ctx.Err() != nil {
			return
		}
	}
}

// countTry counts one try. brought is set if it brought an event.
func (r *run) countTry(takesUp, nameless, brought bool, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.result.Streams
	done, all := &c.Began, &c.BeganOf
	if takesUp {
		done, all = &c.WentOn, &c.TakenUp
		if status == http.StatusServiceUnavailable {
			c.Refused++
		}
	}
	*all++
	if brought {
		*done++
	}
	if !takesUp || !nameless {
		return
	}
	c.NamelessTakenUp++
	if brought {
		c.NamelessWentOn++
	}
}

// readEvents asks for a draft and reads its whole events until there are as many as wanted. err is
// set if the connection fails before.
func (r *run) readEvents(ctx context.Context, client *http.Client, d *daemon, id string, want int, header []string) (status int, events string, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	req, err := site.NewRequest(ctx, d.callersAddress, site.PathDraft+"x", id, requestTimeout)
	if err != nil {
		panic(err) // programming error: the URL is invalid
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body) // the status tells enough
		return resp.StatusCode, "", nil
	}
	lines, event := bufio.NewReader(resp.Body), ""
	for n := 0; n < want; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return resp.StatusCode, events, err // what is left is no whole event
		}
		if event += line; strings.HasSuffix(event, "\n\n") {
			events, event, n = events+event, "", n+1
		}
	}
	return resp.StatusCode, events, nil
}
