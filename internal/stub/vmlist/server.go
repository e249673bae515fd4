// Package vmlist is a stand-in for the platform's list of VMs. Changes become visible after a delay.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/role/peers"
)

// List is a list of VMs. It is safe for concurrent use.
type List struct {
	lag time.Duration
	mu  sync.Mutex
	vms []peers.VM
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set replaces the list. Readers see the new list after the lag.
func (l *List) Set(vms []peers.VM) {
	show := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.vms = vms
	}
	if l.lag == 0 {
		show()
		return
	}
	time.AfterFunc(l.lag, show)
}

// ServeHTTP returns the list, or replaces it if the method is PUT.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	type body struct {
		VMs []peers.VM `json:"vms"`
	}
	if r.Method == http.MethodPut {
		var b body
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(b.VMs)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(body{l.vms})
}
