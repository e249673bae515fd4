package conf

import (
	"sync"
	"sync/atomic"
	"time"
)

// Store holds the newest state that a process has received. Its version never decreases.
type Store struct {
	state   atomic.Pointer[State]
	mu      sync.Mutex
	changed chan struct{}
	// confirmed is the time when the log or a peer last confirmed the state as the newest. It never decreases.
	confirmed time.Time
}

// NewStore returns a store with an empty state.
func NewStore() *Store {
	st := &Store{changed: make(chan struct{}), confirmed: time.Now()}
	st.state.Store(&State{})
	return st
}

// State returns the newest state.
func (st *Store) State() *State { return st.state.Load() }

// StoreIfNewer stores the state if it is newer than the current one, and reports whether it was. Either way it counts
// as a confirmation.
func (st *Store) StoreIfNewer(s *State) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.confirmed = time.Now()
	if s.Version <= st.state.Load().Version {
		return false
	}
	st.state.Store(s)
	close(st.changed)
	st.changed = make(chan struct{})
	return true
}

// Confirm records that the log or a peer responded and had no newer state.
func (st *Store) Confirm() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.confirmed = time.Now()
}

// SinceConfirmed returns the time since the log or a peer last confirmed the state.
func (st *Store) SinceConfirmed() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return time.Since(st.confirmed)
}

// Changed returns a channel that is closed when a newer state is stored. Call it before State, so that no state is
// missed.
func (st *Store) Changed() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.changed
}
