package quarantine

import (
	"fmt"
	"time"
)

// modelFaults are the faults that playModel injects at random.
var modelFaults = []struct {
	name string
	do   func(f *modelFleet)
}{
	{"fatal request", func(f *modelFleet) {
		f.calls = append(f.calls, modelCall{at: f.now, fatal: true, digest: DigestOf("fatal", fmt.Sprint(len(f.crashes), f.now))})
	}},
	{"two fatal requests", func(f *modelFleet) {
		for i := range 2 {
			f.calls = append(f.calls, modelCall{at: f.now, fatal: true, digest: DigestOf("two", fmt.Sprint(i, f.now))})
		}
	}},
	{"rack crashes", func(f *modelFleet) {
		for _, r := range f.replicas {
			if !f.now.Before(r.upAt) && f.rng.IntN(3) == 0 {
				f.crash(r)
			}
		}
	}},
	{"replicas flap", func(f *modelFleet) {
		for range 1 + len(f.replicas)/8 {
			if r := f.replicas[f.rng.IntN(len(f.replicas))]; !f.now.Before(r.upAt) {
				f.crash(r)
			}
		}
	}},
	{"kill all", func(f *modelFleet) {
		for _, d := range f.daemons {
			f.start(d, f.randomDuration(300*time.Millisecond, 800*time.Millisecond))
		}
	}},
	{"kill some", func(f *modelFleet) {
		for _, d := range f.daemons {
			if f.rng.IntN(3) == 0 {
				f.start(d, 500*time.Millisecond)
			}
		}
	}},
	{"freeze", func(f *modelFleet) {
		for _, d := range f.daemons {
			if f.rng.IntN(3) == 0 {
				d.frozenUntil = f.now.Add(f.randomDuration(time.Second, 4*time.Second))
			}
		}
	}},
	{"join", func(f *modelFleet) {
		for range 1 + len(f.daemons)/10 {
			d := &modelDaemon{zone: f.rng.IntN(modelZones)}
			f.daemons = append(f.daemons, d)
			f.start(d, time.Second)
		}
	}},
	{"cut", func(f *modelFleet) {
		f.partitionedZone, f.partitionedUntil = f.rng.IntN(modelZones), f.now.Add(f.randomDuration(2*time.Second, 8*time.Second))
	}},
	{"silent store", func(f *modelFleet) {
		f.storeDownUntil = f.now.Add(f.randomDuration(2*time.Second, 9*time.Second))
		f.storeRecovered = f.storeDownUntil
	}},
}
