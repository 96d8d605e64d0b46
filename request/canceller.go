package request

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

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
	work   engineapi.CancelRequest
	resume bool
	since  time.Time
	tries  int
}

// sendWork is a call about one attempt's work.
type sendWork func(ctx context.Context, addr string, r engineapi.CancelRequest) error

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
	lanes map[string]*lane // by address; present while its goroutine runs
	idle  chan struct{}    // closed when lanes is empty and someone waits
}

func newCanceller(o *Options) *canceller {
	ctx, stop := context.WithCancel(context.Background())
	return &canceller{
		limits: o.Cancel,
		now:    o.Now,
		cancel: o.Engines.Release,
		resume: o.Engines.Unpause,
		ended:  o.Metrics.Cancelled,
		ctx:    ctx,
		stop:   stop,
		lanes:  map[string]*lane{},
	}
}

// add takes over one cancel. It never blocks; over the bound the cancel is left
// to the steward's sweep at once.
func (c *canceller) add(addr string, task cancelTask) {
	task.since = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lanes[addr]
	if l != nil && len(l.tasks) >= c.limits.PerUpstream || c.ctx.Err() != nil {
		c.note(task, false)
		return
	}
	if l == nil {
		l = &lane{kick: make(chan struct{}, 1)}
		c.lanes[addr] = l
		c.wg.Go(func() { c.run(addr, l) })
	}
	l.insert(task)
}

// lane is the tasks of one upstream, those not tried yet first. One that is not
// acknowledged would otherwise hold up all that come after it for as long as it
// is repeated: memory of cancelled requests would stay held on an engine that is
// well. Guarded by canceller.mu but for kick.
type lane struct {
	tasks []cancelTask
	kick  chan struct{} // holds a token when a task was added
}

// insert adds a new task behind the other new ones.
func (l *lane) insert(task cancelTask) {
	i := slices.IndexFunc(l.tasks, func(o cancelTask) bool { return o.tries > 0 })
	if i < 0 {
		i = len(l.tasks)
	}
	l.tasks = slices.Insert(l.tasks, i, task)
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// run works through one lane until it is empty.
func (c *canceller) run(addr string, l *lane) {
	pause := c.limits.MinPause
	for {
		task, ok := c.take(addr, l)
		if !ok {
			return
		}
		if c.try(addr, &task) {
			pause = c.limits.MinPause
			continue
		}
		if c.now().Sub(task.since) > c.limits.Age {
			c.note(task, false)
			continue
		}
		if fresh := c.putBack(l, task); fresh {
			continue
		}
		if !l.sleep(c.ctx, pause) {
			c.abandon(addr, l)
			return
		}
		pause = min(2*pause, c.limits.MaxPause)
	}
}

// sleep waits for d or for a new task; it returns false when ctx ended.
func (l *lane) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-l.kick:
	case <-timer.C:
	}
	return true
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
	if err := send(ctx, addr, task.work); err != nil {
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

// take removes the first task of a lane, or ends the lane when there is none.
func (c *canceller) take(addr string, l *lane) (cancelTask, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.tasks) == 0 {
		c.remove(addr)
		return cancelTask{}, false
	}
	task := l.tasks[0]
	l.tasks = l.tasks[1:]
	return task, true
}

// putBack adds a task that failed at the end and says whether one that was not
// tried yet comes first.
func (c *canceller) putBack(l *lane, task cancelTask) (fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.tasks = append(l.tasks, task)
	return l.tasks[0].tries == 0
}

func (c *canceller) abandon(addr string, l *lane) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range l.tasks {
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
