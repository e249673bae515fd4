package roster

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var uneven, even = []float64{0.7, 0.7, 1.7}, []float64{1}

// comparison is a scenario with the bounds on the times with learned capacity, as multiples of those with announced slots.
// Runs differ by a tenth, since the choice of upstreams is random.
type comparison struct {
	scenario
	maxMean, maxP99 float64
	// maxUsage is the bound on the error of Usage.
	maxUsage float64
	// seeds is the number of runs whose means are compared: more where the bounds are close to what is measured.
	seeds uint64
}

// comparisons are the loads and failures under which the learned capacity is compared with the announced slots.
var comparisons = []comparison{
	{scenario{name: "even speeds", speeds: even}, 1.03, 1.05, 1.0, 2},
	{scenario{name: "uneven speeds", speeds: uneven}, 0.65, 0.6, 1.0, 1},
	{scenario{name: "uneven speeds and other workloads", speeds: uneven, interference: true}, 0.65, 0.65, 1.0, 1},
	{scenario{name: "the pace includes the speed", speeds: uneven, interference: true, paceWithSpeed: true}, 0.65, 0.65, 1.0, 1},
	// Turns reach an engine from one gateway less than once a second, so few are seen between two changes.
	{scenario{name: "speeds that flip", speeds: uneven, interference: true, flipEvery: 4 * time.Second}, 0.95, 1.2, 1.0, 2},
	{scenario{name: "slow above half of the slots", speeds: even, kneeOf: 0.5, kneeUntil: modelEnd}, 0.7, 0.6, 1.0, 1},
	{
		scenario{name: "slow under load for a while", speeds: uneven, kneeOf: 0.5, kneeFrom: 6 * time.Second, kneeUntil: 10 * time.Second},
		0.7, 0.6, 1.0, 1,
	},
	{scenario{name: "waves out of phase", speeds: uneven, interference: true, wave: 0.6}, 0.65, 0.7, 1.0, 1},
	// A report that comes after its answer counts the answered request as one of another gateway.
	{scenario{name: "reports late by 300 ms", speeds: uneven, interference: true, late: 300 * time.Millisecond}, 1.1, 1.25, 1.5, 4},
	{scenario{name: "half of the reports lost", speeds: uneven, interference: true, lost: 0.5}, 0.8, 0.8, 1.0, 1},
	// Without a report there is no pace, and the policy remains the present one.
	{scenario{name: "all reports lost", speeds: uneven, interference: true, lost: 1}, 1.3, 1.3, 1.3, 4},
	{
		scenario{name: "two always report idle and fast", speeds: uneven, interference: true, liars: 2, lie: Load{Slots: 6, Pace: 1}},
		0.65, 0.65, 1.0, 1,
	},
	{
		scenario{
			name: "two always report full and slow", speeds: uneven, interference: true, liars: 2,
			lie: Load{Running: 1 << 62, Waiting: 1 << 62, Slots: 6, Pace: 1 << 40},
		},
		0.65, 0.65, 1.0, 1,
	},
	{scenario{name: "two freeze for two seconds", speeds: uneven, interference: true, frozen: 2}, 0.65, 0.65, 1.0, 1},
}

func plain(s scenario) scenario {
	s.gateways, s.upstreams, s.slots = 38, 21, 6
	return s
}

func engines(s scenario) scenario {
	s.gateways, s.upstreams, s.slots, s.engine = 38, 44, 6, true
	return s
}

// runSeeds returns the means over several runs of the model.
func runSeeds(s scenario, l Learning, seeds uint64) (mean outcomeTimes) {
	for seed := range seeds {
		o := runModel(s, l, seed+1)
		mean.mean += o.mean / time.Duration(seeds)
		mean.p99 += o.p99 / time.Duration(seeds)
		mean.usageError += o.usageError / float64(seeds)
	}
	return mean
}

// bothKinds is the number of comparisons that are made for plain services and for engines. Of the others, each is made for
// one of them, since all take minutes with the race detector.
const bothKinds = 5

// compareAll also runs the comparison at other loads, which takes a minute without the race detector.
var compareAll = flag.Bool("compare-all", false, "compare placement for both kinds of services, at loads of 0.4 to 0.9")

// TestLearnedCapacityShortensTimes guards against placement that is worse than with announced slots, under any of the loads
// and failures. At other loads than 0.7 it only prints the times.
func TestLearnedCapacityShortensTimes(t *testing.T) {
	loads := []float64{0.7}
	if *compareAll {
		loads = []float64{0.4, 0.6, 0.7, 0.8, 0.9}
	}
	for i, c := range comparisons {
		for _, load := range loads {
			c.load = load
			for k, q := range []scenario{plain(c.scenario), engines(c.scenario)} {
				if !*compareAll && i >= bothKinds && i%2 != k {
					continue
				}
				t.Run(fmt.Sprintf("%s/%.1f/engine %v", c.name, load, q.engine), func(t *testing.T) {
					is := is.New(t)
					before, after := runSeeds(q, LearnNone, c.seeds), runSeeds(q, LearnAuto, c.seeds)
					t.Logf("%v -> %v", before, after)
					if load == 0.7 {
						is.True(float64(after.mean) <= c.maxMean*float64(before.mean))
						is.True(float64(after.p99) <= c.maxP99*float64(before.p99))
						is.True(after.usageError <= c.maxUsage*before.usageError)
					}
				})
			}
		}
	}
}
