package sched

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	seed = 11
	// maxSlowdown is the target for the ratio of a workspace's mean to its mean when alone.
	maxSlowdown = 1.3
)

// results caches results by the names of load and variant, which determine them.
var results = make(map[string]*Result)

func meanAlone(t *testing.T, l Load, v Variant, kind string) time.Duration {
	t.Helper()
	return simulate(t, l.Alone(kind), v).Mean
}

func simulate(t *testing.T, l Load, v Variant) *Result {
	t.Helper()
	key := l.Name + "/" + v.Name
	if _, ok := results[key]; !ok {
		synctest.Test(t, func(*testing.T) { results[key] = Simulate(l, v, seed) })
	}
	return results[key]
}

// worstSlowdown returns the workspace with the highest ratio of its mean to its mean when alone, and that ratio. Only
// workspaces whose name has the prefix count.
func worstSlowdown(t *testing.T, l Load, v Variant, r *Result, prefix string) (string, float64) {
	t.Helper()
	name, ratio := "", 0.0
	for _, w := range l.Workspaces {
		if !strings.HasPrefix(w.Name, prefix) {
			continue
		}
		if q := float64(r.PerWorkspace[w.Name]) / float64(meanAlone(t, l, v, w.Kind)); q > ratio {
			name, ratio = w.Name, q
		}
	}
	return name, ratio
}

func TestProductBeatsNaiveScheduling(t *testing.T) {
	for _, l := range []Load{TePupuhi(0.85), BatongDaan(0.85), TePupuhi(0.85).WithShiftingCallers(time.Minute)} {
		var naive *Result
		for i, v := range Variants() {
			t.Run(l.Name+"/"+v.Name, func(t *testing.T) {
				is := is.New(t)
				r := simulate(t, l, v)
				name, ratio := worstSlowdown(t, l, v, r, "")
				_, kura := worstSlowdown(t, l, v, r, "kura")
				t.Logf("%-26s %-44s programs %4d mean %8v p95 %8v p99 %8v wasted %5.2f%% far %2.0f%% worst %s %.2f times alone, worst kura %.2f",
					l.Name, v.Name, r.Programs, r.Mean.Round(10*time.Millisecond), r.P95.Round(10*time.Millisecond),
					r.P99.Round(10*time.Millisecond), 100*r.RecomputedFraction, 100*r.RemoteFraction, name, ratio, kura)
				if i == 0 {
					naive = r
				}
				if v.Name == nameProduct {
					is.True(r.P95 <= naive.P95/2)
					is.True(r.RecomputedFraction <= naive.RecomputedFraction/10)
					is.True(kura <= maxSlowdown)
				}
			})
		}
	}
}

func variantNamed(name string) Variant {
	all := Variants()
	return all[slices.IndexFunc(all, func(v Variant) bool { return v.Name == name })]
}

// TestNoWorkspaceIsSlowedBelowCapacity checks the target for the slowdown at 60% load, where the engines have capacity
// for the bursts.
func TestNoWorkspaceIsSlowedBelowCapacity(t *testing.T) {
	for _, l := range []Load{TePupuhi(0.6), BatongDaan(0.6)} {
		v := variantNamed(nameProduct)
		name, ratio := worstSlowdown(t, l, v, simulate(t, l, v), "")
		t.Logf("%s: worst %s %.2f times alone", l.Name, name, ratio)
		if ratio > maxSlowdown {
			t.Errorf("%s: %s takes %.2f times as long as alone, target %.1f", l.Name, name, ratio, maxSlowdown)
		}
	}
}

// TestMemoryLimitHelpsWhenShortOfMemory compares scheduling that knows the engines' memory with scheduling that does
// not, at half of the usual memory.
func TestMemoryLimitHelpsWhenShortOfMemory(t *testing.T) {
	is := is.New(t)
	for _, l := range []Load{TePupuhi(0.85).WithHalfMemory(), BatongDaan(0.85).WithHalfMemory()} {
		with, without := simulate(t, l, variantNamed(nameProduct)), simulate(t, l, variantNamed(nameMemoryUnknown))
		for _, r := range []*Result{without, with} {
			t.Logf("%s: mean %v p95 %v wasted %.2f%%", l.Name, r.Mean.Round(10*time.Millisecond),
				r.P95.Round(10*time.Millisecond), 100*r.RecomputedFraction)
		}
		is.True(with.Mean < without.Mean)
		is.True(with.P95 < without.P95)
		is.True(with.RecomputedFraction < without.RecomputedFraction)
	}
}

// TestWastedCacheWhenShortOfMemory checks the target for wasted cache at half of the usual memory: a tenth of the naive
// variant's.
func TestWastedCacheWhenShortOfMemory(t *testing.T) {
	for _, l := range []Load{TePupuhi(0.85).WithHalfMemory(), BatongDaan(0.85).WithHalfMemory()} {
		naive, r := simulate(t, l, Variants()[0]), simulate(t, l, variantNamed(nameProduct))
		if r.RecomputedFraction > naive.RecomputedFraction/10 {
			t.Errorf("%s: %.2f%% of the prompt tokens are wasted, naive %.2f%%, target a tenth", l.Name,
				100*r.RecomputedFraction, 100*naive.RecomputedFraction)
		}
	}
}

// TestPooledBound checks and logs that one engine as large as all of them is a bound for the mean time of programs.
func TestPooledBound(t *testing.T) {
	is := is.New(t)
	v := variantNamed(nameProduct)
	for _, l := range []Load{TePupuhi(0.85), BatongDaan(0.85)} {
		spread, pooled := simulate(t, l, v), simulate(t, l.Pooled(), v)
		sum := time.Duration(0)
		for _, w := range l.Workspaces {
			sum += meanAlone(t, l.Pooled(), v, w.Kind)
		}
		alone := sum / time.Duration(len(l.Workspaces))
		t.Logf("%s: mean of programs %v, pooled %v (%.2f times the mean alone)", l.Name,
			spread.Mean.Round(10*time.Millisecond), pooled.Mean.Round(10*time.Millisecond), float64(pooled.Mean)/float64(alone))
		is.True(pooled.Mean <= spread.Mean)
	}
}

// TestNoWorkspaceIsSlowedBeyondTheTarget checks the target for the slowdown at 85% load for every workspace, including
// those with bursts.
func TestNoWorkspaceIsSlowedBeyondTheTarget(t *testing.T) {
	for _, l := range []Load{TePupuhi(0.85), BatongDaan(0.85)} {
		v := variantNamed(nameProduct)
		if name, ratio := worstSlowdown(t, l, v, simulate(t, l, v), ""); ratio > maxSlowdown {
			t.Errorf("%s: %s takes %.2f times as long as alone, target %.1f", l.Name, name, ratio, maxSlowdown)
		}
	}
}
