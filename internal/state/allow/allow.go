// Package allow keeps the tokens of a program's budget that one process may send to callers: the grants that the holder of
// the program's account gave it, and what running turns have reserved of them. An Allowance does no I/O.
package allow

import "slices"

// Grant is a grant of the program's home, less what was used of it.
type Grant struct {
	// ID is unique among all grants of all homes.
	ID string
	// Unused is the number of tokens that have not been sent; negative if a turn sent more than it may.
	Unused int64
}

// Return is a message to the home: tokens of a grant that will not be used.
type Return struct {
	ID     string `json:"id"`
	Unused int64  `json:"unused"`
	// Closed means that nothing more of the grant will be used.
	Closed bool `json:"closed,omitempty"`
}

// Allowance holds the grants of one program. It is immutable; the zero value holds none.
type Allowance struct {
	// grants are in the order in which they were given; turns use the oldest first.
	grants []Grant
	// reserved is the number of tokens that running turns may still send; at least 0.
	reserved int64
}

// Free returns the number of tokens that no turn has reserved.
func (a Allowance) Free() int64 {
	n := -a.reserved
	for _, g := range a.grants {
		n += g.Unused
	}
	return n
}

// Empty reports whether there is nothing to return and no turn runs.
func (a Allowance) Empty() bool { return len(a.grants) == 0 && a.reserved == 0 }

// Running reports whether turns have reserved tokens.
func (a Allowance) Running() bool { return a.reserved > 0 }

// WithGrant returns the allowance with one more grant.
func (a Allowance) WithGrant(id string, tokens int64) Allowance {
	a.grants = append(slices.Clip(a.grants), Grant{ID: id, Unused: tokens})
	return a
}

// Reserve reserves the tokens of a turn and reports whether there were enough.
func (a Allowance) Reserve(tokens int64) (Allowance, bool) {
	if a.Free() < tokens {
		return a, false
	}
	a.reserved += tokens
	return a, true
}

// WithEnd returns the allowance after a turn that had reserved tokens and used some of them.
func (a Allowance) WithEnd(reserved, used int64) Allowance {
	a.reserved = max(0, a.reserved-reserved)
	grants := make([]Grant, 0, len(a.grants))
	for i, g := range a.grants {
		n := min(used, max(0, g.Unused))
		if i == len(a.grants)-1 {
			n = used
		}
		g.Unused -= n
		used -= n
		grants = append(grants, g)
	}
	a.grants = grants
	return a
}

// Release gives up all tokens that no turn has reserved, the newest grants first, and returns the messages that say so.
// Grants of which nothing is left are closed.
func (a Allowance) Release() (Allowance, []Return) {
	free := max(0, a.Free())
	var kept []Grant
	var out []Return
	for _, g := range slices.Backward(a.grants) {
		n := min(free, max(0, g.Unused))
		free -= n
		g.Unused -= n
		closed := g.Unused <= 0
		if n > 0 || closed {
			out = append(out, Return{ID: g.ID, Unused: n, Closed: closed})
		}
		if !closed {
			kept = append(kept, g)
		}
	}
	slices.Reverse(kept)
	a.grants = kept
	return a, out
}
