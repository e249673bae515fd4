package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Modes of the store towards one gateway.
const (
	modeSound  = ""
	modeBusy   = "busy"
	modeMany   = "many"
	modeReset  = "reset"
	modeSilent = "silent"
)

type record struct {
	key   string
	value []byte
}

type partition struct {
	mu       sync.Mutex // Appends are processed one at a time.
	records  [][]byte
	first    int
	epoch    int64
	sequence int64
	// done holds the answers of the last five appends by sequence number.
	done map[int64][2]int
}

type member struct {
	seen  time.Time
	ttl   time.Duration
	acked int64
}

// Store is a stand-in of the platform's store.
type Store struct {
	mu         sync.Mutex
	changed    chan struct{}
	topics     map[string]map[int]*partition
	partitions int
	members    map[string]*member
	generation int64
	owner      map[int]string
	target     map[int]string
	appendTime time.Duration
	answerTime time.Duration

	fmu   sync.Mutex
	modes map[string]string // by the address that the gateway uses
	all   string
	// slow multiplies the time of each answer.
	slow float64
	// lost is the share of the writes that are done and not answered; late ones are done 1 to 6 s later.
	lost float64
	late bool
	// badParts are partitions of the history that take no calls.
	badParts map[int]bool
	// trace, if set, is called for each call that was done.
	trace func(gateway, what string)
}

func newStore(partitions int) *Store {
	return &Store{
		changed: make(chan struct{}), topics: map[string]map[int]*partition{}, partitions: partitions,
		members: map[string]*member{}, owner: map[int]string{}, target: map[int]string{}, modes: map[string]string{},
		appendTime: 2 * time.Millisecond, answerTime: 4 * time.Millisecond, slow: 1, badParts: map[int]bool{},
		generation: 1,
	}
}

// listen serves the store on an address of its own for one gateway.
func (s *Store) listen(name, address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) })}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *Store) set(f func()) {
	s.fmu.Lock()
	defer s.fmu.Unlock()
	f()
}

func (s *Store) part(topic string, n int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics[topic] == nil {
		s.topics[topic] = map[int]*partition{}
	}
	p := s.topics[topic][n]
	if p == nil {
		p = &partition{done: map[int64][2]int{}}
		s.topics[topic][n] = p
	}
	return p
}

