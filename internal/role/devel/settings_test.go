package devel_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
	"galenaward.example/galenaward/internal/stub/memlog"
)

// setValue changes a setting of the workspace's branch, based on the newest version that the entry knows.
func setValue(f *fleet, entry int, name string, value int) reply {
	f.t.Helper()
	return f.as(operator).post(entry, "/v1/settings/changes", changeBody(settingsVersion(f, entry), name, value))
}

// settingsVersion returns the newest settings version that the entry knows.
func settingsVersion(f *fleet, entry int) int {
	f.t.Helper()
	var b struct {
		Version int `json:"version"`
	}
	f.is.NoErr(json.Unmarshal(f.as(operator).do(http.MethodGet, entry, "/v1/settings", "").body, &b))
	return b.Version
}

func changeBody(base int, name string, value int) string {
	return fmt.Sprintf(`{"branch":"/demo","base_version":%d,"values":[{"name":%q,"value":%d}]}`, base, name, value)
}

// weightOf returns the value of the setting weight that is in force at the entry.
func weightOf(f *fleet, entry int) string {
	r := f.as(operator).do(http.MethodGet, entry, "/v1/settings?branch=/demo", "")
	for i := range 100 {
		if contains(r.body, fmt.Sprintf(`"weight","value":%d,`, i)) {
			return fmt.Sprint(i)
		}
	}
	return "none"
}

func TestOneOfConcurrentSettingsChangesWins(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 3})
	op := f.as(operator)
	base := settingsVersion(f, 0)
	f.eventually("all entries have the base version", func() bool {
		return settingsVersion(f, 1) >= base && settingsVersion(f, 2) >= base
	})
	var mu sync.Mutex
	accepted := 0
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := op.post(i%3, "/v1/settings/changes", changeBody(base, "weight", i+10))
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				accepted++
			} else if r.code != "stale_version" {
				t.Errorf("change: status %d: %s", r.status, r.body)
			}
		}()
	}
	wg.Wait()
	f.is.Equal(accepted, 1)
	f.eventually("agreement", func() bool { return weightOf(f, 0) == weightOf(f, 1) && weightOf(f, 1) == weightOf(f, 2) })
}

func TestChangeOfTheParentMakesAChildsChangeStale(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2})
	op := f.as(operator)
	base := settingsVersion(f, 0)
	body := fmt.Sprintf(`{"branch":"/","base_version":%d,"values":[{"name":"weight","value":3}]}`, base)
	f.is.Equal(op.post(0, "/v1/settings/changes", body).status, http.StatusOK)
	f.is.Equal(op.post(1, "/v1/settings/changes", changeBody(base, "weight", 5)).code, "stale_version")
	f.is.Equal(op.post(1, "/v1/settings/changes", changeBody(base+1000, "weight", 5)).code, "invalid_request")
}

func TestSettingsChangeDuringALogOutageIsNotAccepted(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 2})
	f.Log.SetFaults(memlog.Faults{Down: true})
	r := setValue(f, 0, "weight", 7)
	f.is.Equal(r.code, "log_unavailable")
	f.is.Equal(r.outcome, "unknown")
	f.is.Equal(f.as(f.key).post(1, "/v1/programs", `{"model":"fake-1"}`).status, http.StatusCreated) // Keys stay valid.
}

func TestSettingsReachAProcessCutOffFromTheLog(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 3, Engines: 2})
	f.CutLog("entry-1", true)
	f.CutLog("engine-0", true)
	f.is.Equal(setValue(f, 0, "weight", 9).status, http.StatusOK)
	started := time.Now()
	f.eventually("change in force at the entry that was cut off", func() bool { return weightOf(f, 1) == "9" })
	t.Logf("in force after %v", time.Since(started))
	f.is.True(time.Since(started) < 19*time.Second)
}

func TestProcessStartsDuringALogOutage(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 2})
	f.is.Equal(setValue(f, 0, "weight", 9).status, http.StatusOK)
	f.Log.SetFaults(memlog.Faults{Down: true})
	f.Kill("entry-1")
	f.is.NoErr(f.Restart("entry-1"))
	f.eventually("settings fetched from a peer", func() bool { return weightOf(f, 1) == "9" })
}

