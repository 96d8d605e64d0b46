package request

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// CancelLimits bound the cancels that outlive their requests.
type CancelLimits struct {
	// Try bounds one call; Age is when a cancel is left to the steward's sweep.
	Try time.Duration
	Age time.Duration
	// MinPause and MaxPause bound the pause between tries, which doubles.
	MinPause time.Duration
	MaxPause time.Duration
	// PerUpstream bounds the cancels that wait for one upstream.
	PerUpstream int
}

// DefaultCancelLimits returns the limits used where settings give none. A
// cancelled caller's memory is to be free within 250 ms, so the first tries
// come in quick succession; the sweep takes over long after it has begun to
// list the engine's memory, about once a second.
func DefaultCancelLimits() CancelLimits {
	return CancelLimits{
		Try:         500 * time.Millisecond,
		Age:         10 * time.Second,
		MinPause:    10 * time.Millisecond,
		MaxPause:    time.Second,
		PerUpstream: 1024,
	}
}

// cancelTask is one attempt's work on one upstream, to be cancelled, or to be
// resumed after a pause.
type cancelTask struct {
	work   engineapi.WorkID
	resume bool
	since  time.Time
	tries  int
}

// sendWork is a call about one attempt's work.
type sendWork func(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error)

// canceller repeats cancels, and resumes after a pause, until engines
// acknowledge them.
//
// A cancel that is sent once and lost leaves a slot and its KV cache held for
// nobody until the sweep finds it; the engine's held list would show it. So a
// cancel outlives its request. Each upstream has its own lane, one goroutine
// that lives while there is something to cancel: a frozen engine then holds up
// its own cancels and no others, and there are no more lanes than upstreams.
type canceller struct {
	limits CancelLimits
	now    func() time.Time
	cancel sendWork
	resume sendWork
	ended  func(tries int, took time.Duration, acknowledged bool)

	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup

	mu    sync.Mutex
	lanes map[string][]cancelTask // by address; present while its goroutine runs
	idle  chan struct{}           // closed when lanes is empty and someone waits
}

func newCanceller(o *Options) *canceller {
	ctx, stop := context.WithCancel(context.Background())
	return &canceller{
		limits: o.Cancel,
		now:    o.Now,
		cancel: o.Engines.Cancel,
		resume: o.Engines.Resume,
		ended:  o.Metrics.Cancelled,
		ctx:    ctx,
		stop:   stop,
		lanes:  map[string][]cancelTask{},
	}
}

// add takes over one cancel. It never blocks; over the bound the cancel is left
// to the steward's sweep at once.
func (c *canceller) add(addr string, task cancelTask) {
	task.since = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	lane, running := c.lanes[addr]
	if len(lane) >= c.limits.PerUpstream || c.ctx.Err() != nil {
		c.note(task, false)
		return
	}
	c.lanes[addr] = append(lane, task)
	if !running {
		c.wg.Go(func() { c.run(addr) })
	}
}

// run works through one lane until it is empty.
func (c *canceller) run(addr string) {
	pause := c.limits.MinPause
	for {
		task, ok := c.head(addr)
		if !ok {
			return
		}
		if c.try(addr, &task) {
			pause = c.limits.MinPause
			c.drop(addr)
			continue
		}
		if c.now().Sub(task.since) > c.limits.Age {
			c.note(task, false)
			c.drop(addr)
			continue
		}
		c.store(addr, task)
		if !clock.Sleep(c.ctx, pause) {
			c.abandon(addr)
			return
		}
		pause = min(2*pause, c.limits.MaxPause)
	}
}

// try sends one cancel and says whether it was acknowledged. An engine that
// has restarted holds nothing and acknowledges too.
func (c *canceller) try(addr string, task *cancelTask) bool {
	ctx, cancel := context.WithTimeout(c.ctx, c.limits.Try)
	defer cancel()
	task.tries++
	send := c.cancel
	if task.resume {
		send = c.resume
	}
	if _, err := send(ctx, addr, task.work); err != nil {
		return false
	}
	c.note(*task, true)
	return true
}

// note counts the end of a cancel.
func (c *canceller) note(task cancelTask, acknowledged bool) {
	if !task.resume {
		c.ended(task.tries, c.now().Sub(task.since), acknowledged)
	}
}

// head returns the first task of a lane, or ends the lane when there is none.
func (c *canceller) head(addr string) (cancelTask, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lane := c.lanes[addr]
	if len(lane) == 0 {
		c.remove(addr)
		return cancelTask{}, false
	}
	return lane[0], true
}

func (c *canceller) store(addr string, task cancelTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lanes[addr][0] = task
}

func (c *canceller) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lanes[addr] = c.lanes[addr][1:]
}

func (c *canceller) abandon(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range c.lanes[addr] {
		c.note(task, false)
	}
	c.remove(addr)
}

// remove ends a lane; c.mu is held.
func (c *canceller) remove(addr string) {
	delete(c.lanes, addr)
	if len(c.lanes) == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// flush waits until every cancel has ended or ctx ends.
func (c *canceller) flush(ctx context.Context) {
	c.mu.Lock()
	if len(c.lanes) == 0 {
		c.mu.Unlock()
		return
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// close ends every lane and waits for them.
func (c *canceller) close() {
	c.stop()
	c.wg.Wait()
}