func (s *Store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func encode(r record) []byte {
	b := []byte{byte(len(r.key))}
	return append(append(b, r.key...), r.value...)
}

func decode(b []byte) record {
	k := int(b[0])
	return record{string(b[1 : 1+k]), b[1+k:]}
}

// put writes a record of the operator or of a worker.
func (s *Store) put(topic, key string, value []byte) {
	p := s.part(topic, 0)
	p.mu.Lock()
	p.records = append(p.records, encode(record{key, value}))
	p.mu.Unlock()
	s.notify()
}

func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serve(name string, w http.ResponseWriter, r *http.Request) {
	s.fmu.Lock()
	mode, all, slow, lost, late := s.modes[name], s.all, s.slow, s.lost, s.late
	s.fmu.Unlock()
	if all != "" {
		mode = all
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch mode {
	case modeBusy:
		answer(w, 503, map[string]string{"error": "busy"})
		return
	case modeMany:
		answer(w, 429, map[string]string{"error": "many"})
		return
	case modeReset:
		reset(w)
		return
	case modeSilent:
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(float64(s.answerTime) * slow))
	write := r.Method == http.MethodPost
	if write && lost > 0 && rand.Float64() < lost {
		do := func() { s.handle(name, discard{http.Header{}}, r, body) }
		if late {
			time.AfterFunc(time.Duration(1000+rand.IntN(5000))*time.Millisecond, do)
		} else {
			do()
		}
		<-r.Context().Done() // A connection on which an answer is lost returns nothing further.
		return
	}
	s.handle(name, w, r, body)
}

type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (s *Store) handle(name string, w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	topic := q.Get("topic")
	part, _ := strconv.Atoi(q.Get("part"))
	if topic == "keyed.turns" {
		s.fmu.Lock()
		bad := s.badParts[part]
		s.fmu.Unlock()
		if bad {
			answer(w, 503, map[string]string{"error": "busy"})
			return
		}
	}
	switch r.URL.Path {
	case "/galenaward/log-append":
		s.append(name, w, r, topic, part, body)
	case "/galenaward/log-read":
		s.read(w, r, topic, part)
	case "/galenaward/log-newest":
		s.newest(w, r, topic, part)
	case "/galenaward/log-join":
		s.join(name, w, body)
	case "/galenaward/log-leave":
		s.leave(name, w, body)
	case "/galenaward/log-owners":
		s.owners(w)
	default:
		answer(w, 404, map[string]string{"error": "no such call"})
	}
}

func (s *Store) append(name string, w http.ResponseWriter, r *http.Request, topic string, part int, body []byte) {
	var recs [][]byte
	for b := body; len(b) > 0; {
		if len(b) < 4 || len(b)-4 < int(binary.BigEndian.Uint32(b)) {
			answer(w, 400, map[string]string{"error": "cut"})
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		recs = append(recs, bytes.Clone(b[4:4+n]))
		b = b[4+n:]
	}
	q := r.URL.Query()
	p := s.part(topic, part)
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(s.appendTime)
	if q.Has("producer") {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		switch {
		case epoch < p.epoch:
			answer(w, 409, map[string]any{"why": "fenced", "epoch": p.epoch})
			return
		case epoch > p.epoch:
			p.epoch, p.sequence, p.done = epoch, seq-1, map[int64][2]int{}
			if len(recs) == 0 {
				p.sequence = seq
			}
		default:
			if d, ok := p.done[seq]; ok {
				answer(w, 200, map[string]int{"offset": d[0], "endOffset": d[1]})
				return
			}
			if len(recs) == 0 {
				answer(w, 200, map[string]int{"offset": len(p.records), "endOffset": len(p.records)})
				return
			}
			if seq != p.sequence+1 {
				answer(w, 409, map[string]any{"why": "seq", "expected": p.sequence + 1})
				return
			}
		}
		from := len(p.records)
		if len(recs) > 0 {
			p.records = append(p.records, recs...)
			p.sequence = seq
			p.done[seq] = [2]int{from, len(p.records)}
			delete(p.done, seq-5)
		}
		s.notify()
		if s.trace != nil {
			s.trace(name, "append "+topic+" "+strconv.Itoa(part)+" epoch "+q.Get("epoch")+" seq "+q.Get("sequence"))
		}
		answer(w, 200, map[string]int{"offset": from, "endOffset": len(p.records)})
		return
	}
	from := len(p.records)
	p.records = append(p.records, recs...)
	s.notify()
	answer(w, 200, map[string]int{"offset": from, "endOffset": len(p.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, topic string, part int) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		p := s.part(topic, part)
		p.mu.Lock()
		recs, first := p.records, p.first
		p.mu.Unlock()
		if from < first {
			answer(w, 410, map[string]int{"first": first})
			return
		}
		if len(recs) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for _, b := range recs[min(from, len(recs)):] {
				if len(out) > 1<<20 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(b)))
				out = append(out, b...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request, topic string, part int) {
	after := r.URL.Query().Get("after")
	p := s.part(topic, part)
	p.mu.Lock()
	recs := p.records
	p.mu.Unlock()
	values, offsets := map[string][]byte{}, map[string]int{}
	for i, b := range recs {
		rec := decode(b)
		values[rec.key], offsets[rec.key] = rec.value, i
	}
	keys := make([]string, 0, len(values))
	for k, v := range values {
		if len(v) > 0 && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	items, size := []item{}, 0
	more := false
	for _, k := range keys {
		if size += len(k) + len(values[k]); len(items) > 0 && (len(items) == 500 || size > 1<<20) {
			more = true
			break
		}
		items = append(items, item{k, values[k], offsets[k]})
	}
	answer(w, 200, map[string]any{"items": items, "hasMore": more, "endOffset": len(recs)})
}

// rebalance distributes the partitions evenly over the members. The caller holds the lock.
func (s *Store) rebalance() {
	s.generation++
	var names []string
	for m := range s.members {
		names = append(names, m)
	}
	slices.Sort(names)
	load := map[string]int{}
	next := map[int]string{}
	if len(names) > 0 {
		most := (s.partitions + len(names) - 1) / len(names)
		for p := range s.partitions { // Partitions stay where they are if possible.
			if m := s.target[p]; s.members[m] != nil && load[m] < most {
				next[p] = m
				load[m]++
			}
		}
		for p := range s.partitions {
			if next[p] != "" {
				continue
			}
			least := names[0]
			for _, m := range names {
				if load[m] < load[least] {
					least = m
				}
			}
			next[p] = least
			load[least]++
		}
		for { // Even out.
			least, mostM := names[0], names[0]
			for _, m := range names {
				if load[m] < load[least] {
					least = m
				}
				if load[m] > load[mostM] {
					mostM = m
				}
			}
			if load[mostM]-load[least] < 2 {
				break
			}
			for p := range s.partitions {
				if next[p] == mostM {
					next[p] = least
					load[mostM]--
					load[least]++
					break
				}
			}
		}
	}
	s.target = next
	s.settle()
}

// settle passes on what its owner has given up. The caller holds the lock.
func (s *Store) settle() {
	for p := range s.partitions {
		o := s.owner[p]
		if s.target[p] == o {
			continue
		}
		m := s.members[o]
		if m == nil || m.acked >= s.generation {
			if s.target[p] == "" {
				delete(s.owner, p)
			} else {
				s.owner[p] = s.target[p]
			}
		}
	}
}

// expire ends the memberships that were not renewed. The caller holds the lock.
func (s *Store) expire() {
	n := len(s.members)
	for name, m := range s.members {
		if time.Since(m.seen) > m.ttl {
			delete(s.members, name)
		}
	}
	if len(s.members) != n {
		s.rebalance()
	}
}

// dealAnew assigns all partitions at once.
func (s *Store) dealAnew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for m := range s.members {
		names = append(names, m)
	}
	if len(names) == 0 {
		return
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	s.generation++
	for p := range s.partitions {
		s.target[p] = names[p%len(names)]
		s.owner[p] = s.target[p]
	}
}

// lapse ends all memberships.
func (s *Store) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.members)
	s.rebalance()
}

func (s *Store) join(name string, w http.ResponseWriter, body []byte) {
	var q struct {
		Group, Member string
		Topics        []string
		TTLMs         int64
		Generation    int64
	}
	if json.Unmarshal(body, &q) != nil || q.Member == "" {
		answer(w, 400, map[string]string{"error": "bad"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[q.Member]
	fresh := m == nil
	if fresh {
		m = &member{}
		s.members[q.Member] = m
	}
	m.seen, m.ttl = time.Now(), time.Duration(max(1000, q.TTLMs))*time.Millisecond
	if fresh {
		s.rebalance()
	} else {
		m.acked = max(m.acked, q.Generation)
	}
	s.expire()
	s.settle()
	rows := [][]any{}
	for p := range s.partitions {
		if s.owner[p] == q.Member && s.target[p] == q.Member {
			rows = append(rows, []any{"keyed.turns", p, 0})
		}
	}
	answer(w, 200, map[string]any{"generation": s.generation, "ttlMs": m.ttl.Milliseconds(), "parts": rows})
}

func (s *Store) leave(name string, w http.ResponseWriter, body []byte) {
	var q struct{ Group, Member string }
	_ = json.Unmarshal(body, &q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[q.Member] != nil {
		delete(s.members, q.Member)
		s.rebalance()
	}
	answer(w, 200, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for p := range s.partitions {
		if o := s.owner[p]; o != "" {
			rows = append(rows, []any{"keyed.turns", p, o, 0})
		}
	}
	answer(w, 200, map[string]any{"parts": rows})
}

// ownerOf returns the address of the member that holds the partition.
func (s *Store) ownerOf(p int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner[p]
}
