package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAdmit(t *testing.T) {
	p := DefaultPolicy()
	fresh := Request{TimeLeft: 4 * time.Second, TotalTime: 4 * time.Second}
	lessUrgent, late := fresh, fresh
	lessUrgent.Priority = 1
	late.TimeLeft = 2 * time.Second
	tests := []struct {
		name    string
		load    float64
		request Request
		want    bool
	}{
		{"idle engines admit every program", 0.1, late, true},
		{"no known engines", -1, late, true},
		{"urgent program just below the limit", p.MaxLoad - 0.01, fresh, true},
		{"no program at the limit", p.MaxLoad, fresh, false},
		{"less urgent program just below the limit", p.MaxLoad - 0.01, lessUrgent, false},
		{"late program at its lower limit", p.LateMaxLoad, late, false},
		{"program without a deadline is not late", p.LateMaxLoad, Request{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := Usage{Slots: 100, Requests: tt.load * 100}
			if tt.load < 0 {
				u = Usage{}
			}
			ok, after := p.Admit(u, tt.request)
			is.Equal(ok, tt.want)
			is.Equal(after > 0, !tt.want)
		})
	}
}

// TestLimitFallsWithPriority checks that no priority has a lower limit than a less urgent one.
func TestLimitFallsWithPriority(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	for priority := range 9 {
		is.True(p.Limit(Request{Priority: priority}) >= p.Limit(Request{Priority: priority + 1}))
		is.True(p.Limit(Request{Priority: priority}) > 0)
	}
}

// TestAdmissionUnderOverload simulates a burst of 6 s in which programs arrive at more than twice the rate that the
// engines can serve. Engines slow down with their load. Without admission control nearly all programs end late, even
// long after the burst; with it most of the admitted ones end in time.
func TestAdmissionUnderOverload(t *testing.T) {
	is := is.New(t)
	unlimited := simulateBurst(DefaultPolicy().WithMaxLoad(1000))
	admitted := simulateBurst(DefaultPolicy())
	t.Logf("in time %d of %d without admission, %d of %d with it",
		unlimited.inTime, unlimited.started, admitted.inTime, admitted.started)
	is.True(admitted.inTime > 2*unlimited.inTime)
	is.True(float64(admitted.inTime) > 0.8*float64(admitted.started))
}

type burstResult struct{ started, inTime int }

type modelProgram struct {
	started time.Duration
	// work is the remaining engine time in slot-seconds.
	work float64
}

// simulateBurst steps engines of 100 slots through 16 seconds. A program stands for 8 turns. It needs 1.5 s of a slot
// at full speed and is in time within twice that; with more programs than slots, all share the capacity.
func simulateBurst(p Policy) burstResult {
	const step, slots, need = 10 * time.Millisecond, 100, 1.5
	p.LateMaxLoad = p.MaxLoad
	var running []modelProgram
	var out burstResult
	for now := time.Duration(0); now < 16*time.Second; now += step {
		arrivals := 0.6
		if now > 2*time.Second && now < 8*time.Second {
			arrivals = 1.6
		}
		for n := arrivals; n > 0 && (n >= 1 || int(now/step)%10 < int(n*10)); n-- {
			if ok, _ := p.Admit(Usage{Slots: slots, Requests: float64(len(running))}, Request{}); ok {
				running = append(running, modelProgram{started: now, work: need})
				out.started++
			}
		}
		speed := min(1, slots/max(1, float64(len(running)))) * (1 - 0.3*min(1, float64(len(running))/slots))
		var unfinished []modelProgram
		for _, m := range running {
			if m.work -= speed * step.Seconds(); m.work > 0 {
				unfinished = append(unfinished, m)
				continue
			}
			if now-m.started < 2*need*time.Second {
				out.inTime++
			}
		}
		running = unfinished
	}
	return out
}
