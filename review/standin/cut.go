package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cut: two of eight model replicas crash, and start again 2 s later under their ids, again and again. One in
// 20 of the streams has no length and ends with its channel. The replicas also hold idle channels, as of
// other machines.
func cut(program, dir string, trouble bool) int {
	s := startStore()
	const replicas, prefills, unframedEvery, idleChannels = 8, 3, 20, 120
	e := startEngines(s, dir, replicas, prefills, unframedEvery)
	s.manifest(1, []any{engineService()}, digestRoute())
	daemons := startDaemons(program, dir, s.address, 2, 134)
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, whole, ended := 0, 0, 0
	until := time.Now().Add(90 * time.Second)
	for range 60 {
		wg.Go(func() {
			c := newChannel()
			for time.Now().Before(until) {
				got := c.send(daemons[0], "POST", "/lohu930/2f", "a waiver packet", 14*time.Second, digestHeader())
				mu.Lock()
				pieces := strings.Count(got.body, "\n\n")
				switch {
				case got.status == 200 && got.complete && pieces == streamEvents:
					whole++
				case got.status == 200 && got.complete:
					broken++
					note("BROKEN   %s ended as complete after piece %d of %d", got.id, pieces, streamEvents)
				default:
					ended++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for i := range replicas {
		holdChannels(e.addresses[i], idleChannels)
	}
	for round := 0; trouble && time.Until(until) > 8*time.Second; round++ {
		time.Sleep(2 * time.Second)
		crashed := []int{prefills + 2*round%(replicas-prefills), prefills + (2*round+1)%(replicas-prefills)}
		for _, i := range crashed {
			e.processes[i].signal(syscall.SIGKILL)
			note("crash    replica %s", e.id(i))
		}
		time.Sleep(2 * time.Second)
		for _, i := range crashed {
			<-e.processes[i].done
			e.start(i)
			holdChannels(e.addresses[i], idleChannels)
		}
	}
	wg.Wait()
	note("%d whole streams, %d that ended as complete too early, %d refused or cut", whole, broken, ended)
	if whole == 0 {
		skip("nothing was served")
	}
	return broken
}

// holdChannels opens idle channels to a replica, like those of the other machines of the deployment.
func holdChannels(address string, n int) {
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.Copy(io.Discard, c)
		}()
	}
}
