package devel_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
	"galenaward.example/galenaward/internal/stub/memlog"
)

// TestLogOutageRefusesOnlyOrders makes calls and orders during a log outage of five seconds. Calls must succeed, orders
// must be refused as not run, and every refused order must run exactly once when it is retried afterwards.
func TestLogOutageRefusesOnlyOrders(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 3, Engine: engine.Options{TokenDelay: 5 * time.Millisecond}})
	c := f.as(f.key)
	var programs []string
	for range 4 {
		programs = append(programs, c.program(0))
	}
	f.Log.SetFaults(memlog.Faults{Down: true})
	until := time.Now().Add(5 * time.Second)
	var mu sync.Mutex
	calls, refused := 0, make(map[string]string)
	var wg sync.WaitGroup
	for n, p := range programs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(until); i++ {
				if r := c.call(i%2, p, "go on"); r.status != http.StatusOK {
					t.Errorf("call during the outage: status %d: %s", r.status, r.body)
				}
				body := fmt.Sprintf(`"order %d of %d"`, i, n)
				r := c.placeOrder(i%2, p, fmt.Sprint("order-", i), body)
				if r.code != "log_unavailable" || r.outcome != "not_run" || r.retryAfterMS == 0 {
					t.Errorf("order during the outage: status %d: %s", r.status, r.body)
				}
				mu.Lock()
				calls++
				refused[body] = fmt.Sprint(p, " order-", i)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	f.Log.SetFaults(memlog.Faults{})
	for body, at := range refused {
		var p, key string
		_, err := fmt.Sscan(at, &p, &key)
		f.is.NoErr(err)
		f.eventually("order after the outage", func() bool { return c.placeOrder(0, p, key, body).status == http.StatusOK })
		f.is.Equal(f.Services[0].Runs(body), 1)
	}
	t.Logf("log outage of 5 s: %d model calls succeeded, %d orders were refused and ran once afterwards",
		calls, len(refused))
}
