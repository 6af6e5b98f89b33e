package dispatcher_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
)

// TestPlacement checks the placement reason that is recorded for each request.
func TestPlacement(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	s.Homes = &assigner.Assigner{Region: "east", Regions: []string{"east"}}
	var decision dispatcher.Decision
	s.OnDecision = func(d *dispatcher.Decision) { decision = *d }
	placed := func(key string) string {
		_, _ = s.do(http.MethodGet, "id", func(r *http.Request) { r.Header.Set(fields.Key, key) })
		return decision.Placement.Kind()
	}
	for _, id := range []string{"u1", "u2", "u3"} {
		s.add(t, id, succeeds)
	}
	is.Equal(placed(""), "no key")
	is.Equal(placed("keg"), "new key")
	first := decision.Upstream
	is.Equal(placed("keg"), "home")
	is.Equal(decision.Upstream, first)
	is.True(decision.Bytes > int64(len("body")+len("good"))) // plus two heads

	s.catalog.Remove(first)
	is.Equal(placed("keg"), "home gone")
	is.Equal(decision.Placement.Left.ID, first)
	second := decision.Upstream
	is.Equal(placed("keg"), "home")
	is.Equal(decision.Placement.Left, nil)

	s.add(t, string(first), succeeds)
	s.catalog.Remove(second)
	is.Equal(placed("keg"), "home gone, former home")
	is.Equal(decision.Upstream, first)
	is.Equal(decision.Placement.Left.ID, second)

	text := s.metrics()
	is.True(strings.Contains(text, `gullvale_placements{class="idempotent",kind="home",service="s"} 2`))
	is.True(strings.Contains(text, `gullvale_placements{class="idempotent",kind="home gone, former home",service="s"} 1`))
}

// TestPlacementOfRetryElsewhere has the key's home break off every request. Without another
// upstream there is no placement; with one, the retry runs there.
func TestPlacementOfRetryElsewhere(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	s.Homes = &assigner.Assigner{Region: "east", Regions: []string{"east"}}
	var decision dispatcher.Decision
	s.OnDecision = func(d *dispatcher.Decision) { decision = *d }
	s.add(t, "u1", abortsConnection)
	_, _ = s.do(http.MethodGet, "first", nil)
	is.Equal(decision.Placement.Reason, assigner.NotPlaced) // broken off, and no other upstream
	s.add(t, "u2", succeeds)
	_, _ = s.do(http.MethodGet, "second", nil)
	is.Equal(decision.Outcome, "answered")
	is.Equal(decision.Upstream, cataloger.UpstreamID("u2"))
	is.Equal(decision.Attempts, 2)
	is.Equal(decision.Placement.Reason, assigner.RetriedElsewhere)
}

// TestPlacementWhileHomeIsCold has the key's home turn cold. Its requests run elsewhere, the
// second one where the first ran.
func TestPlacementWhileHomeIsCold(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	s.Homes = &assigner.Assigner{Region: "east", Regions: []string{"east"}}
	var decision dispatcher.Decision
	s.OnDecision = func(d *dispatcher.Decision) { decision = *d }
	s.add(t, "u1", succeeds)
	_, _ = s.do(http.MethodGet, "id", nil)
	is.Equal(decision.Placement.Kind(), "new key")
	home, _ := s.catalog.Known("u1")
	home.ColdUntil = s.Clock.Now() + 60_000
	s.catalog.Put(home)
	s.add(t, "u2", succeeds)
	for _, want := range []string{"home passed over", "home passed over, former home"} {
		_, _ = s.do(http.MethodGet, "id", nil)
		is.Equal(decision.Placement.Kind(), want)
		is.Equal(decision.Upstream, cataloger.UpstreamID("u2"))
		is.Equal(decision.Placement.Left, nil)
	}
}

// TestPlacementOfRetryAtHome has the key's home refuse a request once although it has room.
func TestPlacementOfRetryAtHome(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	s.Homes = &assigner.Assigner{Region: "east", Regions: []string{"east"}}
	var decision dispatcher.Decision
	s.OnDecision = func(d *dispatcher.Decision) { decision = *d }
	s.add(t, "u1", firstOf(refuses, succeeds))
	_, _ = s.do(http.MethodPost, "id", nil)
	is.Equal(decision.Attempts, 2)
	is.Equal(decision.Placement.Kind(), "repeat there")
}
