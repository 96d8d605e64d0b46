package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partitions is the number of partitions of each topic.
const partitions = 12

// store is a stand-in for the platform's metadata store. It serves the calls that daemons make.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced at each append
	group   group
	address string
}

// topic is partition 0 of a topic, the only one that is written.
type topic struct{ records []record }

type record struct {
	key   string
	value []byte
}

// group is the only consumer group.
type group struct {
	generation uint64
	members    []string
	seenAt     map[string]time.Time
	ttl        time.Duration
	owner      [partitions]string
	target     [partitions]string
}

func startStore() *store {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{}), group: group{seenAt: map[string]time.Time{}}}
	ln := listen()
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		skip("no free port: %v", err)
	}
	return ln
}

// put writes the newest value of a key; nil removes the key.
func (s *store) put(name, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key, raw})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch strings.TrimPrefix(r.URL.Path, "/corianderturn/") {
	case "log-newest":
		s.newest(w, r)
	case "log-read":
		s.read(w, r)
	case "log-append":
		s.append(w, r)
	case "log-join":
		s.join(w, r)
	case "log-leave":
		s.leave(w, r)
	case "log-owners":
		s.owners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	last := map[string]int{}
	for i, rec := range t.records {
		last[rec.key] = i
	}
	items := []map[string]any{}
	for i, rec := range t.records {
		if last[rec.key] == i && len(rec.value) > 0 {
			items = append(items, map[string]any{"key": rec.key, "value": rec.value, "offset": i})
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		if from > len(t.records) {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first_offset": 0})
			return
		}
		records, end := t.records[from:], len(t.records)
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			_, _ = w.Write(encode(records, end, strings.HasPrefix(q.Get("topic"), "keyed.")))
			return
		}
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func encode(records []record, end int, keyed bool) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range records {
		content := rec.value
		if keyed {
			content = append(append([]byte{byte(len(rec.key))}, rec.key...), rec.value...)
		}
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(content))), content...)
	}
	return body
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	first := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": first})
		return
	}
	for len(body) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		if len(body) < n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		t.records = append(t.records, record{value: body[4:n]})
		body = body[n:]
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)})
}

type joinCall struct {
	Member     string `json:"member"`
	TTLMillis  int64  `json:"ttl_ms"`
	Generation uint64 `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	g.ttl = time.Duration(c.TTLMillis) * time.Millisecond
	g.expire()
	if !slices.Contains(g.members, c.Member) {
		g.members = append(g.members, c.Member)
		g.deal()
	}
	g.seenAt[c.Member] = time.Now()
	rows := [][]any{}
	for p := range partitions {
		if g.owner[p] == c.Member && g.target[p] != c.Member && c.Generation >= g.generation {
			g.owner[p] = ""
		}
		if g.target[p] == c.Member && g.owner[p] == "" {
			g.owner[p] = c.Member
		}
		if g.target[p] == c.Member && g.owner[p] == c.Member {
			rows = append(rows, []any{"orders", p, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	_ = json.NewDecoder(r.Body).Decode(&c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.remove(c.Member)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.expire()
	rows := [][]any{}
	for p := range partitions {
		if s.group.owner[p] != "" {
			rows = append(rows, []any{"orders", p, s.group.owner[p], 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

// expire removes the members that have sent nothing for the time to live.
func (g *group) expire() {
	for _, m := range slices.Clone(g.members) {
		if time.Since(g.seenAt[m]) > g.ttl {
			g.remove(m)
		}
	}
}

func (g *group) remove(member string) {
	if !slices.Contains(g.members, member) {
		return
	}
	g.members = slices.DeleteFunc(g.members, func(m string) bool { return m == member })
	for p := range partitions {
		if g.owner[p] == member {
			g.owner[p] = ""
		}
	}
	g.deal()
}

// deal distributes the partitions evenly; those that a member has to give up pass on with its next join.
func (g *group) deal() {
	g.generation++
	for p := range partitions {
		g.target[p] = ""
		if len(g.members) > 0 {
			g.target[p] = g.members[p%len(g.members)]
		}
	}
}
