package conf

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Spec describes one setting.
type Spec struct {
	// Name ends in the unit if the setting has one.
	Name string
	Unit string
	// Default is the value at a branch if neither it nor any branch above it sets one.
	Default float64
	// Low and High are the inclusive bounds of the value.
	Low, High float64
	// Whole means that the value must be an integer.
	Whole bool
}

// The names of the settings.
const (
	RatePerSecond    = "rate_per_second"
	BurstRequests    = "burst_requests"
	Weight           = "weight"
	BudgetTokens     = "budget_tokens"
	MaxTurns         = "max_turns"
	MaxOutputTokens  = "max_output_tokens"
	CallTimeoutMS    = "call_timeout_ms"
	ServiceTimeoutMS = "service_timeout_ms"
	OpenToAll        = "open_to_all"
	ProgramIdleMS    = "program_idle_ms"
)

const (
	maxCount  = 1e9
	maxMillis = 30 * 24 * 3600 * 1000
)

var specs = []Spec{
	{Name: BudgetTokens, Unit: "tokens", Default: 2_000_000, Low: 1, High: maxCount, Whole: true},
	{Name: BurstRequests, Unit: "requests", Default: 100, Low: 1, High: maxCount, Whole: true},
	{Name: CallTimeoutMS, Unit: "milliseconds", Default: 120_000, Low: 10, High: maxMillis, Whole: true},
	{Name: MaxOutputTokens, Unit: "tokens", Default: 4096, Low: 1, High: maxCount, Whole: true},
	{Name: MaxTurns, Unit: "turns", Default: 450, Low: 1, High: maxCount, Whole: true},
	{Name: OpenToAll, Unit: "0 or 1", Default: 0, Low: 0, High: 1, Whole: true},
	{Name: ProgramIdleMS, Unit: "milliseconds", Default: 24 * 3600 * 1000, Low: 100, High: maxMillis, Whole: true},
	{Name: RatePerSecond, Unit: "requests per second", Default: 50, Low: 0, High: maxCount},
	{Name: ServiceTimeoutMS, Unit: "milliseconds", Default: 30_000, Low: 10, High: maxMillis, Whole: true},
	{Name: Weight, Unit: "share", Default: 1, Low: 0.01, High: 1000},
}

// Specs returns all settings, sorted by name.
func Specs() []Spec { return slices.Clone(specs) }

// SpecOf returns the setting with this name and whether it exists.
func SpecOf(name string) (Spec, bool) {
	i, ok := slices.BinarySearchFunc(specs, name, func(s Spec, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return Spec{}, false
	}
	return specs[i], true
}

// Check returns an error if the value is not allowed. The error contains the setting's name and the value.
func (s Spec) Check(v float64) error {
	if math.IsNaN(v) || v < s.Low || v > s.High {
		return fmt.Errorf("setting %q: value %v is outside %v to %v %s", s.Name, v, s.Low, s.High, s.Unit)
	}
	if s.Whole && v != math.Trunc(v) {
		return fmt.Errorf("setting %q: value %v is not a whole number of %s", s.Name, v, s.Unit)
	}
	return nil
}
