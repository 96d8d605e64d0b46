package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryLimit is the memory of a process in the deployment, in MB.
const memoryLimit = 134

// memory: many users come at once, each with a request of the largest size that the manifest allows. The
// stand-in of the platform kills and restarts each process that exceeds its memory, as the pages say.
func memory(program, dir string, trouble bool) int {
	s := startStore()
	startEngines(s, dir, 3, 1, 0)
	s.manifest(1, []any{engineService()}, digestRoute())
	daemons := startDaemons(program, dir, s.address, 2, memoryLimit)
	time.Sleep(2 * time.Second)
	ends := make([]int, len(daemons))
	peak := 0
	var finished atomic.Bool
	watch := func(i int) {
		for !finished.Load() {
			time.Sleep(20 * time.Millisecond)
			d := daemons[i]
			mb := residentMB(d.cmd.Process.Pid)
			peak = max(peak, mb)
			if mb > memoryLimit {
				note("memory   %s holds %d MB of %d: killed", d.name, mb, memoryLimit)
				d.signal(syscall.SIGKILL)
				<-d.done
				ends[i]++
				time.Sleep(500 * time.Millisecond)
				d.start()
			}
		}
	}
	for i := range daemons {
		go watch(i)
	}
	clients := 1
	if trouble {
		clients = 60
	}
	body := strings.Repeat("x", 4<<20-1024)
	var wg sync.WaitGroup
	until := time.Now().Add(30 * time.Second)
	for i := range clients {
		wg.Go(func() {
			c := newChannel()
			for n := 0; time.Now().Before(until); n++ {
				c.sendSlowly(daemons[(i+n)%2], "/lohu930/2f", body, 14*time.Second, 2*time.Second, digestHeader())
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	finished.Store(true)
	time.Sleep(time.Second)
	note("ends %v, peak %d MB", ends, peak)
	if ends[0] >= 3 && ends[1] >= 3 {
		return 1
	}
	return 0
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}
