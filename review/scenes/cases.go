package main

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"
)

// startPlain starts replicas of the plain services.
func (t *trial) startPlain(work time.Duration) error {
	for _, service := range []string{"portal", "archive"} {
		for i := range 2 {
			p := &replica{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: "poa-a", slots: 6, work: work}
			if err := p.start(t); err != nil {
				return err
			}
		}
	}
	return nil
}

// applied is longer than config_apply_ms.
const applied = 3 * time.Second

// encoded: a manifest adds a route whose prefix goes on below that of another one. Ids of clients have a slash, which
// they send as %2F, so their paths begin with the shorter prefix only.
func encoded(t *trial, program string, trouble bool) (broken int, seen string, err error) {
	const requests = 20
	portal := route("bookings", "/book/", "non_idempotent", "portal", 1, nil)
	archive := route("old", "/book/k7/", "idempotent", "archive", 2, nil)
	t.manifest(1, portal)
	if err := t.startPlain(15 * time.Millisecond); err != nil {
		return 0, "", err
	}
	if err := t.startDaemons(program); err != nil {
		return 0, "", err
	}
	if trouble {
		t.manifest(2, portal, archive)
	}
	time.Sleep(applied)
	answered := 0
	for i := range requests {
		attempt := fmt.Sprintf("e%015x", i)
		a := t.ask(t.daemons[i%len(t.daemons)], "POST", fmt.Sprintf("/book/k7%%2F%d", 100+i), attempt, "", "one plaque")
		if a.status == 200 {
			answered++
		}
		for _, r := range t.runsOf(attempt) {
			if r.service != "portal" {
				broken++
			}
		}
	}
	if answered == 0 {
		return 0, "", fmt.Errorf("no request was answered")
	}
	return broken, fmt.Sprintf("%d of %d requests for /book/k7%%2F... ran at the service of /book/k7/", broken, requests), nil
}

// eventID matches the id of an event.
var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// comment: an engine preempts its streams for a while, and says by a comment that it is alive.
func comment(t *trial, program string, trouble bool) (broken int, seen string, err error) {
	const (
		streams   = 10
		events    = 8
		preemptAt = 4
		pause     = time.Second
	)
	t.manifest(1, route("draft", "/draft/", "stream", "drafts", 1, map[string]any{"sticky": true, "resumable": false, "target_gap_ms": 300}))
	for i, stage := range []string{"prefill", "decode", "decode"} {
		p := &replica{id: fmt.Sprintf("i-drafts-%d", i+1), service: "drafts", stage: stage, zone: "poa-a", slots: 12, events: events}
		if trouble {
			p.pauseBefore, p.pause, p.comments = preemptAt, pause, true
		}
		if err := p.start(t); err != nil {
			return 0, "", err
		}
	}
	if err := t.startDaemons(program); err != nil {
		return 0, "", err
	}
	time.Sleep(applied)
	answered := 0
	for i := range streams {
		attempt := fmt.Sprintf("c%015x", i)
		more := fmt.Sprintf("Model-Name: m\r\nToken-Count: 300,%d\r\nPrompt-Prefix: 5c1e07a2:200,%08x:100\r\n", events, i)
		a := t.ask(t.daemons[i%len(t.daemons)], "POST", fmt.Sprintf("/draft/%d", i), attempt, more, "{}")
		if a.status != 200 || !a.whole {
			continue
		}
		answered++
		var ids []string
		for _, m := range eventID.FindAllStringSubmatch(string(a.body), -1) {
			ids = append(ids, m[1])
		}
		t.note("pieces   %s: %s", attempt, strings.Join(ids, " "))
		if len(ids) != events {
			broken++
		}
	}
	if answered == 0 {
		return 0, "", fmt.Errorf("no stream was answered")
	}
	return broken, fmt.Sprintf("%d of %d streams that ended as complete lack a piece", broken, answered), nil
}

// moved: a manifest moves a route from one service to another, and does not name the first one any more. Clients are
// about to send their bodies, in chunks.
func moved(t *trial, program string, trouble bool) (broken int, seen string, err error) {
	const (
		clients = 40
		before  = 500 * time.Millisecond // from the first chunk to the manifest
	)
	t.manifest(1, route("book", "/book/", "non_idempotent", "portal", 1, nil))
	if err := t.startPlain(15 * time.Millisecond); err != nil {
		return 0, "", err
	}
	if err := t.startDaemons(program); err != nil {
		return 0, "", err
	}
	time.Sleep(applied)
	answers := make([]answer, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { answers[i] = t.upload(t.daemons[i%len(t.daemons)], fmt.Sprintf("d%015x", i), before+applied) })
	}
	time.Sleep(before)
	if trouble {
		t.manifest(2, route("book", "/book/", "non_idempotent", "archive", 1, nil))
	}
	wg.Wait()
	for i := range clients {
		attempt := fmt.Sprintf("e%015x", i)
		if a := t.ask(t.daemons[i%len(t.daemons)], "POST", "/book/9", attempt, "", "one plaque"); a.status != 200 {
			return 0, "", fmt.Errorf("a request after the manifest got %d", a.status)
		}
	}
	const slack = 5 // of DENIED, beside one in 500
	for _, a := range answers {
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			broken++
		}
	}
	seen = fmt.Sprintf("%d of %d proper requests got a 4xx of the system", broken, 2*clients)
	if broken <= slack+2*clients/500 {
		broken = 0
	}
	return broken, seen, nil
}
