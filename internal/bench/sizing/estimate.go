package sizing

import "fmt"

// Estimate is the estimated value of one quantity of a role.
type Estimate struct {
	Role, Quantity string
	Value          float64
	Unit           string
	// Bound is the acceptable maximum, zero if there is none.
	Bound float64
	// Alternative describes the mechanism to use where the value exceeds the bound.
	Alternative string
}

// String returns the estimate as a row of a Markdown table.
func (e Estimate) String() string {
	comparison := ""
	switch {
	case e.Bound == 0:
	case e.Value <= e.Bound:
		comparison = "within " + formatSI(e.Bound)
	default:
		comparison = "passes " + formatSI(e.Bound) + "; " + e.Alternative
	}
	return fmt.Sprintf("| %s | %s | %s %s | %s |", e.Role, e.Quantity, formatSI(e.Value), e.Unit, comparison)
}

// formatSI formats a number with three significant digits and an SI prefix.
func formatSI(v float64) string {
	for _, s := range []struct {
		unit   string
		factor float64
	}{{" G", 1e9}, {" M", 1e6}, {" k", 1e3}} {
		if v >= s.factor {
			return fmt.Sprintf("%.3g%s", v/s.factor, s.unit)
		}
	}
	return fmt.Sprintf("%.3g", v)
}
