package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBegin(t *testing.T) {
	p := DefaultPolicy()
	fresh := Ask{Left: 4 * time.Second, Whole: 4 * time.Second}
	lessUrgent, late := fresh, fresh
	lessUrgent.Rank = 1
	late.Left = 2 * time.Second
	tests := []struct {
		name string
		load float64
		ask  Ask
		want bool
	}{
		{"idle engines take all", 0.1, late, true},
		{"no engine is known", -1, late, true},
		{"the urgent begin just below the limit", p.Full - 0.01, fresh, true},
		{"no one begins at the limit", p.Full, fresh, false},
		{"the less urgent are refused before", p.Full - 0.01, lessUrgent, false},
		{"programs that will be late are refused before", p.LateFull, late, false},
		{"programs without a time are not late", p.LateFull, Ask{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := Gauge{Slots: 100, Held: tt.load * 100}
			if tt.load < 0 {
				g = Gauge{}
			}
			ok, after := p.Begin(g, tt.ask)
			is.Equal(ok, tt.want)
			is.Equal(after > 0, !tt.want)
		})
	}
}

// TestNoRankIsBehindALessUrgentOne checks every pair of ranks at every load.
func TestNoRankIsBehindALessUrgentOne(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	for rank := range 9 {
		is.True(p.Limit(Ask{Rank: rank}) >= p.Limit(Ask{Rank: rank + 1}))
		is.True(p.Limit(Ask{Rank: rank}) > 0)
	}
}

// TestBurstAboveCapacity is a model of a morning's burst: programs of 8 turns arrive at twice the rate that the engines
// carry for 6 s. Engines slow down with the requests that they hold. Without admission nearly all end late, long after
// the burst too; with it most of those that begin end in time.
func TestBurstAboveCapacity(t *testing.T) {
	is := is.New(t)
	naive := playBurst(DefaultPolicy().WithFull(1000))
	admitted := playBurst(DefaultPolicy())
	t.Logf("in time %d of %d without admission, %d of %d with it", naive.inTime, naive.begun, admitted.inTime, admitted.begun)
	is.True(admitted.inTime > 2*naive.inTime)
	is.True(float64(admitted.inTime) > 0.8*float64(admitted.begun))
}

type burstResult struct{ begun, inTime int }

type modelProgram struct {
	begun time.Duration
	// work is the engine time left in slot-steps.
	work float64
}

// playBurst steps engines of 100 slots through ten seconds. A program needs 1.5 s of a slot at full speed and is in time
// within twice that; above the slots all share what there is.
func playBurst(p Policy) burstResult {
	const step, slots, need = 10 * time.Millisecond, 100, 1.5
	p.LateFull = p.Full
	var under []modelProgram
	var out burstResult
	for now := time.Duration(0); now < 16*time.Second; now += step {
		arrivals := 0.6
		if now > 2*time.Second && now < 8*time.Second {
			arrivals = 1.6
		}
		for n := arrivals; n > 0 && (n >= 1 || int(now/step)%10 < int(n*10)); n-- {
			if ok, _ := p.Begin(Gauge{Slots: slots, Held: float64(len(under))}, Ask{}); ok {
				under = append(under, modelProgram{begun: now, work: need})
				out.begun++
			}
		}
		speed := min(1, slots/max(1, float64(len(under)))) * (1 - 0.3*min(1, float64(len(under))/slots))
		var left []modelProgram
		for _, m := range under {
			if m.work -= speed * step.Seconds(); m.work > 0 {
				left = append(left, m)
				continue
			}
			if now-m.begun < 2*need*time.Second {
				out.inTime++
			}
		}
		under = left
	}
	return out
}
