package devel_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
)

// TestRequestThatCrashesEnginesWhichRestartImmediately sends the request through all entries to engines that restart
// before a health probe can notice the crash. The request must still be quarantined after two crashes.
func TestRequestThatCrashesEnginesWhichRestartImmediately(t *testing.T) {
	f := startFleet(t, devel.Options{
		Entries: 3, Engines: 4, Engine: engine.Options{CrashPrompt: "poison", RestartImmediately: true},
	})
	codes := make(map[string]int)
	for i := range 12 {
		r := f.as(f.key).post(i%3, "/v1/chat/completions", `{"model":"fake-1","messages":[{"role":"user","content":"poison"}]}`)
		codes[r.code]++
		time.Sleep(100 * time.Millisecond)
	}
	crashes := 0
	for _, e := range f.Engines {
		crashes += e.Crashes()
	}
	t.Logf("%d crashes, answers %v", crashes, codes)
	f.is.True(crashes <= 2)
	f.is.True(codes["request_quarantined"] > 0)
}

// TestInterruptedStreamResumesAtTheEngine closes the connections to an engine during an answer. The engine keeps
// running, so the stream must be resumed there and not generated again.
func TestInterruptedStreamResumesAtTheEngine(t *testing.T) {
	f := startFleet(t, devel.Options{Engine: engine.Options{TokenDelay: 50 * time.Millisecond}})
	var proxy *stallProxy
	f.is.NoErr(f.Reconfigure("engine-0", func(c *config.Sidecar) {
		proxy = newStallProxy(f, f.EngineAddr(0))
		c.UpstreamURL = "http://" + proxy.ln.Addr().String()
	}))
	c := f.as(f.key)
	p := c.firstProgram()
	text := "a b c d e f g h i j k l m n o p q r s t u v w x y z"
	resp := c.open(context.Background(), http.MethodPost, 0, "/v1/programs/"+p+"/calls", callBody(text, streamed))
	time.Sleep(400 * time.Millisecond)
	proxy.closeConns()
	got, code, complete := readStream(t, resp)
	f.is.Equal(code, "")
	f.is.True(complete)
	f.is.Equal(got, "Answer 1 to "+text)
	f.is.Equal(f.Engines[0].CompletionsStarted(), 1)
}
