package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/chat"
)

// stream is one completion. It retains its events so that a reader can resume it.
type stream struct {
	opts         Options
	model        string
	tokens       []string
	prompt       int64
	prefill      int64
	finishReason string

	mu         sync.Mutex
	events     [][]byte
	changed    chan struct{}
	done       bool
	detachedAt time.Time
	readers    int
	group      errgroup.Group
}

func newStream(q request, o Options, prefill int64) *stream {
	s := &stream{
		opts: o, model: q.Model, prompt: promptTokens(q.Messages), prefill: prefill, finishReason: "stop",
		changed: make(chan struct{}), detachedAt: time.Now(),
	}
	s.tokens = answerTokens(q)
	if q.MaxTokens > 0 && len(s.tokens) > q.MaxTokens {
		s.tokens, s.finishReason = s.tokens[:q.MaxTokens], "length"
	}
	return s
}

// answerTokens returns the answer, which depends on the conversation alone, so that tests can compare a continued
// answer with an uninterrupted one.
func answerTokens(q request) []string {
	ms, given := q.Messages, ""
	if q.Continue {
		given = contentText(ms[len(ms)-1])
		ms = ms[:len(ms)-1]
	}
	last := ms[len(ms)-1]
	full := fmt.Sprintf("Answer %d to %s", len(ms), contentText(last))
	rest, ok := strings.CutPrefix(full, given)
	if !ok {
		rest = full
	}
	return strings.SplitAfter(rest, " ")
}

func contentText(m prog.Message) string {
	var s string
	if json.Unmarshal(m.Content, &s) != nil {
		return string(m.Content)
	}
	return s
}

func (s *stream) start() {
	s.group.Go(func() error {
		time.Sleep(time.Duration(s.prefill) * s.opts.PrefillDelay)
		for i, t := range s.tokens {
			if s.abandoned() {
				return nil
			}
			time.Sleep(s.opts.TokenDelay)
			s.appendEvent(s.chunk(i, t))
		}
		s.finish()
		return nil
	})
}

func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.detachedAt) > readerTimeout
}

func (s *stream) chunk(i int, t string) chat.Chunk {
	c := chat.Chunk{ID: "cmpl", Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: s.model}
	c.Choices = []chat.ChunkChoice{{Delta: chat.Delta{Content: t}}}
	if i == 0 {
		c.Choices[0].Delta.Role = "assistant"
	}
	if i == len(s.tokens)-1 {
		c.Choices[0].FinishReason = &s.finishReason
		n := int64(len(s.tokens))
		c.Usage = &chat.Usage{PromptTokens: s.prompt, CompletionTokens: n, TotalTokens: s.prompt + n}
	}
	return c
}

func (s *stream) appendEvent(c chat.Chunk) {
	b, _ := json.Marshal(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, b)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) eventsFrom(i int) ([][]byte, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[min(i, len(s.events)):], s.done, s.changed
}

func (s *stream) addReaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.detachedAt = time.Now()
}

func (s *stream) serve(w http.ResponseWriter, r *http.Request, pos int, crashed func() bool) {
	s.addReaders(1)
	defer s.addReaders(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for {
		evs, whole, changed := s.eventsFrom(pos)
		if crashed() {
			panic(http.ErrAbortHandler)
		}
		for _, e := range evs {
			fmt.Fprintf(w, "data: %s\n\n", e)
		}
		pos += len(evs)
		if whole {
			fmt.Fprintf(w, "data: %s\n\n", chat.DoneMarker)
			return
		}
		_ = rc.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
