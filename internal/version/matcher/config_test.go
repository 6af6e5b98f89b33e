package matcher_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
)

func route(host, prefix string, parts ...matcher.Part) matcher.Route {
	return matcher.Route{Name: host + prefix, Host: host, Prefix: prefix, Parts: parts}
}

func TestMatch(t *testing.T) {
	is := is.New(t)
	s := matcher.Part{Service: "s", Weight: 1}
	c, err := matcher.New(1, matcher.Limits{}, []matcher.Route{
		route("a.example", "/", s),
		route("a.example", "/x/", s),
		route("a.example", "/x/y/", s),
		route("b.example", "/x/", s),
	}, []matcher.Service{{Name: "s"}})
	is.NoErr(err)
	is.Equal(c.Routes(), 4)
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "a.example/"},
		{"a.example", "/x", "a.example/"},
		{"a.example", "/x/", "a.example/x/"},
		{"A.Example:8080", "/x/z", "a.example/x/"},
		{"a.example", "/x/y/z", "a.example/x/y/"},
		{"a.example", "/x%2Fy/z", "a.example/"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		r := c.Match(tt.host, tt.path)
		if tt.want == "" {
			is.True(r == nil)
			continue
		}
		is.Equal(r.Name, tt.want)
	}
}

func TestWeights(t *testing.T) {
	is := is.New(t)
	c, err := matcher.New(1, matcher.Limits{}, []matcher.Route{
		route("a.example", "/", matcher.Part{Service: "s", Weight: 90}, matcher.Part{Service: "u", Weight: 10}, matcher.Part{Service: "v"}),
	}, []matcher.Service{{Name: "s"}, {Name: "u"}, {Name: "v"}})
	is.NoErr(err)
	r := c.Match("a.example", "/")
	n := map[resolver.ServiceName]int{}
	for i := range 10_000 {
		key := hasher.OfString(fmt.Sprint(i))
		n[r.Service(key)]++
		is.Equal(r.Service(key), r.Service(key))
	}
	is.True(n["s"] > 8800 && n["s"] < 9200)
	is.Equal(n["v"], 0)
}

func TestMostUrgentRank(t *testing.T) {
	is := is.New(t)
	s := matcher.Part{Service: "s", Weight: 1}
	first, second := route("a.example", "/a/", s), route("a.example", "/b/", s)
	first.Rank, second.Rank = 2, 1
	c, err := matcher.New(1, matcher.Limits{}, []matcher.Route{first, second}, []matcher.Service{{Name: "s"}})
	is.NoErr(err)
	is.Equal(c.MostUrgentRank("s"), matcher.Rank(1))
}

func TestNewReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := matcher.New(1, matcher.Limits{}, []matcher.Route{
		route("a.example", "x", matcher.Part{Service: "absent", Weight: -1}),
		route("b.example", "/"),
	}, nil)
	is.True(err != nil)
	for _, part := range []string{"does not begin and end", "unknown service", "weight -1", "no service"} {
		is.True(strings.Contains(err.Error(), part))
	}
}