func TestSettingsSurviveLogRetention(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Entry: func(_ int, c *config.Entry) { c.SnapshotEveryRecords = 2 }})
	f.is.Equal(setValue(f, 0, "weight", 9).status, http.StatusOK)
	for i := range 5 {
		f.is.Equal(setValue(f, 0, "weight", 20+i).status, http.StatusOK)
	}
	time.Sleep(5 * time.Second)
	f.Log.Trim("settings", f.Log.End("settings")-1-1)
	f.Kill("entry-1")
	f.is.NoErr(f.Restart("entry-1"))
	f.eventually("settings loaded from the snapshot", func() bool { return weightOf(f, 1) == "24" })
	f.is.Equal(f.as(f.key).post(1, "/v1/programs", `{"model":"none"}`).code == "unauthenticated", false)
}

func TestSettingsVersionsNeverDecrease(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2})
	done := make(chan struct{})
	var wg sync.WaitGroup
	for e := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			last := ""
			for {
				select {
				case <-done:
					return
				default:
				}
				if w := weightOf(f, e); len(w) < len(last) || (len(w) == len(last) && w < last) {
					t.Errorf("entry %d went back from weight %s to %s", e, last, w)
				} else {
					last = w
				}
			}
		}()
	}
	for i := range 8 {
		if i == 3 {
			f.Log.SetFaults(memlog.Faults{DropResponses: true})
			f.CutLog("entry-1", true)
		}
		f.is.Equal(setValue(f, 0, "weight", 10+i).status, http.StatusOK)
	}
	f.CutLog("entry-1", false)
	f.eventually("last change in force at entry 1", func() bool { return weightOf(f, 1) == "17" })
	close(done)
	wg.Wait()
}

func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	tests := []struct {
		name string
		cut  string
		slow int64
	}{
		{"log available", "", 0},
		{"log slow", "", 300},
		{"entry cut off from the log", "entry-1", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startFleet(t, devel.Options{
				Entries: 2, Engine: engine.Options{TokenDelay: 100 * time.Millisecond}, Entry: func(_ int, c *config.Entry) { c.LogTimeoutMS = 1000 },
			})
			c := f.as(f.key)
			p := c.program(1)
			long := "a b c d e f g h i j k l m n o p q r s t u v w x y z"
			long += long + long + long
			resp := c.open(context.Background(), http.MethodPost, 1, "/v1/programs/"+p+"/calls", callBody(long, streamed))
			f.Log.SetFaults(memlog.Faults{DelayMS: tt.slow})
			if tt.cut != "" {
				f.CutLog(tt.cut, true)
			}
			w := f.as(operator).do(http.MethodDelete, 0, "/v1/keys/"+f.key[3:15], "")
			f.is.Equal(w.status, http.StatusOK)
			accepted := time.Now()
			_, code, complete := readStream(t, resp)
			took := time.Since(accepted)
			t.Logf("stream ended %v after the withdrawal was accepted", took)
			f.is.True(!complete)
			f.is.Equal(code, "key_withdrawn")
			f.is.True(took < 5*time.Second)
			for i := range f.Entries {
				f.eventually("refused", func() bool {
					return c.post(i, "/v1/programs", `{"model":"fake-1"}`).code == "key_withdrawn"
				})
			}
			f.is.True(time.Since(accepted) < 5*time.Second)
		})
	}
}

func TestIsolatedEntryStopsAcceptingKeys(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2})
	c := f.as(f.key)
	f.CutLog("entry-1", true)
	f.Isolate("entry-1")
	started := time.Now()
	f.eventually("refusal", func() bool {
		r := c.post(1, "/v1/programs", `{"model":"none"}`)
		return r.code == "unready" && r.outcome == "not_run"
	})
	t.Logf("refused after %v", time.Since(started))
	f.is.True(time.Since(started) < 13*time.Second)
}

func TestSingleEntryServesDuringALogOutage(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2, Entry: func(_ int, c *config.Entry) { c.SlotLeaseMS = 400 }})
	p := f.as(f.key).program(0)
	f.Log.SetFaults(memlog.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	f.is.Equal(f.as(f.key).call(0, p, "hello").status, http.StatusOK)
}

func TestEntriesServeDuringALogOutage(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 3, Engines: 2, Entry: func(_ int, c *config.Entry) { c.SlotLeaseMS = 1500 }})
	p := f.as(f.key).program(0)
	f.Log.SetFaults(memlog.Faults{Down: true})
	time.Sleep(4 * time.Second)
	for i := range 3 {
		f.is.Equal(f.as(f.key).call(i, p, "hello").status, http.StatusOK)
	}
}
