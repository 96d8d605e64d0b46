package request

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// CancelLimits bound the cancel calls that continue after their requests have ended.
type CancelLimits struct {
	// Try is the timeout of one call. Age is how long a cancel is repeated; after that, the
	// work is left to the steward's sweep (package steward), which frees memory that engines
	// hold for ended requests.
	Try time.Duration
	Age time.Duration
	// MinPause and MaxPause bound the pause between tries, which doubles each time.
	MinPause time.Duration
	MaxPause time.Duration
	// PerUpstream bounds the cancels that wait for one upstream.
	PerUpstream int
}

// DefaultCancelLimits returns the limits used when the settings give none. Engine memory must
// be free within 250 ms after a caller cancels, so the first retries follow quickly. The
// steward's sweep lists each engine's memory about once a second; Age is well above that.
func DefaultCancelLimits() CancelLimits {
	return CancelLimits{
		Try:         500 * time.Millisecond,
		Age:         10 * time.Second,
		MinPause:    10 * time.Millisecond,
		MaxPause:    time.Second,
		PerUpstream: 1024,
	}
}

// cancelTask is a call that is repeated until an upstream acknowledges it: a cancel of an
// attempt, or an unpause call (engineapi.PathResume), which lets a paused attempt continue.
type cancelTask struct {
	work    engineapi.CancelRequest
	unpause bool
	since   time.Time
	tries   int
}

// sendFunc makes one cancel or unpause call.
type sendFunc func(ctx context.Context, addr string, r engineapi.CancelRequest) error

// canceller repeats cancel and unpause calls until engines acknowledge them.
//
// If a cancel were sent only once and lost, a slot and its KV cache would stay allocated on
// the engine, visible in its list of held memory, until the steward's sweep frees them.
// Cancels therefore continue after their request has ended. Each upstream has its own queue,
// served by one goroutine that exits when the queue is empty: a frozen engine delays only its
// own cancels, and there are never more goroutines than upstreams.
type canceller struct {
	limits       CancelLimits
	now          func() time.Time
	cancel       sendFunc
	unpause      sendFunc
	recordMetric func(tries int, took time.Duration, acknowledged bool)

	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup

	mu     sync.Mutex
	queues map[string]*cancelQueue // by address; present while the queue's goroutine runs
	idle   chan struct{}           // closed when queues becomes empty; nil when nobody waits
}

func newCanceller(o *Options) *canceller {
	ctx, stop := context.WithCancel(context.Background())
	return &canceller{
		limits:       o.Cancel,
		now:          o.Now,
		cancel:       o.Engines.Release,
		unpause:      o.Engines.Unpause,
		recordMetric: o.Metrics.Cancelled,
		ctx:          ctx,
		stop:         stop,
		queues:       map[string]*cancelQueue{},
	}
}

// add queues a task. It never blocks: if the queue is full, the task is dropped and the work
// left to the steward's sweep.
func (c *canceller) add(addr string, task cancelTask) {
	task.since = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.queues[addr]
	if l != nil && len(l.tasks) >= c.limits.PerUpstream || c.ctx.Err() != nil {
		c.recordEnd(task, false)
		return
	}
	if l == nil {
		l = &cancelQueue{added: make(chan struct{}, 1)}
		c.queues[addr] = l
		c.wg.Go(func() { c.run(addr, l) })
	}
	l.insert(task)
}

// cancelQueue holds the tasks of one upstream, those not tried yet first. In plain order of
// arrival, a task that is not acknowledged would delay all later ones for as long as it is
// repeated, and a healthy engine would keep the memory of cancelled requests. canceller.mu
// guards tasks.
type cancelQueue struct {
	tasks []cancelTask
	added chan struct{} // buffered; signals that a task was added
}

// insert adds a new task after the other untried ones.
func (l *cancelQueue) insert(task cancelTask) {
	i := slices.IndexFunc(l.tasks, func(o cancelTask) bool { return o.tries > 0 })
	if i < 0 {
		i = len(l.tasks)
	}
	l.tasks = slices.Insert(l.tasks, i, task)
	select {
	case l.added <- struct{}{}:
	default:
	}
}

// run processes one queue until it is empty.
func (c *canceller) run(addr string, l *cancelQueue) {
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
			c.recordEnd(task, false)
			continue
		}
		if untried := c.putBack(l, task); untried {
			continue
		}
		if !l.sleep(c.ctx, pause) {
			c.dropQueue(addr, l)
			return
		}
		pause = min(2*pause, c.limits.MaxPause)
	}
}

// sleep waits for d or for a new task; it returns false if ctx ended.
func (l *cancelQueue) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-l.added:
	case <-timer.C:
	}
	return true
}

// try makes one call and reports whether it was acknowledged. An engine that has restarted
// holds nothing for the attempt and acknowledges as well.
func (c *canceller) try(addr string, task *cancelTask) bool {
	ctx, cancel := context.WithTimeout(c.ctx, c.limits.Try)
	defer cancel()
	task.tries++
	send := c.cancel
	if task.unpause {
		send = c.unpause
	}
	if err := send(ctx, addr, task.work); err != nil {
		return false
	}
	c.recordEnd(*task, true)
	return true
}

// recordEnd reports the end of a cancel to the metrics; unpause calls are not counted.
func (c *canceller) recordEnd(task cancelTask, acknowledged bool) {
	if !task.unpause {
		c.recordMetric(task.tries, c.now().Sub(task.since), acknowledged)
	}
}

// take removes and returns the first task of a queue. If there is none, it removes the queue
// and returns false.
func (c *canceller) take(addr string, l *cancelQueue) (cancelTask, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.tasks) == 0 {
		c.removeQueue(addr)
		return cancelTask{}, false
	}
	task := l.tasks[0]
	l.tasks = l.tasks[1:]
	return task, true
}

// putBack appends a task whose call failed and reports whether the first task in the queue has
// not been tried yet.
func (c *canceller) putBack(l *cancelQueue, task cancelTask) (untried bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.tasks = append(l.tasks, task)
	return l.tasks[0].tries == 0
}

// dropQueue removes a queue and records its remaining tasks as not acknowledged.
func (c *canceller) dropQueue(addr string, l *cancelQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range l.tasks {
		c.recordEnd(task, false)
	}
	c.removeQueue(addr)
}

// removeQueue deletes a queue; c.mu must be held.
func (c *canceller) removeQueue(addr string) {
	delete(c.queues, addr)
	if len(c.queues) == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// flush waits until all queues are empty or ctx ends.
func (c *canceller) flush(ctx context.Context) {
	c.mu.Lock()
	if len(c.queues) == 0 {
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

// close drops all queues and waits until their goroutines have ended.
func (c *canceller) close() {
	c.stop()
	c.wg.Wait()
}
