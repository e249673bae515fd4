// Package layout holds one version of a deployment's configuration in resolved form: its routes, workspaces,
// services and the limits on callers. A layout is immutable; a newer version replaces it whole.
package layout

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Layout is one version of the configuration.
type Layout struct {
	// Version only rises from one layout in force to the next.
	Version    int64
	Routes     []Route
	Workspaces []Workspace
	Services   []Service
	Limits     Limits

	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]int
	// byKey maps a key to the index of its workspace.
	byKey map[string]int
	// byName maps a service's name to its index.
	byName map[string]int
}

// Kind says whether a request of a route may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by a stream of events and run at most once for each attempt of the caller.
	Streaming
)

// String returns the kind as it is logged.
func (k Kind) String() string { return [...]string{"idempotent", "non_idempotent", "streaming"}[k] }

// Route says which requests go to which service, and how.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets is never empty; the weights are positive.
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is on time.
	Objective time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of upstreams that one attempt of the caller may be sent to; at least 1.
	MaxAttempts int
	// Open routes need no key.
	Open bool
	// Turns routes carry turns of programs, whose accounts the system keeps for Retention.
	Turns     bool
	Retention time.Duration
	// KeepsHistory says that callers send only what is new in a turn; the system keeps the rest for Retention. Only
	// routes with Turns keep it.
	KeepsHistory bool
	// Resumable streams may go on at another upstream behind the last event that was passed on.
	Resumable bool
}

// Target is a service that a route sends a part of its requests to.
type Target struct {
	Service string
	Weight  float64
}

// Workspace is a customer with its keys and its share of the fleet.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes the place of the routes' rank if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond is the requests per second over all entries; 0 is no limit.
	RatePerSecond float64
	// Burst is the requests that may come at once above the rate.
	Burst float64
}

// Service is a set of upstreams that run the same requests.
type Service struct {
	Name string
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// EventTokens is the number of tokens that one event of a stream stands for.
	EventTokens int64
}

// Limits bound what a caller may send; zero is no limit of the operator's.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// New returns the layout with its indexes built. The slices are not to be changed afterwards.
func New(l Layout) *Layout {
	l.byHost = make(map[string][]int)
	l.byKey = make(map[string]int)
	l.byName = make(map[string]int)
	for i, r := range l.Routes {
		l.byHost[r.Host] = append(l.byHost[r.Host], i)
	}
	for _, list := range l.byHost {
		slices.SortStableFunc(list, func(a, b int) int { return len(l.Routes[b].Prefix) - len(l.Routes[a].Prefix) })
	}
	for i, w := range l.Workspaces {
		for _, k := range w.Keys {
			l.byKey[k] = i
		}
	}
	for i, s := range l.Services {
		l.byName[s.Name] = i
	}
	return &l
}

// Match returns the route of the host with the longest prefix that begins the path.
func (l *Layout) Match(host, path string) (Route, bool) {
	for _, i := range l.byHost[host] {
		if strings.HasPrefix(path, l.Routes[i].Prefix) {
			return l.Routes[i], true
		}
	}
	return Route{}, false
}

// Holder returns the workspace that holds the key.
func (l *Layout) Holder(key string) (Workspace, bool) {
	i, ok := l.byKey[key]
	if !ok {
		return Workspace{}, false
	}
	return l.Workspaces[i], true
}

// Workspace returns the workspace with the name. A nil layout, before the first configuration, has none.
func (l *Layout) Workspace(name string) (Workspace, bool) {
	if l == nil {
		return Workspace{}, false
	}
	i := slices.IndexFunc(l.Workspaces, func(w Workspace) bool { return w.Name == name })
	if i < 0 {
		return Workspace{}, false
	}
	return l.Workspaces[i], true
}

// Service returns the service with the name. A nil layout has none.
func (l *Layout) Service(name string) (Service, bool) {
	if l == nil {
		return Service{}, false
	}
	i, ok := l.byName[name]
	if !ok {
		return Service{}, false
	}
	return l.Services[i], true
}

// HasKeys reports whether callers must present keys on routes that are not open.
func (l *Layout) HasKeys() bool { return len(l.Workspaces) > 0 }

// Keys returns all keys that hold.
func (l *Layout) Keys() []string { return slices.Sorted(maps.Keys(l.byKey)) }

// Pick returns the service that takes the request, for a point in [0, 1) that is drawn for it.
func (r Route) Pick(point float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := point * sum
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Rank returns the urgency of the workspace's requests on the route; 0 is the most urgent.
func (r Route) Rank(w Workspace) int {
	if w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
