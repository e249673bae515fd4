package devel_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
)

// restartCrashedEngines restarts crashed engines periodically, as the platform does, and counts the crashes in n until
// the returned function is called.
func restartCrashedEngines(f *fleet, n *atomic.Int64) func() {
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		for {
			select {
			case <-done:
				return nil
			case <-time.After(1500 * time.Millisecond):
			}
			for _, e := range f.Engines {
				if e.Down() {
					n.Add(1)
					e.SetDown(false)
				}
			}
		}
	})
	return func() {
		close(done)
		_ = g.Wait()
	}
}

func TestRequestThatCrashesItsUpstreams(t *testing.T) {
	f := startFleet(t, devel.Options{
		Entries: 3, Engines: 4, Engine: engine.Options{CrashPrompt: "poison", TokenDelay: 20 * time.Millisecond},
	})
	c := f.as(f.key)
	var crashed atomic.Int64
	stop := restartCrashedEngines(f, &crashed)
	neighbour := c.program(0)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := range 10 {
			if r := c.callWithRetry(i%3, neighbour, "a long harmless message to run beside it"); r.status != http.StatusOK {
				t.Errorf("neighbour: status %d: %s", r.status, r.body)
			}
		}
	}()
	codes := make(map[string]int)
	for i := range 12 {
		r := c.post(i%3, "/v1/chat/completions", `{"model":"fake-1","messages":[{"role":"user","content":"poison"}]}`)
		codes[r.code]++
		f.is.True(r.status != http.StatusOK)
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(1600 * time.Millisecond)
	stop()
	t.Logf("%d crashes, answers %v", crashed.Load(), codes)
	f.is.True(crashed.Load() <= 2)
	f.is.True(codes["request_quarantined"] > 0)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2})
	c := f.as(f.key)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.Sidecars[0].Stop(ctx)
	f.is.NoErr(ctx.Err())
	before := f.Engines[0].CompletionsStarted()
	for range 10 {
		f.is.Equal(c.call(0, c.program(0), "hello").status, http.StatusOK)
	}
	f.is.Equal(f.Engines[0].CompletionsStarted(), before)
}

func TestVMListedAsLeavingGetsNoNewWork(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2})
	c := f.as(f.key)
	f.SetLeaving("engine-1")
	time.Sleep(500 * time.Millisecond)
	before := f.Engines[1].CompletionsStarted()
	for range 10 {
		f.is.Equal(c.call(0, c.program(0), "hello").status, http.StatusOK)
	}
	f.is.Equal(f.Engines[1].CompletionsStarted(), before)
}

func TestStalledConnectionsAreReplaced(t *testing.T) {
	for _, hop := range []string{"entry to sidecar", "sidecar to engine", "sidecar to log"} {
		t.Run(hop, func(t *testing.T) {
			o := devel.Options{Engine: engine.Options{TokenDelay: 50 * time.Millisecond}}
			f := startFleet(t, o)
			var proxy *stallProxy
			f.is.NoErr(f.Reconfigure("engine-0", func(c *config.Sidecar) {
				switch hop {
				case "entry to sidecar":
					proxy = newStallProxy(f, f.Sidecars[0].PeersAddr)
					c.AdvertisePeers = proxy.ln.Addr().String()
				case "sidecar to engine":
					proxy = newStallProxy(f, f.EngineAddr(0))
					c.UpstreamURL = "http://" + proxy.ln.Addr().String()
				default:
					proxy = newStallProxy(f, f.LogAddr("engine-0"))
					c.LogURL = "http://" + proxy.ln.Addr().String()
				}
			}))
			c := f.as(f.key)
			p := c.firstProgram()
			text := "a b c d e f g h i j k l m n o p q r s t u v w x y z"
			resp := c.open(context.Background(), http.MethodPost, 0, "/v1/programs/"+p+"/calls", callBody(text, streamed))
			time.Sleep(400 * time.Millisecond)
			proxy.stall()
			started := time.Now()
			got, code, complete := readStream(t, resp)
			t.Logf("%s: stream complete after %v", hop, time.Since(started))
			f.is.Equal(code, "")
			f.is.True(complete)
			f.is.Equal(got, "Answer 1 to "+text)
			f.is.True(time.Since(started) < 6*time.Second)
		})
	}
}

func TestOverloadIsRefusedImmediatelyAsNotRun(t *testing.T) {
	f := startFleet(t, devel.Options{
		Engine:  engine.Options{TokenDelay: 30 * time.Millisecond},
		Sidecar: func(_ int, c *config.Sidecar) { c.Capacity, c.QueueLimit = 2, 2 },
	})
	c := f.as(f.key)
	var mu sync.Mutex
	ok, refused := 0, 0
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			started := time.Now()
			r := c.post(0, "/v1/chat/completions", fmt.Sprintf(`{"model":"fake-1","messages":[{"role":"user","content":"load %d"}]}`, i))
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				ok++
				return
			}
			refused++
			if r.code != "overloaded" || r.outcome != "not_run" || r.retryAfterMS == 0 || time.Since(started) > time.Second {
				t.Errorf("refusal after %v: %s", time.Since(started), r.body)
			}
		}()
	}
	wg.Wait()
	f.is.Equal(ok+refused, 20)
	f.is.Equal(ok, 4)
	f.is.Equal(f.Engines[0].CompletionsStarted(), 4)
}
