package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// A replica of a plain service as a process of its own, which can be killed. Its answers have pieces, some time apart.
const (
	pieces     = 10
	pieceEvery = 10 * time.Millisecond
)

// pieceOf returns a piece of the answer to a request.
func pieceOf(attempt string, i int) string {
	return fmt.Sprintf("[%s %02d of %02d]\n", attempt, i, pieces)
}

// wholeAnswer returns the answer to a request.
func wholeAnswer(attempt string) string {
	var b strings.Builder
	for i := range pieces {
		b.WriteString(pieceOf(attempt, i+1))
	}
	return b.String()
}

// serveReplica serves as the replica with an id at an address until the process is killed. Of its answers a share has
// no length and ends with its channel.
func serveReplica(address, id string, share float64) error {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Instance-Id", id)
		if attempt != "" {
			w.Header().Set("Attempt-Id", attempt)
		}
		switch want := r.Header.Get("Expect-Instance"); {
		case want != "" && want != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case r.URL.Path == "/health":
		case rand.Float64() < share:
			serveUnframed(w, attempt, id)
		default:
			w.Header().Set("Server-Seal", "seal."+id)
			time.Sleep(pieces * pieceEvery)
			_, _ = io.WriteString(w, wholeAnswer(attempt))
		}
	})
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("ready")
	return http.Serve(ln, handler)
}

// serveUnframed answers without a length or chunks, and closes the channel.
func serveUnframed(w http.ResponseWriter, attempt, id string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\nConnection: close\r\n\r\n", attempt, id)
	for i := range pieces {
		_, _ = buf.WriteString(pieceOf(attempt, i+1))
		if buf.Flush() != nil {
			return
		}
		time.Sleep(pieceEvery)
	}
}

// replicaProcess is the process of a replica, which is started again at once when it ends.
type replicaProcess struct {
	t           *trial
	address, id string
	share       string
	idle        []net.Conn // channels of other machines
	mu          sync.Mutex
	cmd         *exec.Cmd
	born        int64
	seq         int
	upAgain     time.Time
}

// idleChannels is the number of channels that other machines keep open to a replica; max_conns is 100.
const idleChannels = 80

// start starts the process and registers the replica.
func (p *replicaProcess) start() error {
	cmd := exec.Command(os.Args[0], "replica", p.address, p.id, p.share)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.t.track(cmd)
	line := make([]byte, len("ready\n"))
	if _, err := io.ReadFull(out, line); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.born, p.upAgain = cmd, time.Now().UnixMilli(), time.Now()
	p.mu.Unlock()
	for range idleChannels {
		if conn, err := net.Dial("tcp", p.address); err == nil {
			p.idle = append(p.idle, conn)
		}
	}
	p.register()
	return nil
}

func (p *replicaProcess) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	p.t.store.put(topicServer, p.id, map[string]any{
		"service": "portal", "address": p.address, "zone": "poa-a", "version": "v1", "slots": 64, "state": "in_service",
		"cold_left_ms": 0, "seq_no": p.seq, "born": p.born,
	})
}

// kill kills the process and starts it again at once, under its id. It returns how long the replica was away.
func (p *replicaProcess) kill() (time.Duration, error) {
	began := time.Now()
	_ = p.cmd.Process.Kill() // fails only if it has ended
	_ = p.cmd.Wait()
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle = nil
	err := p.start()
	return p.upAgain.Sub(began), err
}

// reborn: replicas of a plain service are killed, one at a time, and start again at once under their ids. Some of their
// answers have no length.
func reborn(t *trial, program string, trouble bool) (broken int, seen string, err error) {
	const (
		replicas = 4
		clients  = 14
		kills    = 92
		every    = time.Second
		share    = "0.05"
	)
	t.manifest(1, route("status", "/status/", "idempotent", "portal", 2, nil))
	var list []*replicaProcess
	for i := range replicas {
		address, err := freeAddress()
		if err != nil {
			return 0, "", err
		}
		p := &replicaProcess{t: t, address: address, id: fmt.Sprintf("i-portal-%d", i+1), share: share}
		if err := p.start(); err != nil {
			return 0, "", err
		}
		list = append(list, p)
	}
	go func() {
		for range time.Tick(heartbeat) {
			for _, p := range list {
				p.register()
			}
		}
	}()
	if err := t.startDaemons(program); err != nil {
		return 0, "", err
	}
	time.Sleep(applied)
	var mu sync.Mutex
	var wg sync.WaitGroup
	asked, whole := 0, 0
	stop := time.Now().Add(kills * every)
	for c := range clients {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				attempt := fmt.Sprintf("%08x%08x", c, i)
				a := t.quietAsk(t.daemons[c%len(t.daemons)], attempt)
				mu.Lock()
				asked++
				switch {
				case a.status != http.StatusOK || !a.whole:
				case string(a.body) == wholeAnswer(attempt):
					whole++
				default:
					broken++
					t.note("answered %s: 200 and a proper end after %d of %d bytes", attempt, len(a.body), len(wholeAnswer(attempt)))
				}
				mu.Unlock()
			}
		})
	}
	for i := range kills {
		time.Sleep(every)
		if trouble && i < kills-1 {
			p := list[i%replicas]
			away, err := p.kill()
			if err != nil {
				return 0, "", err
			}
			t.note("killed   %s, back under its id after %d ms", p.id, away.Milliseconds())
		}
	}
	wg.Wait()
	if whole == 0 {
		return 0, "", fmt.Errorf("no request was answered")
	}
	return broken, fmt.Sprintf("%d answers of %d ended as complete and were not whole; %d were whole", broken, asked, whole), nil
}
