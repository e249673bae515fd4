package owner

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/state/store"
)

// unreliableStore decides for each append whether it reaches the store and whether its answer arrives. Appends that the
// network holds back are delivered later by deliverLate.
type unreliableStore struct {
	*fakeStore
	t    *rapid.T
	late []func() error
}

func (u *unreliableStore) Append(ctx context.Context, id int, fe store.Fence, records []store.Record) error {
	deliver := func() error { return u.fakeStore.Append(ctx, id, fe, records) }
	switch rapid.IntRange(0, 5).Draw(u.t, "network") {
	case 0:
		return errors.Wrap(store.ErrRefused, "down")
	case 1:
		_ = deliver()
		return errors.Wrap(store.ErrOutcomeUnknown, "answer lost")
	case 2:
		u.late = append(u.late, deliver)
		return errors.Wrap(store.ErrOutcomeUnknown, "held back")
	}
	return deliver()
}

func (u *unreliableStore) deliverLate() {
	if len(u.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(u.late)-1).Draw(u.t, "late append")
	_ = u.late[i]() // The process that sent it no longer waits for the answer.
	u.late = append(u.late[:i], u.late[i+1:]...)
}

// modelMember is a process that may hold the only partition, or believe that it does.
type modelMember struct {
	*Owner
	// generations are those under which the store assigned the partition to the member.
	generations []int64
	open        *Partition
}

// openingsModel checks what the store keeps of the appends of several openings.
type openingsModel struct {
	t         *rapid.T
	store     *unreliableStore
	members   []*modelMember
	confirmed []string
	refused   []string
	appends   int
}

func newOpeningsModel(t *rapid.T) *openingsModel {
	m := &openingsModel{t: t, store: &unreliableStore{fakeStore: newFakeStore(1), t: t}}
	for range 3 {
		m.start()
	}
	return m
}

// start adds a process that holds nothing.
func (m *openingsModel) start() {
	address := fmt.Sprint("127.0.0.1:", len(m.members)%3)
	m.members = append(m.members, &modelMember{Owner: New(group.New(context.Background()), m.store, 1, address)})
}

func (m *openingsModel) member() *modelMember {
	return m.members[rapid.IntRange(max(0, len(m.members)-3), len(m.members)-1).Draw(m.t, "member")]
}

// assign starts a generation in which a member holds the partition.
func (m *openingsModel) assign() {
	m.store.generation++
	o := m.member()
	o.generations = append(o.generations, m.store.generation)
	m.openUnder(o, m.store.generation)
}

// reopen opens the partition once more under a generation that the member has seen, the newest or an earlier one.
func (m *openingsModel) reopen() {
	o := m.member()
	if len(o.generations) > 0 {
		m.openUnder(o, rapid.SampledFrom(o.generations).Draw(m.t, "generation"))
	}
}

func (m *openingsModel) openUnder(o *modelMember, generation int64) {
	o.open = nil
	p := newPartition(0, o.nextEpoch(0, generation), m.store, &o.timeouts, o.limits, o.logEvent)
	if p.fence(m.t.Context()) == nil {
		o.open = p
	}
}

// append makes up to three attempts to append a record, as the append loop of a partition does until it is lost.
func (m *openingsModel) append() {
	o := m.member()
	if o.open == nil {
		return
	}
	m.appends++
	key := fmt.Sprint("t/", m.appends)
	o.open.sequence++
	refused := true
	fence := store.Fence{Epoch: o.open.epoch, Sequence: o.open.sequence}
	for range 3 {
		err := o.open.appendOnce(m.t.Context(), fence, []store.Record{{Key: key, Value: []byte{1}}})
		if err == nil {
			m.confirmed = append(m.confirmed, key)
			return
		}
		refused = refused && !errors.Is(err, store.ErrOutcomeUnknown)
		if errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) {
			break
		}
	}
	o.open = nil // The append loop ends only with the partition.
	if refused {
		m.refused = append(m.refused, key)
	}
}

func (m *openingsModel) check() {
	newest := m.store.partition(0).newest
	for _, key := range m.confirmed {
		if newest[key] == nil {
			m.t.Fatalf("the confirmed record %q is not in the store", key)
		}
	}
	for _, key := range m.refused {
		if newest[key] != nil {
			m.t.Fatalf("the refused record %q is in the store", key)
		}
	}
}

// TestConfirmedAppendsSurviveAnyOpenings guards against the loss of confirmed turns when a partition is opened again in
// the same generation, by a process that froze, after an append whose answer was lost, or while an append is on its way.
func TestConfirmedAppendsSurviveAnyOpenings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOpeningsModel(t)
		m.assign()
		t.Repeat(map[string]func(*rapid.T){
			"":            func(*rapid.T) { m.check() },
			"assign":      func(*rapid.T) { m.assign() },
			"reopen":      func(*rapid.T) { m.reopen() },
			"restart":     func(*rapid.T) { m.start() },
			"append":      func(*rapid.T) { m.append() },
			"deliverLate": func(*rapid.T) { m.store.deliverLate() },
		})
	})
}
