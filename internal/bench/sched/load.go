package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Workspace describes the programs that one workspace starts.
type Workspace struct {
	Name string
	// Kind is the same for workspaces with the same demand and weight.
	Kind   string
	Weight float64
	// PerMinute is the rate at which it starts programs, by the time since the start.
	PerMinute func(t time.Duration) float64
	// CallerDataCentre is the index of its callers' nearest data centre, by the time since the start. If it is nil,
	// callers are spread over all data centres.
	CallerDataCentre func(t time.Duration) int
}

func (w Workspace) callerDataCentre(t time.Duration) int {
	if w.CallerDataCentre == nil {
		return -1
	}
	return w.CallerDataCentre(t)
}

// Load describes the engines and the workspaces of one simulation.
type Load struct {
	Name    string
	Engines int
	// Size multiplies the slots and the memory of each engine; zero means one.
	Size int
	// Memory is the cache capacity of each engine in tokens; zero means CacheTokens.
	Memory     int64
	Workspaces []Workspace
	Length     time.Duration
}

// plan is the generated course of a program. Scheduling decisions do not see it.
type plan struct {
	id, workspace string
	weight        float64
	begin         time.Duration
	turns         []turn
	// callerDataCentre is the index of the caller's nearest data centre; negative means any.
	callerDataCentre int
}

// entry returns the index of the entry to which the platform's load balancer sends a call.
func (p plan) entry(rng *rand.Rand) int {
	if p.callerDataCentre < 0 {
		return rng.IntN(entryCount)
	}
	return p.callerDataCentre
}

// turn is one call: its new prompt tokens, its answer tokens and the pause after it, in which a tool runs.
type turn struct {
	prompt, answer int64
	pause          time.Duration
}

// generatePlans draws the programs of a load at random.
func (l Load) generatePlans(seed uint64) []plan {
	var out []plan
	for i, w := range l.Workspaces {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		t := time.Duration(0)
		for n := 0; ; n++ {
			t += time.Duration(rng.ExpFloat64() / w.PerMinute(t) * float64(time.Minute))
			if t > l.Length {
				break
			}
			out = append(out, plan{
				id: fmt.Sprintf("%s-%d", w.Name, n), workspace: w.Name, weight: w.Weight, begin: t, turns: generateTurns(rng),
				callerDataCentre: w.callerDataCentre(t),
			})
		}
	}
	return out
}

// generateTurns draws a sequence of two to twenty calls at random, most of them short.
func generateTurns(rng *rand.Rand) []turn {
	n := 2 + int(rng.ExpFloat64()*4)
	out := make([]turn, min(n, 20))
	for i := range out {
		out[i] = turn{
			prompt: 50 + int64(rng.ExpFloat64()*200), answer: 20 + int64(rng.ExpFloat64()*60),
			pause: time.Duration(rng.ExpFloat64() * float64(2*time.Second)),
		}
	}
	out[0].prompt += 800 // The agent's system prompt.
	return out
}

// constantRate returns a rate that does not change.
func constantRate(perMinute float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perMinute }
}

// burstRate returns a rate that is multiplied by factor during the second quarter of each period.
func burstRate(perMinute, factor float64, period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if q := t % period; q >= period/4 && q < period/2 {
			return perMinute * factor
		}
		return perMinute
	}
}

// meanBurstFactor returns the ratio of the mean to the base of a burstRate.
func meanBurstFactor(factor float64) float64 { return 1 + (factor-1)/4 }

// engineProgramsPerMinute is the rate of programs that fully uses one engine if no prompt token is prefilled twice: a
// program takes 9.6 s of one of the eight slots on average.
const engineProgramsPerMinute = EngineSlots * 60 / 9.6

// TePupuhi returns a load of two large councils, one of which has bursts, and six small schools on eight engines. The
// parameter load is the fraction of the engines' capacity that is used on average.
func TePupuhi(load float64) Load {
	l := Load{Name: fmt.Sprintf("Te Pupuhi %.0f%%", 100*load), Engines: 8, Length: 10 * time.Minute}
	unit := load * float64(l.Engines) * engineProgramsPerMinute / (3.2*meanBurstFactor(4) + 4 + 6*0.5)
	l.Workspaces = append(l.Workspaces,
		Workspace{Name: "council-a", Kind: "council-a", Weight: 1, PerMinute: burstRate(3.2*unit, 4, 2*time.Minute)},
		Workspace{Name: "council-b", Kind: "council-b", Weight: 1, PerMinute: constantRate(4 * unit)})
	for i := range 6 {
		l.Workspaces = append(l.Workspaces, Workspace{
			Name: fmt.Sprint("kura-", i), Kind: "kura", Weight: 1, PerMinute: constantRate(0.5 * unit),
		})
	}
	return l
}

// BatongDaan returns a load of eight workspaces on nine engines. Each workspace has bursts, as in a morning rush.
func BatongDaan(load float64) Load {
	l := Load{Name: fmt.Sprintf("Batong Daan %.0f%%", 100*load), Engines: 9, Length: 10 * time.Minute}
	unit := load * float64(l.Engines) * engineProgramsPerMinute / (8 * 1.2 * meanBurstFactor(1.6))
	for i := range 8 {
		l.Workspaces = append(l.Workspaces, Workspace{
			Name: fmt.Sprint("counter-", i), Kind: "counter", Weight: 1, PerMinute: burstRate(1.2*unit, 1.6, 4*time.Minute),
		})
	}
	return l
}

// WithShiftingCallers returns the load with all callers near one data centre, which changes with each period, as when
// weather moves over the regions.
func (l Load) WithShiftingCallers(period time.Duration) Load {
	l.Name += ", shifting"
	l.Workspaces = slices.Clone(l.Workspaces)
	for i := range l.Workspaces {
		l.Workspaces[i].CallerDataCentre = func(t time.Duration) int { return int(t/period) % entryCount }
	}
	return l
}

// WithHalfMemory returns the load on engines with half of the usual memory.
func (l Load) WithHalfMemory() Load {
	l.Name += ", short of memory"
	l.Memory = CacheTokens / 2
	return l
}

// Pooled returns the load on one engine as large as all of them together. No placement can do better, since
// no call waits while any slot is free and no prompt is prefilled again because its program moved.
func (l Load) Pooled() Load {
	l.Name += ", pooled"
	l.Engines, l.Size = 1, l.Engines
	return l
}

// Alone returns the load with a single workspace of the kind.
func (l Load) Alone(kind string) Load {
	out := l
	out.Name += ", " + kind + " alone"
	i := slices.IndexFunc(l.Workspaces, func(w Workspace) bool { return w.Kind == kind })
	out.Workspaces = l.Workspaces[i : i+1]
	return out
}
