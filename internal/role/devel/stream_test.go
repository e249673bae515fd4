package devel_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
)

const streamed = `,"stream":true`

func TestTokensAreStreamedAsGenerated(t *testing.T) {
	f := startFleet(t, devel.Options{Engine: engine.Options{TokenDelay: 100 * time.Millisecond}})
	c := f.as(f.key)
	p := c.program(0)
	resp := c.open(context.Background(), http.MethodPost, 0, "/v1/programs/"+p+"/calls",
		callBody("one two three four five", streamed))
	defer resp.Body.Close()
	var times []time.Time
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "data:") {
			times = append(times, time.Now())
		}
	}
	f.is.True(len(times) > 5)
	f.is.True(times[len(times)-1].Sub(times[0]) > 400*time.Millisecond) // The tokens must not all arrive at the end.
}

func TestUpstreamCrashDuringAnAnswer(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2, Engine: engine.Options{TokenDelay: 50 * time.Millisecond}})
	c := f.as(f.key)
	p := c.program(0)
	want := "Answer 1 to a b c d e f g h i j k l"
	resp := c.open(context.Background(), http.MethodPost, 0, "/v1/programs/"+p+"/calls",
		callBody("a b c d e f g h i j k l", streamed))
	time.Sleep(300 * time.Millisecond)
	for _, e := range f.Engines {
		if len(e.Residencies()) > 0 {
			e.SetDown(true)
		}
	}
	text, code, complete := readStream(t, resp)
	f.is.Equal(code, "")
	f.is.True(complete)
	f.is.Equal(text, want)
	f.is.Equal(c.describe(0, p).History[1].Content, want)
}

func TestHomeCrashDuringAnAnswer(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 3, Engine: engine.Options{TokenDelay: 50 * time.Millisecond}})
	c := f.as(f.key)
	p := c.program(0)
	want := "Answer 1 to a b c d e f g h i j k l"
	resp := c.open(context.Background(), http.MethodPost, 0, "/v1/programs/"+p+"/calls",
		callBody("a b c d e f g h i j k l", streamed))
	time.Sleep(300 * time.Millisecond)
	f.Kill(homeVM(p))
	text, code, complete := readStream(t, resp)
	f.is.Equal(code, "")
	f.is.True(complete)
	f.is.Equal(text, want)
	v := c.describe(0, p)
	f.is.Equal(v.Turns, 1)
	f.is.Equal(v.History[1].Content, want)
}

func TestCrashOfAllUpstreamsDuringAnAnswer(t *testing.T) {
	f := startFleet(t, devel.Options{Engine: engine.Options{TokenDelay: 50 * time.Millisecond}})
	c := f.as(f.key)
	p := c.program(0)
	resp := c.open(context.Background(), http.MethodPost, 0, "/v1/programs/"+p+"/calls",
		callBody("a b c d e f g h i j k l", streamed))
	time.Sleep(300 * time.Millisecond)
	f.Engines[0].SetDown(true)
	_, code, complete := readStream(t, resp)
	f.is.True(!complete) // An interrupted answer must not look complete.
	f.is.True(code != "")
	f.is.Equal(c.describe(0, p).Turns, 0)
	f.Engines[0].SetDown(false)
	f.is.Equal(c.callWithRetry(0, p, "again").status, http.StatusOK)
}

func TestGracefulStopInterruptsNoStream(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 2, Engine: engine.Options{TokenDelay: 50 * time.Millisecond}})
	c := f.as(f.key)
	var wg sync.WaitGroup
	for i := range 6 {
		p := c.program(i % 2)
		resp := c.open(context.Background(), http.MethodPost, i%2, "/v1/programs/"+p+"/calls",
			callBody("a b c d e f g h", streamed))
		wg.Add(1)
		go func() {
			defer wg.Done()
			text, code, complete := readStream(t, resp)
			if text != "Answer 1 to a b c d e f g h" || code != "" || !complete {
				t.Errorf("stream %q ended with %q, complete %v", text, code, complete)
			}
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, s := range f.Sidecars {
		wg.Add(1)
		go func() { defer wg.Done(); s.Stop(ctx) }()
	}
	f.Entries[0].Stop(ctx)
	f.Entries[1].Stop(ctx)
	wg.Wait()
	f.is.NoErr(ctx.Err())
}
