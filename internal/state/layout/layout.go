// Package layout holds one resolved version of a deployment's configuration: its routes, workspaces, services and the
// limits on callers. A Layout is immutable; a newer version replaces the whole Layout.
package layout

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Layout is one version of the configuration. Create it with New, which builds the indexes.
type Layout struct {
	// Version increases with each Layout that comes into force.
	Version    int64
	Routes     []Route
	Workspaces []Workspace
	Services   []Service
	Limits     Limits

	// byHost maps a host to the indexes of its routes, longest prefix first.
	byHost map[string][]int
	// byKey maps a key to the index of its workspace.
	byKey map[string]int
	// byName maps the name of a service to its index.
	byName map[string]int
	// keepsHistory is set if a route keeps history.
	keepsHistory bool
}

// Kind is the kind of a route. It determines whether requests may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent
	// Streaming requests are answered with a stream of events and run at most once per attempt of the caller.
	Streaming
)

// String returns the name of the kind used in logs.
func (k Kind) String() string { return [...]string{"idempotent", "non_idempotent", "streaming"}[k] }

// Route selects requests by host and path prefix and defines where and how they are sent.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets is never empty, and all weights are positive.
	Targets []Target
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// LatencyObjective is the latency objective for the answer or, for streams, for the first event.
	LatencyObjective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of upstreams to which one attempt of the caller is sent; at least 1.
	MaxAttempts int
	// Public is set if callers need no key.
	Public bool
	// HasTurns is set if the requests are turns of programs. Accounts of the programs are kept for Retention.
	HasTurns  bool
	Retention time.Duration
	// KeepsHistory is set if callers send only the new input of a turn and the system keeps the earlier turns for
	// Retention. It requires HasTurns.
	KeepsHistory bool
	// Resumable is set if a stream may continue at another upstream after the last event that was forwarded.
	Resumable bool
	// AllowedRegions are the regions whose upstreams may run the requests.
	AllowedRegions RegionSet
	// Sticky is set if requests that concern the same object run faster at the upstream that ran one of them recently.
	Sticky bool
}

// Target is a service that receives a share of the requests of a route, in proportion to its weight.
type Target struct {
	Service string
	Weight  float64
}

// Workspace is a customer with its keys, priority and rate limit.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond is the maximum number of requests per second over all entries; 0 means no limit.
	RatePerSecond float64
	// Burst is the number of requests above the rate that may arrive at once.
	Burst float64
	// AllowedRegions are the regions whose upstreams may run the requests, in addition to the restriction of their route.
	AllowedRegions RegionSet
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// Engine is set for services of model engines.
	Engine *Engine
	// Cold is set for services whose upstreams handle few requests for some time after they start.
	Cold *Cold
}

// Engine describes the model engines of a service.
type Engine struct {
	// EventTokens is the number of tokens per event of a stream.
	EventTokens int64
}

// Cold describes how the upstreams of a service start.
type Cold struct {
	// Start is how long an upstream stays cold.
	Start time.Duration
	// PerSecond is the number of requests per second that a cold upstream handles, from all gateways together; always
	// positive. It crashes at rates well above that.
	PerSecond float64
}

// Limits are the operator's limits on the size of requests; zero means that the operator set no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// New returns l with its indexes built. The slices of l must not be changed afterwards.
func New(l Layout) *Layout {
	l.byHost = make(map[string][]int)
	l.byKey = make(map[string]int)
	l.byName = make(map[string]int)
	l.keepsHistory = false
	for i, r := range l.Routes {
		l.byHost[r.Host] = append(l.byHost[r.Host], i)
		l.keepsHistory = l.keepsHistory || r.KeepsHistory
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

// Match returns the route of the host with the longest prefix that matches the path.
func (l *Layout) Match(host, path string) (Route, bool) {
	for _, i := range l.byHost[host] {
		if strings.HasPrefix(path, l.Routes[i].Prefix) {
			return l.Routes[i], true
		}
	}
	return Route{}, false
}

// WorkspaceByKey returns the workspace to which the key belongs.
func (l *Layout) WorkspaceByKey(key string) (Workspace, bool) {
	i, ok := l.byKey[key]
	if !ok {
		return Workspace{}, false
	}
	return l.Workspaces[i], true
}

// Workspace returns the workspace with the name. A nil Layout, as before the first configuration, contains none.
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

// Service returns the service with the name. A nil Layout contains none.
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

// Cold returns how the upstreams of the service start; nil if the service has no limit for cold ones.
func (l *Layout) Cold(service string) *Cold {
	s, _ := l.Service(service)
	return s.Cold
}

// ColdStart returns how long an upstream of the service stays cold; zero if the service has no limit for cold ones.
func (l *Layout) ColdStart(service string) time.Duration {
	if c := l.Cold(service); c != nil {
		return c.Start
	}
	return 0
}

// HasCold reports whether any service has a limit for cold upstreams. A nil Layout has none.
func (l *Layout) HasCold() bool {
	return l != nil && slices.ContainsFunc(l.Services, func(s Service) bool { return s.Cold != nil })
}

// RequiresKeys reports whether callers must present keys on routes that are not Public, which is so if there are
// workspaces.
func (l *Layout) RequiresKeys() bool { return len(l.Workspaces) > 0 }

// KeepsHistory reports whether a route keeps history.
func (l *Layout) KeepsHistory() bool { return l.keepsHistory }

// Keys returns the valid keys in sorted order.
func (l *Layout) Keys() []string { return slices.Sorted(maps.Keys(l.byKey)) }

// PickService returns the service for a request. The point in [0, 1) is drawn at random for each request; services are
// picked in proportion to their weights.
func (r Route) PickService(point float64) string {
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

// PriorityFor returns the priority of the workspace's requests on the route; 0 is the most urgent.
func (r Route) PriorityFor(w Workspace) int {
	if w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
