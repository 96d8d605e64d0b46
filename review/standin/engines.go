package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// engines are model replicas in processes of their own.
type engines struct {
	store     *store
	program   string
	dir       string
	prefills  int
	unframed  int
	addresses []string
	processes []*process
}

// startEngines starts n model replicas, of which the first ones are prefill replicas. Each unframed'th stream
// of a replica ends with its channel; 0 means none.
func startEngines(s *store, dir string, n, prefills, unframed int) *engines {
	self, err := os.Executable()
	if err != nil {
		skip("%v", err)
	}
	e := &engines{store: s, program: self, dir: dir, prefills: prefills, unframed: unframed}
	for i := range n {
		e.addresses = append(e.addresses, freeAddress())
		e.processes = append(e.processes, nil)
		e.start(i)
	}
	return e
}

func (e *engines) id(i int) string { return fmt.Sprintf("i-7f3a91c%x", i) }

// start starts replica i, which registers itself and renews that while it runs.
func (e *engines) start(i int) {
	stage := "decode"
	if i < e.prefills {
		stage = "prefill"
	}
	born := time.Now().UnixMilli()
	p := start(filepath.Join(e.dir, e.id(i)+".log"), nil, e.program, "engine", "-id", e.id(i), "-stage", stage,
		"-address", e.addresses[i], "-unframed", fmt.Sprint(e.unframed), "-born", fmt.Sprint(born))
	e.processes[i] = p
	dialable(e.addresses[i])
	note("start    replica %s, %s, born %d", e.id(i), stage, born)
	go e.store.registerBorn(e.id(i), "lector-docs", e.addresses[i], stage, engineSlots, born, p.done)
}

// engineService is the entry of the model service in the manifest.
func engineService() any {
	return map[string]any{"name": "lector-docs", "health_path": "/health", "max_conns": 154, "engine": map[string]any{
		"slots": engineSlots, "kv_tokens": 144611, "kv_token_bytes": 192512, "link_mbps": 18000000, "stride": 1, "handle_ttl_s": 1.5, "role_switch_s": 6, "hold_ms": 2000,
	}}
}

// digestRoute is the route of waiver-digest, a stream that may not be resumed.
func digestRoute() map[string]any {
	r := route("waiver-digest", "/lohu930/", "stream", "lector-docs", 1, 14000, 900)
	r["target_gap_ms"], r["sticky"] = 300, true
	return r
}

// digestHeader returns the headers of a request on that route.
func digestHeader() map[string]string {
	return map[string]string{"Model-Name": "m", "Token-Count": "3200,72", "Prompt-Prefix": "5c1e07a2:200," + newID()[8:] + ":3000"}
}
