package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the settings in DEPLOY.md and of the sheets in SYSTEM.md.
const (
	partitions  = 12
	recordBytes = 262144
	callBytes   = 2097152
	pageRecords = 500
	pageBytes   = 1 << 20
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
	turnsTopic  = "keyed.turns"
)

// Modes of the store: it serves, answers 503 to every call, or answers none. It executes no call while it is down.
const (
	serving = iota
	busy
	silent
)

type logRecord struct {
	key   string
	value []byte
}

// producer is the writer of a partition as the store knows it. answers holds the answers to the last five appends.
type producer struct {
	epoch, sequence int64
	answers         map[int64]string
}

type partition struct {
	mu        sync.Mutex
	records   []logRecord
	newest    map[string]int
	producers map[string]*producer
}

// store is the platform's store as PROTOCOL.md describes it, with the calls that the gateway makes.
type store struct {
	address string
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}

	mode     int
	modeEnds chan struct{}
	downAt   time.Time

	generation     int64
	members        map[string]time.Time
	holder, target [partitions]string
	// since is when each partition was given to its target.
	since [partitions]time.Time
}

func newStore() (*store, error) {
	s := &store{
		parts: map[string]*partition{}, changed: make(chan struct{}), modeEnds: make(chan struct{}),
		members: map[string]time.Time{},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// setMode changes the mode. Memberships pause while the store is down.
func (s *store) setMode(mode int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != serving && mode == serving {
		for m, until := range s.members {
			s.members[m] = until.Add(time.Since(s.downAt))
		}
	}
	if s.mode == serving && mode != serving {
		s.downAt = time.Now()
	}
	s.mode = mode
	close(s.modeEnds)
	s.modeEnds = make(chan struct{})
}

func (s *store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := topic + "/" + part
	if s.parts[id] == nil {
		s.parts[id] = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
	}
	return s.parts[id]
}

// put writes a record in the way of the operator and the workers; it fails while the store is down.
func (s *store) put(topic, key, value string) bool {
	s.mu.Lock()
	down := s.mode != serving
	s.mu.Unlock()
	if down {
		return false
	}
	p := s.partition(topic, "0")
	p.mu.Lock()
	p.add(logRecord{key, []byte(value)})
	p.mu.Unlock()
	s.notify()
	return true
}

func (p *partition) add(r logRecord) {
	p.newest[r.key] = len(p.records)
	p.records = append(p.records, r)
}

func (s *store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	mode, ends := s.mode, s.modeEnds
	s.mu.Unlock()
	switch mode {
	case busy:
		answer(w, http.StatusServiceUnavailable, `{"why":"busy"}`)
		return
	case silent:
		select {
		case <-ends:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/galenaward/log-append":
		s.append(w, r, body)
	case "/galenaward/log-read":
		s.read(w, r)
	case "/galenaward/log-newest":
		s.readNewest(w, r)
	case "/galenaward/log-join", "/galenaward/log-leave":
		s.join(w, r, body)
	case "/galenaward/log-owners":
		s.owners(w)
	default:
		http.NotFound(w, r)
	}
}

func answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// append implements log-append. Records above the limits of the call are refused as a whole.
func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	var records []logRecord
	total := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			answer(w, http.StatusBadRequest, `{"why":"form"}`)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		record := rest[4 : 4+n]
		rest = rest[4+n:]
		total += n
		if n > recordBytes || total > callBytes {
			answer(w, http.StatusRequestEntityTooLarge, `{"why":"size"}`)
			return
		}
		if n == 0 || int(record[0]) > n-1 {
			answer(w, http.StatusBadRequest, `{"why":"form"}`)
			return
		}
		k := 1 + int(record[0])
		records = append(records, logRecord{string(record[1:k]), record[k:]})
	}
	p := s.partition(q.Get("topic"), q.Get("part"))
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(appendTime)
	var pr *producer
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		if pr = p.producers[name]; pr == nil {
			pr = &producer{epoch: -1}
			p.producers[name] = pr
		}
		switch {
		case epoch < pr.epoch:
			answer(w, http.StatusConflict, `{"why":"fenced"}`)
			return
		case epoch > pr.epoch:
			pr.epoch, pr.sequence, pr.answers = epoch, sequence-1, map[int64]string{}
		}
		if first, ok := pr.answers[sequence]; ok && sequence > pr.sequence-5 {
			answer(w, http.StatusOK, first)
			return
		}
		if sequence != pr.sequence+1 {
			answer(w, http.StatusConflict, fmt.Sprintf(`{"why":"seq","sequence":%d}`, pr.sequence+1))
			return
		}
		pr.sequence = sequence
	}
	offset := len(p.records)
	for _, rec := range records {
		p.add(rec)
	}
	result := fmt.Sprintf(`{"offset":%d,"endOffset":%d}`, offset, len(p.records))
	if pr != nil {
		pr.answers[pr.sequence] = result
	}
	answer(w, http.StatusOK, result)
	s.notify()
}

