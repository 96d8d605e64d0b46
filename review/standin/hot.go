package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// runPlain runs the subcommand plain: a replica of a plain service in a process of its own.
func runPlain(args []string) {
	recorded.file = os.Stdout
	f := flag.NewFlagSet("plain", flag.ExitOnError)
	r := &plainReplica{slots: 6, queue: 24, work: 60 * time.Millisecond, ledger: newLedger()}
	f.StringVar(&r.id, "id", "", "id")
	address := f.String("address", "", "address")
	_ = f.Parse(args)
	ln, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	r.serve(ln)
}

// recoverAfter is the bound recovery_s.
const recoverAfter = 15 * time.Second

// hot: many clients look up the same page. All processes of the system are killed and start again. In the
// recovery, 3 s later, all replicas of the page's service crash at once, and start again after 2 s.
func hot(program, dir string, trouble bool) int {
	self, err := os.Executable()
	if err != nil {
		skip("%v", err)
	}
	s := startStore()
	const replicas = 6
	var addresses []string
	processes := make([]*process, replicas)
	startReplica := func(i int) {
		id := fmt.Sprintf("i-5b20e61f%d", i)
		processes[i] = start(filepath.Join(dir, id+".log"), nil, self, "plain", "-id", id, "-address", addresses[i])
		dialable(addresses[i])
		note("start    replica %s", id)
		go s.register(id, "portal-pub", addresses[i], "", 6, processes[i].done)
	}
	for i := range replicas {
		addresses = append(addresses, freeAddress())
		startReplica(i)
	}
	startEngines(s, dir, 14, 4, 0)
	s.manifest(1, []any{map[string]any{"name": "portal-pub", "health_path": "/health"}, engineService()}, digestRoute(), route("status-check", "/pule252/", "idempotent", "portal-pub", 2, 1500, 300))
	daemons := startDaemons(program, dir, s.address, 2, memoryLimit)
	time.Sleep(2 * time.Second)

	type sample struct {
		at     time.Time
		served bool
	}
	var mu sync.Mutex
	var samples []sample
	until := time.Now().Add(50 * time.Second)
	var wg sync.WaitGroup
	for i := range 14 {
		wg.Go(func() {
			c := newChannel()
			for n := 0; time.Now().Before(until); n++ {
				at := time.Now()
				got := c.send(daemons[(i+n)%len(daemons)], "GET", "/pule252/2f", "", 1500*time.Millisecond, nil)
				mu.Lock()
				samples = append(samples, sample{at, got.status == 200 && got.complete})
				mu.Unlock()
				time.Sleep(rand.N(200 * time.Millisecond))
			}
		})
	}
	for i := range 24 {
		wg.Go(func() {
			c := newChannel()
			for n := 0; time.Now().Before(until); n++ {
				c.send(daemons[(i+n)%len(daemons)], "POST", "/lohu930/2f", "a waiver packet", 14*time.Second, digestHeader())
			}
		})
	}
	time.Sleep(10 * time.Second)
	var fault, back time.Time
	fault = time.Now()
	if trouble {
		killAll(daemons)
	}
	back = time.Now()
	if trouble {
		time.Sleep(3 * time.Second)
		for i := range replicas {
			processes[i].signal(syscall.SIGKILL)
			note("crash    replica i-5b20e61f%d", i)
		}
		time.Sleep(2 * time.Second)
		for i := range replicas {
			<-processes[i].done
			startReplica(i)
		}
	}
	wg.Wait()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, x := range samples {
		switch {
		case x.at.Before(fault):
			before++
			if x.served {
				servedBefore++
			}
		case x.at.After(back.Add(recoverAfter)):
			after++
			if x.served {
				servedAfter++
			}
		}
	}
	note("served before the final fault: %d of %d; later than 15 s after the machines were back: %d of %d", servedBefore, before, servedAfter, after)
	if 4*servedBefore < before || after == 0 {
		skip("too little was served before")
	}
	if 4*servedAfter < after {
		note("BROKEN   less than a quarter was served")
		return 1
	}
	return 0
}

// killAll kills all processes of the system, which start again after 0.7 s.
func killAll(daemons []*daemon) {
	for _, d := range daemons {
		d.signal(syscall.SIGKILL)
		<-d.done
		note("kill     %s", d.name)
	}
	time.Sleep(700 * time.Millisecond)
	for _, d := range daemons {
		d.start()
	}
	for _, d := range daemons {
		d.awaitReady()
	}
}
