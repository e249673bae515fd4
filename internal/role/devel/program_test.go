package devel_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/state/confio"
	"galenaward.example/galenaward/internal/stub/engine"
	"galenaward.example/galenaward/internal/stub/memlog"
)

func TestCallsOfAProgramRunInOrder(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 2, Engine: engine.Options{TokenDelay: 5 * time.Millisecond}})
	c := f.as(f.key)
	p := c.program(0)
	var mu sync.Mutex
	done := 0
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := c.call(i%2, p, fmt.Sprintf("call %d", i))
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				done++
			} else if r.code != "call_in_progress" || r.outcome != "not_run" {
				t.Errorf("call %d: %d %s", i, r.status, r.body)
			}
		}()
	}
	wg.Wait()
	v := c.describe(0, p)
	f.is.Equal(v.Turns, done)
	f.is.Equal(len(v.History), 2*done)
	for i := 0; i < len(v.History); i += 2 {
		f.is.Equal(v.History[i+1].Content, fmt.Sprintf("Answer %d to %s", i+1, v.History[i].Content))
	}
}

func TestRepeatedCallGetsTheStoredAnswer(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 2})
	c := f.as(f.key)
	p := c.program(0)
	path := "/v1/programs/" + p + "/calls"
	first := c.post(0, path, callBody("hello", `,"idempotency_key":"k"`))
	f.is.Equal(first.status, http.StatusOK)
	f.is.Equal(c.call(0, p, "next").status, http.StatusOK)
	f.Kill(homeVM(p))
	again := c.post(1, path, callBody("hello", `,"idempotency_key":"k"`))
	f.is.Equal(string(again.body), string(first.body))
	f.is.Equal(c.describe(1, p).Turns, 2)
	f.is.Equal(c.post(1, path, callBody("other", `,"idempotency_key":"k"`)).code, "idempotency_key_reused")
	late := c.post(1, path, callBody("late", `,"turn":1`))
	f.is.Equal(late.code, "turn_passed")
}

func TestProgramSurvivesHomeCrashBetweenTurns(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 3})
	c := f.as(f.key)
	p := c.program(0)
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	f.Kill(homeVM(p))
	f.is.Equal(c.call(1, p, "two").status, http.StatusOK)
	f.is.NoErr(f.Restart(homeVM(p)))
	f.is.Equal(c.callWithRetry(0, p, "three").status, http.StatusOK)
	v := c.describe(0, p)
	f.is.Equal(v.Turns, 3)
	f.is.Equal(v.History[5].Content, "Answer 5 to three")
}

func TestProgramContinuesDuringALogOutage(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 3})
	c := f.as(f.key)
	p := c.program(0)
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	f.Log.SetFaults(memlog.Faults{Down: true})
	f.is.Equal(c.call(0, p, "two").status, http.StatusOK)
	q := c.program(1) // Created during the outage.
	for homeVM(q) != homeVM(p) {
		q = c.program(1)
	}
	f.is.Equal(c.call(1, q, "first").status, http.StatusOK)
	refused := c.placeOrder(0, p, "k", `{"a":1}`)
	f.is.Equal(refused.code, "log_unavailable")
	f.is.Equal(refused.outcome, "not_run")
	f.is.True(refused.retryAfterMS > 0)
	f.is.Equal(f.Services[0].Runs(`{"a":1}`), 0)

	// The home crashes during the outage: only the standbys have the answered turns.
	f.Kill(homeVM(p))
	r := c.call(1, p, "three")
	f.is.Equal(r.outcome, "not_run")
	f.Log.SetFaults(memlog.Faults{})
	if r := c.callWithRetry(1, p, "three"); r.status != http.StatusOK {
		t.Fatalf("after the outage: %s", r.body)
	}
	f.is.Equal(c.callWithRetry(1, q, "second").status, http.StatusOK)
	v, w := c.describe(0, p), c.describe(0, q)
	f.is.Equal(v.Turns, 3)
	f.is.Equal(v.History[3].Content, "Answer 3 to two")
	f.is.Equal(w.Turns, 2)
	f.is.Equal(w.History[1].Content, "Answer 1 to first")
	done := c.placeOrder(1, p, "k", `{"a":1}`)
	if done.status != http.StatusOK {
		t.Fatalf("order after the outage: %s", done.body)
	}
	f.is.Equal(f.Services[0].Runs(`{"a":1}`), 1)
}

// TestLostAppendResponsesHaveNoEffect makes every append to the log succeed but report a failure.
func TestLostAppendResponsesHaveNoEffect(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 2})
	c := f.as(f.key)
	f.Log.SetFaults(memlog.Faults{DropResponses: true})
	p := c.program(0)
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	f.is.Equal(c.placeOrder(0, p, "k", `{"a":1}`).status, http.StatusOK)
	f.is.Equal(setValue(f, 0, "weight", 2).status, http.StatusOK)
	f.Kill(homeVM(p))
	f.is.Equal(c.callWithRetry(1, p, "two").status, http.StatusOK)
	f.is.Equal(c.placeOrder(1, p, "k", `{"a":1}`).status, http.StatusOK)
	f.is.Equal(f.Services[0].Runs(`{"a":1}`), 1)
	f.is.Equal(c.describe(1, p).Turns, 2)
}