// read implements log-read for a log of which everything is kept.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	p := s.partition(q.Get("topic"), q.Get("part"))
	for over := wait == 0; ; {
		s.mu.Lock()
		changed, ends := s.changed, s.modeEnds
		s.mu.Unlock()
		p.mu.Lock()
		end := len(p.records)
		var list []logRecord
		if from < end {
			list = p.records[from:end]
		}
		p.mu.Unlock()
		if len(list) > 0 || over {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range list {
				if len(out) > 1<<20 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			over = true
		case <-ends:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

// readNewest implements log-newest.
func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.partition(q.Get("topic"), q.Get("part"))
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for k, i := range p.newest {
		if k > q.Get("after") && len(p.records[i].value) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items     []newestItem `json:"items"`
		HasMore   bool         `json:"hasMore"`
		EndOffset int          `json:"endOffset"`
	}{Items: []newestItem{}, EndOffset: len(p.records)}
	size := 0
	for _, k := range keys {
		rec := p.records[p.newest[k]]
		if size += len(rec.value); len(page.Items) == pageRecords || (len(page.Items) > 0 && size > pageBytes) {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, newestItem{k, rec.value, p.newest[k]})
	}
	b, _ := json.Marshal(page)
	answer(w, http.StatusOK, string(b))
}

// join implements log-join and log-leave.
func (s *store) join(w http.ResponseWriter, r *http.Request, body []byte) {
	var q struct {
		Member     string `json:"member"`
		TTLMS      int64  `json:"ttlMs"`
		Generation int64  `json:"generation"`
	}
	if json.Unmarshal(body, &q) != nil {
		answer(w, http.StatusBadRequest, `{"why":"form"}`)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers()
	_, known := s.members[q.Member]
	if r.URL.Path == "/galenaward/log-leave" {
		if known {
			delete(s.members, q.Member)
			s.rebalance()
		}
		answer(w, http.StatusOK, `{}`)
		return
	}
	s.members[q.Member] = time.Now().Add(time.Duration(q.TTLMS) * time.Millisecond)
	if !known {
		s.rebalance()
	}
	if q.Generation >= s.generation {
		released := false
		for i := range s.holder {
			if s.holder[i] == q.Member && s.target[i] != q.Member {
				s.holder[i], released = s.target[i], true
			}
		}
		if released {
			s.generation++
		}
	}
	rows := []any{}
	for i := range s.holder {
		if s.holder[i] == q.Member && s.target[i] == q.Member {
			rows = append(rows, []any{turnsTopic, i, 0})
		}
	}
	b, _ := json.Marshal(map[string]any{"generation": s.generation, "ttlMs": q.TTLMS, "parts": rows})
	answer(w, http.StatusOK, string(b))
}

func (s *store) expireMembers() {
	gone := false
	for m, until := range s.members {
		if time.Now().After(until) {
			delete(s.members, m)
			gone = true
		}
	}
	if gone {
		s.rebalance()
	}
}

// rebalance distributes the partitions evenly; members keep what they have had longest, up to their share. Partitions
// whose holder is gone change at once, others when their holder has acknowledged the generation.
func (s *store) rebalance() {
	s.generation++
	var names []string
	for m := range s.members {
		names = append(names, m)
	}
	sort.Strings(names)
	if len(names) == 0 {
		s.holder, s.target = [partitions]string{}, [partitions]string{}
		return
	}
	share := (partitions + len(names) - 1) / len(names)
	count := map[string]int{}
	order := make([]int, partitions)
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return s.since[order[a]].Before(s.since[order[b]]) })
	for _, i := range order {
		m := s.target[i]
		if _, alive := s.members[m]; alive && count[m] < share {
			count[m]++
		} else {
			s.target[i] = ""
		}
	}
	for i, m := range s.target {
		if m != "" {
			continue
		}
		sort.SliceStable(names, func(a, b int) bool { return count[names[a]] < count[names[b]] })
		s.target[i], s.since[i] = names[0], time.Now()
		count[names[0]]++
	}
	for i, m := range s.holder {
		if _, alive := s.members[m]; !alive {
			s.holder[i] = s.target[i]
		}
	}
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers()
	rows := []any{}
	for i, m := range s.holder {
		if m != "" {
			rows = append(rows, []any{turnsTopic, i, m, 0})
		}
	}
	b, _ := json.Marshal(map[string]any{"owners": rows})
	answer(w, http.StatusOK, string(b))
}

// holderOf returns the address of the partition's holder.
func (s *store) holderOf(id int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.holder[id]
	for i := range m {
		if m[i] == '/' {
			return m[:i]
		}
	}
	return m
}

// down makes the store answer in the mode until the duration has passed.
func (s *store) down(ctx context.Context, mode int, d time.Duration) {
	s.setMode(mode)
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	s.setMode(serving)
}
