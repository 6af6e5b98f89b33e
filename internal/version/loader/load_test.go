package loader_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/loader"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const table = `Version = 3
Evacuated = ["erie-b"]
[Limits]
HeaderBytes = 8192
BodyBytes = 1048576
HeaderTimeoutMillis = 2000
IdleTimeoutMillis = 60000
[Service.ledger]
HealthPath = "/health"
MaxConnections = 40
WarmupMillis = 3000
WarmupPerSecond = 2.5
[Service.next]
MaxConnections = 10
[Route.returns]
Host = "Kegs.example"
Prefix = "/returns/"
Kind = "once"
Rank = 1
ObjectiveMillis = 400
TimeoutMillis = 1500
Attempts = 2
Sticky = true
Regions = ["erie"]
Weights = { ledger = 3, next = 1 }
[Route.rest]
Host = "kegs.example"
Kind = "idempotent"
Weights.ledger = 1
[Upstream.u1]
Service = "ledger"
Address = "10.0.0.1:80"
Site = "erie/erie-a"
Slots = 6
Release = "v1"
[Upstream.u2]
Service = "ledger"
Address = "10.0.0.2:80"
Site = "erie/erie-b"
Slots = 6
ColdMillis = 500
`

func TestRead(t *testing.T) {
	is := is.New(t)
	x, problems := loader.Read("t.toml", []byte(table))
	is.NoErr(problems.OrNil())
	is.Equal(x.Config.Version, matcher.Version(3))
	is.Equal(x.Config.Limits, matcher.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTimeout: 2000, IdleTimeout: 60000})
	is.Equal(x.Config.Services["ledger"], matcher.Service{
		Name: "ledger", HealthPath: "/health", MaxConnections: 40, Warmup: 3000, WarmupPerSecond: 2.5,
	})
	r := x.Config.Match("kegs.example:80", "/returns/7")
	is.Equal(r.Name, "returns")
	is.Equal(r.Kind, matcher.Once)
	is.Equal(r.Rank, matcher.Rank(1))
	is.Equal(r.Objective, timekeeper.Millis(400))
	is.Equal(r.Timeout, timekeeper.Millis(1500))
	is.Equal(r.Attempts, 2)
	is.True(r.Sticky)
	is.True(r.Allows("erie") && !r.Allows("michigan"))
	const keys = 4000
	parts := map[resolver.ServiceName]int{}
	for i := range keys {
		parts[r.Service(hasher.Mix(hasher.Hash(i), 1))]++
	}
	is.True(parts["ledger"] > keys*70/100 && parts["ledger"] < keys*80/100)
	is.Equal(x.Config.Match("kegs.example", "/other").Name, "rest")
	is.Equal(x.Config.Match("other.example", "/"), nil)
	is.Equal(x.Evacuated, []string{"erie-b"})
	is.Equal(len(x.Upstreams), 2)
	is.Equal(x.Upstreams[0].Site, registrar.Site("erie/erie-a"))
	is.Equal(x.Upstreams[0].Release, "v1")
}

// TestReadReportsAllProblems puts two errors into a file: one of each kind in turn, and
// an upstream whose service has no route. Both must be reported.
func TestReadReportsAllProblems(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"Version = 3", "Version = -3", "t.toml:1: Version: is not a whole number"},
		{"Version = 3", "", "Version: missing"},
		{`Kind = "once"`, `Kind = "twice"`, "t.toml:18: Route.returns.Kind: is not one of once"},
		{"TimeoutMillis = 1500", "TimeoutMillis = 9000000", "Route.returns.TimeoutMillis: is longer than an hour"},
		{"WarmupPerSecond = 2.5", "WarmupPerSecond = inf", "Service.ledger.WarmupPerSecond: is not a number"},
		{`Prefix = "/returns/"`, `Prefix = "returns"`, "route returns: prefix"},
		{"next = 1", "other = 1", `route returns: unknown service "other"`},
		{`Address = "10.0.0.1:80"`, `Address = "u1.example"`, "Upstream.u1.Address: is not an IP number with a port"},
		{`Site = "erie/erie-a"`, `Site = "erie"`, "Upstream.u1.Site: is not of the form region/domain"},
		{"Slots = 6\nColdMillis", "Sluts = 6\nColdMillis", "Upstream.u2.Sluts: unknown setting"},
		{"Slots = 6\nColdMillis", "ColdMillis", "Upstream.u2: needs Address, Site and Slots"},
		{"Sticky = true", "Sticky = 1", "Route.returns.Sticky: is neither true nor false"},
		{`Regions = ["erie"]`, `Regions = "erie"`, "Route.returns.Regions: is not a list of strings"},
		{"[Limits]", "[Bounds]", "Bounds.HeaderBytes: unknown setting"},
	} {
		t.Run(c.to, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(table, c.from))
			text := strings.Replace(table, c.from, c.to, 1) + "\n[Upstream.u3]\nService = \"nobody\"\n"
			x, problems := loader.Read("t.toml", []byte(text))
			is.Equal(x, nil)
			is.True(strings.Contains(problems.Error(), c.want))
			is.True(strings.Contains(problems.Error(), "Upstream.u3: no route refers to its service nobody"))
		})
	}
}

// TestFill loads several tables into one catalog. Evacuated upstreams receive no
// requests, and readmitted ones are cold for the warm-up time of their service.
func TestFill(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	first, _ := loader.Read("t.toml", []byte(table))
	first.Fill(&c, 1000)
	is.Equal(c.Current().ByService("ledger").Len(), 1)
	is.True(c.Current().Usable(cataloger.Incarnation{ID: "u1"}) != nil)
	is.Equal(c.Current().Usable(cataloger.Incarnation{ID: "u2"}), nil)
	u, _ := c.Known("u2")
	is.Equal(u.ColdUntil, timekeeper.Millis(1500))

	second, _ := loader.Read("t.toml", []byte(strings.Replace(table, `["erie-b"]`, `["erie-a"]`, 1)))
	second.Fill(&c, 5000)
	is.Equal(c.Current().Usable(cataloger.Incarnation{ID: "u1"}), nil)
	is.Equal(c.Current().Usable(cataloger.Incarnation{ID: "u2"}).ColdUntil, timekeeper.Millis(8000))

	second.Fill(&c, 6000)
	is.Equal(c.Current().Usable(cataloger.Incarnation{ID: "u2"}).ColdUntil, timekeeper.Millis(8000))
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(table))
	f.Fuzz(func(t *testing.T, data []byte) {
		x, problems := loader.Read("t.toml", data)
		if (x == nil) != (len(problems) > 0) {
			t.Fatal("want either a table or problems")
		}
	})
}
