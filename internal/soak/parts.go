package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// fatalPartCount is the number of prompt parts that crash engines, and soundPartCallers the number
	// of callers whose prompts share their other parts with them.
	fatalPartCount, soundPartCallers = 2, 4
	// partCrashThreshold is the number of crashes after which daemons must refuse a part, as
	// crashThreshold is for whole requests.
	partCrashThreshold = 5
	// maxRefusedSound is the largest share of sound requests that daemons may refuse for a part.
	maxRefusedSound = 0.05
)

// partCounts counts the sound requests that share their parts with fatal ones.
type partCounts struct{ asked, refused int }

// randomPrompt returns the parts of a prompt: one that most share, one of some others, the given ones
// at any place before the last, and a last one that no other prompt has.
func randomPrompt(rng *rand.Rand, n int64, others ...string) string {
	parts := []string{"f00dcafe:100", fmt.Sprintf("0d0c%04x:40", rng.IntN(4))}
	for _, part := range others {
		parts = slices.Insert(parts, rng.IntN(len(parts)+1), part+":50")
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:20", n)), ",")
}

// runFatalPartCaller sends requests of which no two are alike, all with the n-th fatal part, to random
// daemons until ctx ends.
func (r *run) runFatalPartCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(2000+n)))
	part := fmt.Sprintf("bad0000%d", n)
	r.site.CrashOnPart(part, rng.IntN(2), r.replaceUpstream)
	for ctx.Err() == nil {
		d := r.daemons[rng.IntN(len(r.daemons))]
		attempt := fatalAttempt{cause: part, sentAt: time.Now(), daemonConnected: r.isConnected(d), id: fmt.Sprintf("part%d", r.idCount.Add(1))}
		r.sendPart(ctx, d, rng, attempt.id, part)
		r.mu.Lock()
		r.partAttempts = append(r.partAttempts, attempt)
		r.mu.Unlock()
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
	}
}

// runSoundPartCaller sends sound requests with the other parts until ctx ends.
func (r *run) runSoundPartCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(3000+n)))
	for ctx.Err() == nil {
		kind := r.sendPart(ctx, r.daemons[rng.IntN(len(r.daemons))], rng, fmt.Sprintf("sound%d", r.idCount.Add(1)))
		r.mu.Lock()
		r.soundParts.asked++
		if kind == "crashes-upstreams" {
			r.soundParts.refused++
		}
		r.mu.Unlock()
		time.Sleep(time.Duration(20+rng.IntN(80)) * time.Millisecond)
	}
}

// sendPart sends a request for a stream over a new connection. It returns the kind of the
// error; empty if there was none.
func (r *run) sendPart(ctx context.Context, d *daemon, rng *rand.Rand, id string, parts ...string) string {
	req, err := site.NewRequest(ctx, d.callersAddress, []string{site.PathDraft, site.PathLetter}[rng.IntN(2)]+"x", id, requestTimeout)
	if err != nil {
		panic(err) // programming error: the URL is invalid
	}
	req.Header.Set("Prompt-Prefix", randomPrompt(rng, r.idCount.Add(1), parts...))
	if r.options.Teams {
		site.SetKey(req, teamKey(unlimitedTeam, 0), "")
	}
	resp, err := recoveryClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK {
		return ""
	}
	return strings.TrimSpace(string(body))
}

// checkFatalParts checks that daemons refuse a part once it has crashed partCrashThreshold engines,
// and no sound requests with it.
func (r *run) checkFatalParts() {
	r.checkLateRuns(r.partAttempts, partCrashThreshold)
	if s := r.soundParts; float64(s.refused) > maxRefusedSound*float64(s.asked) {
		r.addViolation("%d of %d sound requests were refused for a part", s.refused, s.asked)
	}
}
