package owner

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/state/store"
)

// Look reads the owners of all partitions from the store unless they were just read. Callers that look at the same
// time share one reading.
func (o *Owner) Look(ctx context.Context) {
	o.mu.Lock()
	recent := time.Since(o.looked) < lookEvery
	o.mu.Unlock()
	if recent {
		return
	}
	done := o.looking.DoChan("", func() (any, error) {
		o.look(o.group.Context())
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (o *Owner) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := o.backing.Owners(ctx)
	o.mu.Lock()
	o.looked = time.Now()
	o.mu.Unlock()
	if err != nil {
		o.note("owners_unread", "cause", err)
		return
	}
	o.locate(owners)
}

// locate takes the holders of all partitions.
func (o *Owner) locate(owners []store.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.members = make(map[int]string, len(owners))
	for _, w := range owners {
		o.members[w.Partition] = w.Member
	}
}

// Expel ends the membership of the process at the address, at which nothing listens any more. Its partitions move at
// once; should it still live, it is fenced and joins again.
func (o *Owner) Expel(ctx context.Context, address string) {
	o.mu.Lock()
	member := ""
	for _, m := range o.members {
		if addressOf(m) == address && m != o.member && time.Since(o.expelled[m]) > expelEvery {
			member = m
		}
	}
	if member != "" {
		o.expelled[member] = time.Now()
	}
	o.mu.Unlock()
	if member == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := o.backing.Leave(ctx, member)
	o.note("member_expelled", "member", member, "cause", err)
	o.Poke()
}
