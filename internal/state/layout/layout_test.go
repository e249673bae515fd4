package layout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMatch(t *testing.T) {
	l := New(Layout{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/X/1", ""},
		{"a.example", "//x/1", ""},
		{"b.example", "/x/1", "other"},
		{"c.example", "/x/1", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := l.Match(tt.host, tt.path)
			is.Equal(r.Name, tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	count := make(map[string]int)
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	is.Equal(count["a"], 900)
	is.Equal(count["b"], 100)
}

func TestHolderAndRank(t *testing.T) {
	is := is.New(t)
	l := New(Layout{Workspaces: []Workspace{
		{Name: "plain", Keys: []string{"k1", "k2"}},
		{Name: "urgent", Keys: []string{"k3"}, HasPriority: true},
	}})
	w, ok := l.WorkspaceByKey("k2")
	is.True(ok)
	is.Equal(Route{Priority: 2}.PriorityFor(w), 2)
	w, ok = l.WorkspaceByKey("k3")
	is.True(ok)
	is.Equal(Route{Priority: 2}.PriorityFor(w), 0)
	_, ok = l.WorkspaceByKey("")
	is.True(!ok)
}

// TestNilLayout checks a nil Layout, which a process uses if it holds a partition before it has its first
// configuration.
func TestNilLayout(t *testing.T) {
	is := is.New(t)
	var l *Layout
	_, ok := l.Workspace("w")
	is.True(!ok)
	_, ok = l.Service("s")
	is.True(!ok)
}

// TestColdLimitsOfServices guards against limits for upstreams of services that have none.
func TestColdLimitsOfServices(t *testing.T) {
	is := is.New(t)
	l := New(Layout{Services: []Service{{Name: "plain"}, {Name: "slow", Cold: &Cold{Start: time.Minute, PerSecond: 28}}}})
	is.Equal(l.Cold("slow").PerSecond, 28.0)
	is.Equal(l.ColdStart("slow"), time.Minute)
	is.True(l.HasCold())
	for _, name := range []string{"plain", "unknown"} {
		is.True(l.Cold(name) == nil)
		is.Equal(l.ColdStart(name), time.Duration(0))
	}
	var none *Layout
	is.True(!none.HasCold())
	is.True(none.Cold("slow") == nil)
	is.True(!New(Layout{Services: []Service{{Name: "plain"}}}).HasCold())
}