func TestSlowLogDelaysOnlyTheEndOfATurn(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2})
	c := f.as(f.key)
	p := c.program(0)
	f.Log.SetFaults(memlog.Faults{DelayMS: 150})
	started := time.Now()
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	f.is.True(time.Since(started) < 3*time.Second)
	f.is.Equal(c.describe(0, p).Turns, 1)
}

// TestProgramSurvivesLogRetention deletes all records before the latest checkpoints from the log and kills the home,
// twice. The program must be restored from its checkpoint.
func TestProgramSurvivesLogRetention(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 3, Sidecar: func(_ int, c *config.Sidecar) { c.RecheckpointMS = 300 }})
	c := f.as(f.key)
	p := c.program(0)
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	for range 2 {
		trimToCheckpoint(f)
		holder := homeVM(p)
		for _, s := range f.Sidecars {
			if s.IsHomeOf(p) {
				holder = s.VM()
			}
		}
		f.Kill(holder)
		f.is.Equal(c.callWithRetry(0, p, "more").status, http.StatusOK)
		f.is.NoErr(f.Restart(holder))
	}
	f.is.Equal(c.describe(0, p).Turns, 3)
}

func TestSubAgentsStayWithinTheBudget(t *testing.T) {
	f := startFleet(t, devel.Options{
		Entries: 2, Engines: 2, Sidecar: func(_ int, c *config.Sidecar) { c.BudgetChunkTokens = 100 },
	})
	c := f.as(f.key)
	r := c.post(0, "/v1/programs", `{"model":"fake-1","budget_tokens":600}`)
	root := textField(f, r, "program")
	var children []string
	for range 4 {
		k := c.post(0, "/v1/programs", `{"model":"fake-1","parent":"`+root+`"}`)
		f.is.Equal(k.status, http.StatusCreated)
		children = append(children, textField(f, k, "program"))
	}
	var wg sync.WaitGroup
	for _, k := range children {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 10 {
				r := c.post(0, "/v1/programs/"+k+"/calls", callBody("spend some tokens please", `,"max_tokens":60`))
				if r.status != http.StatusOK && r.code != "budget_exhausted" {
					t.Errorf("call: %d %s", r.status, r.body)
				}
			}
		}()
	}
	wg.Wait()
	spent := c.describe(0, root).Spent
	f.is.True(spent <= 600)
	f.is.True(spent > 200)
	f.Kill(homeVM(root))
	f.is.Equal(c.callWithRetry(1, children[0], "one more").code, "budget_exhausted")
	f.is.True(c.describe(1, root).Spent <= 600)
}

func TestEndFreesEngineMemory(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2, Sidecar: func(_ int, c *config.Sidecar) { c.ResidencyLeaseMS = 2000 }})
	c := f.as(f.key)
	p, gone := c.program(0), c.program(0)
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	f.is.Equal(c.call(0, gone, "one").status, http.StatusOK)
	f.is.Equal(c.do(http.MethodDelete, 0, "/v1/programs/"+p, "").status, http.StatusOK)
	f.eventually("memory of the ended program released", func() bool { return !resident(f, p) })
	f.is.True(resident(f, gone))
	f.Kill(homeVM(gone)) // Its home never ends it, so its memory is released when the lease expires.
	f.is.NoErr(f.Restart(homeVM(gone)))
	f.eventually("memory of the abandoned program released", func() bool { return !resident(f, gone) })
}

func TestAbandonedProgramEnds(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2})
	f.is.Equal(setValue(f, 0, "program_idle_ms", 1500).status, http.StatusOK)
	c := f.as(f.key)
	p, used := c.program(0), c.program(0)
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	f.eventually("abandoned program ended", func() bool {
		f.is.Equal(c.call(0, used, "still here").status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		return c.describe(0, p).State == "ended"
	})
	f.eventually("its engine memory released", func() bool { return !resident(f, p) })
	f.is.Equal(c.call(0, p, "two").code, "program_ended")
	f.is.Equal(c.describe(0, used).State, "open")
}

// resident reports whether an engine holds a cache of the program.
func resident(f *fleet, program string) bool {
	for _, e := range f.Engines {
		for _, r := range e.Residencies() {
			if r.Program == program {
				return true
			}
		}
	}
	return false
}

// trimToCheckpoint waits until the homes have written new checkpoints and then deletes all older records from the log.
func trimToCheckpoint(f *fleet) {
	before := make(map[string]int64)
	for _, s := range f.Log.Streams() {
		before[s] = f.Log.End(s)
	}
	time.Sleep(2500 * time.Millisecond)
	for s, end := range before {
		if s != confio.Stream {
			f.Log.Trim(s, end)
		}
	}
}
