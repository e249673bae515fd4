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
	// Min and Max are the inclusive bounds of the value.
	Min, Max float64
	// Integer means that the value must be an integer.
	Integer bool
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
	{Name: BudgetTokens, Unit: "tokens", Default: 2_000_000, Min: 1, Max: maxCount, Integer: true},
	{Name: BurstRequests, Unit: "requests", Default: 100, Min: 1, Max: maxCount, Integer: true},
	{Name: CallTimeoutMS, Unit: "milliseconds", Default: 120_000, Min: 10, Max: maxMillis, Integer: true},
	{Name: MaxOutputTokens, Unit: "tokens", Default: 4096, Min: 1, Max: maxCount, Integer: true},
	{Name: MaxTurns, Unit: "turns", Default: 450, Min: 1, Max: maxCount, Integer: true},
	{Name: OpenToAll, Unit: "0 or 1", Default: 0, Min: 0, Max: 1, Integer: true},
	{Name: ProgramIdleMS, Unit: "milliseconds", Default: 24 * 3600 * 1000, Min: 100, Max: maxMillis, Integer: true},
	{Name: RatePerSecond, Unit: "requests per second", Default: 50, Min: 0, Max: maxCount},
	{Name: ServiceTimeoutMS, Unit: "milliseconds", Default: 30_000, Min: 10, Max: maxMillis, Integer: true},
	{Name: Weight, Unit: "share", Default: 1, Min: 0.01, Max: 1000},
}

// Specs returns all settings, sorted by name.
func Specs() []Spec { return slices.Clone(specs) }

// LookupSpec returns the setting with this name and whether it exists.
func LookupSpec(name string) (Spec, bool) {
	i, ok := slices.BinarySearchFunc(specs, name, func(s Spec, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return Spec{}, false
	}
	return specs[i], true
}

// Check returns an error if the value is not allowed. The error contains the setting's name and the value.
func (s Spec) Check(v float64) error {
	if math.IsNaN(v) || v < s.Min || v > s.Max {
		return fmt.Errorf("setting %q: value %v is outside %v to %v %s", s.Name, v, s.Min, s.Max, s.Unit)
	}
	if s.Integer && v != math.Trunc(v) {
		return fmt.Errorf("setting %q: value %v is not a whole number of %s", s.Name, v, s.Unit)
	}
	return nil
}
