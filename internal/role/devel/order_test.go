package devel_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
	"galenaward.example/galenaward/internal/stub/weight"
)

func TestOrdersReachTheEngineInLogOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks fencing %v", checks), func(t *testing.T) {
			f := startFleet(t, devel.Options{
				Entries: 2, Engine: engine.Options{ChecksFencing: checks},
				Sidecar: func(_ int, c *config.Sidecar) { c.ChecksFencing = checks },
			})
			var fences []int64
			for i := range 6 { // Alternate between two entries.
				r := f.as(operator).post(i%2, "/v1/orders", fmt.Sprintf(`{"vm":"engine-0","action":"load_model","subject":"m%d"}`, i))
				f.is.Equal(r.status, http.StatusCreated)
				var o struct{ Fence int64 }
				f.is.NoErr(json.Unmarshal(r.body, &o))
				fences = append(fences, o.Fence)
			}
			f.eventually("all orders executed", func() bool { return len(f.Engines[0].Orders()) >= 6 })
			for i, o := range f.Engines[0].Orders()[:6] {
				f.is.Equal(o.Fence, fences[i])
			}

			// A previous process that was paused sends an old order late.
			late := strings.NewReader(fmt.Sprintf(`{"fence":%d,"action":"load_model","subject":"m0"}`, fences[0]))
			resp, err := http.Post("http://"+f.EngineAddr(0)+"/orders", "application/json", late)
			f.is.NoErr(err)
			resp.Body.Close()
			f.eventually("newest order executed last", func() bool {
				os := f.Engines[0].Orders()
				return os[len(os)-1].Fence == fences[5]
			})
			f.Kill("engine-0")
			f.is.NoErr(f.Restart("engine-0")) // The new process must not repeat any order.
			n := len(f.Engines[0].Orders())
			f.is.Equal(f.as(operator).post(0, "/v1/orders", `{"vm":"engine-0","action":"set_role","subject":"prefill"}`).status, http.StatusCreated)
			f.eventually("next order executed", func() bool { return len(f.Engines[0].Orders()) > n })
			os := f.Engines[0].Orders()
			f.is.Equal(len(os), n+1)
			f.is.Equal(os[n].Subject, "prefill")
		})
	}
}

func TestLoadedModelIsServedOnceItsWeightsAreDownloaded(t *testing.T) {
	store := httptest.NewServer(weight.New(512<<10, 256<<10)) // One second longer than the store's burst allows.
	t.Cleanup(store.Close)
	f := startFleet(t, devel.Options{Engines: 2, Engine: engine.Options{WeightsURL: store.URL}})
	c := f.as(f.key)
	f.is.Equal(f.as(operator).post(0, "/v1/orders", `{"vm":"engine-1","action":"load_model","subject":"fake-2"}`).status, http.StatusCreated)
	f.eventually("model loaded", func() bool {
		return c.post(0, "/v1/programs", `{"model":"fake-2"}`).status == http.StatusCreated
	})
	for range 5 {
		f.is.Equal(homeVM(textField(f, c.post(0, "/v1/programs", `{"model":"fake-2"}`), "program")), "engine-1")
	}
	f.is.Equal(f.as(operator).post(0, "/v1/orders", `{"vm":"engine-1","action":"unload_model","subject":"fake-2"}`).status, http.StatusCreated)
	f.eventually("model unloaded", func() bool {
		return c.post(0, "/v1/programs", `{"model":"fake-2"}`).status != http.StatusCreated
	})
}
