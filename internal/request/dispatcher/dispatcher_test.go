package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

var fields = dispatcher.Fields{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Expected: "X-Expected",
	NotRun: "X-Not-Run", Proof: "X-Proof", Load: "X-Load", Leaving: "X-Leaving",
}

// harness is a dispatcher with a server in front of it and scripted upstreams.
type harness struct {
	*dispatcher.Dispatcher
	catalog cataloger.Catalog
	server  *httptest.Server
	burst   float64

	lock sync.Mutex
	runs map[string]int
}

func newHarness(t *testing.T, kind matcher.Kind) *harness {
	s := &harness{runs: map[string]int{}, burst: 100}
	config, err := matcher.New(1, matcher.Limits{BodyBytes: 1 << 20, HeaderBytes: 4096}, []matcher.Route{{
		Name: "r", Host: "h.example", Prefix: "/", Kind: kind, Timeout: 2000, Attempts: 2, Sticky: true,
		Parts: []matcher.Part{{Service: "s", Weight: 1}},
	}}, []matcher.Service{{Name: "s"}})
	if err != nil {
		t.Fatal(err)
	}
	s.Dispatcher = &dispatcher.Dispatcher{
		Config:  func() *matcher.Config { return config },
		Catalog: s.catalog.Current,
		Upstreams: &tracker.Set{Dial: func(ctx context.Context, a string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", a)
		}},
		Fields:      fields,
		MarkLeaving: s.catalog.MarkLeaving,
		// It has run for a window, and grants retries for whole tokens only.
		Retries: &dispatcher.Retries{Since: -10_000, Draw: func() float64 { return 0 }, Limits: func() dispatcher.RetryLimits {
			return dispatcher.RetryLimits{Ratio: 0.2, Burst: s.burst, Window: 10_000}
		}},
		Meter: measurer.New(),
	}
	s.server = httptest.NewServer(s.Dispatcher)
	t.Cleanup(s.server.Close)
	return s
}

// add starts an upstream and adds it to the catalog.
func (s *harness) add(t *testing.T, id string, serve http.HandlerFunc) *httptest.Server {
	l := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(fields.RequestID, r.Header.Get(fields.RequestID))
		s.lock.Lock()
		s.runs[r.Header.Get(fields.RequestID)]++
		s.lock.Unlock()
		serve(w, r)
	}))
	t.Cleanup(l.Close)
	s.catalog.Put(cataloger.Upstream{ID: cataloger.UpstreamID(id), Service: "s", Address: l.Listener.Addr().String(), Site: "east/a", Slots: 4})
	return l
}

func (s *harness) do(method, id string, change func(*http.Request)) (*http.Response, string) {
	q, _ := http.NewRequest(method, s.server.URL+"/x?y=z", strings.NewReader("body"))
	q.Host = "h.example"
	q.Header.Set(fields.RequestID, id)
	q.Header.Set(fields.Key, "k")
	if change != nil {
		change(q)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err.Error()
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return p, "broken"
	}
	return p, string(b)
}

func (s *harness) ran(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.runs[id]
}

func succeeds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(fields.Proof, "p")
	_, _ = io.WriteString(w, "good")
}

func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(fields.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortsConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func fails(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(fields.Proof, "p")
	w.WriteHeader(http.StatusInternalServerError)
}

func truncates(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(fields.Proof, "p")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
}

func omitsProof(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "no proof") }

// firstOf returns a handler that serves the first request with first and all others with
// others.
func firstOf(first, others http.HandlerFunc) http.HandlerFunc {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			first(w, r)
			return
		}
		others(w, r)
	}
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		kind   matcher.Kind
		first  http.HandlerFunc
		status int
		sent   int
	}{
		{"good", matcher.Once, succeeds, 200, 1},
		{"once: refused by the first", matcher.Once, refuses, 200, 2},
		{"once: lost", matcher.Once, abortsConnection, 502, 1},
		{"once: truncated", matcher.Once, truncates, 502, 1},
		{"once: failed", matcher.Once, fails, 500, 1},
		{"once: no proof of origin", matcher.Once, omitsProof, 502, 1},
		{"idempotent: refused by the first", matcher.Idempotent, refuses, 200, 2},
		{"idempotent: lost", matcher.Idempotent, abortsConnection, 200, 2},
		{"idempotent: truncated", matcher.Idempotent, truncates, 200, 2},
		{"idempotent: failed", matcher.Idempotent, fails, 200, 2},
		{"download: no proof of origin", matcher.Download, omitsProof, 200, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, tt.kind)
			// The first attempt is served by tt.first, whichever upstream it reaches.
			serve := firstOf(tt.first, succeeds)
			s.add(t, "u1", serve)
			s.add(t, "u2", serve)
			p, _ := s.do(http.MethodPost, "id", nil)
			is.Equal(p.StatusCode, tt.status)
			is.Equal(s.ran("id"), tt.sent)
		})
	}
}

// A terminated upstream ran nothing: it uses up no attempt, but it does use the retry budget,
// and it is reported once.
func TestTerminatedUpstreamsUseNoAttempt(t *testing.T) {
	misdirects := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for _, kind := range []matcher.Kind{matcher.Once, matcher.Idempotent} {
		is := is.New(t)
		s := newHarness(t, kind)
		var reported []cataloger.Incarnation
		s.OnTerminated = func(i cataloger.Incarnation) { reported = append(reported, i) }
		var n atomic.Int64
		serve := func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) <= 2 {
				misdirects(w, r)
				return
			}
			succeeds(w, r)
		}
		for _, id := range []string{"u1", "u2", "u3"} {
			s.add(t, id, serve)
		}
		p, _ := s.do(http.MethodPost, "id", nil)
		is.Equal(p.StatusCode, http.StatusOK)
		is.Equal(s.ran("id"), 3)
		is.Equal(len(reported), 2)

		s.burst = 0
		n.Store(0)
		s.add(t, "u4", misdirects)
		p, _ = s.do(http.MethodPost, "id2", func(q *http.Request) { q.Header.Set(fields.Key, "other") })
		is.True(p.StatusCode == http.StatusOK || p.StatusCode == http.StatusServiceUnavailable)
		is.True(s.ran("id2") <= 2) // no burst: the ratio of the requests so far allows less than one retry
	}
}

func TestUnavailableIfNoUpstreamTakesRequest(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	p, _ := s.do(http.MethodPost, "none", nil)
	is.Equal(p.StatusCode, http.StatusServiceUnavailable)
	is.True(p.Header.Get("Retry-After") != "")
	s.add(t, "u1", refuses)
	s.add(t, "u2", refuses)
	p, _ = s.do(http.MethodPost, "shed", nil)
	is.Equal(p.StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.ran("shed"), 2) // the attempts of the route
}

// The decision on a refused request names the upstream that would have been chosen.
func TestRefusalNamesTheFirstChoice(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	var decision dispatcher.Decision
	s.OnDecision = func(d *dispatcher.Decision) { decision = *d }
	s.catalog.Put(cataloger.Upstream{ID: "cold", Service: "s", Address: "127.0.0.1:1", Site: "east/a", Slots: 4, ColdUntil: s.Clock.Now() + 60_000})
	p, _ := s.do(http.MethodPost, "id", nil)
	is.Equal(p.StatusCode, http.StatusServiceUnavailable)
	is.Equal(decision.Upstream, cataloger.UpstreamID("cold"))
	is.Equal(string(decision.Site), "east/a")
	is.Equal(decision.Reason, "cold")
	is.Equal(decision.Outcome, "not-run")
}

// TestRefusedRequestStaysAtHome has the key's home refuse a request once. If the home reports
// free slots, the second attempt goes there too; if it reports that it is full, the attempt
// goes elsewhere.
func TestRefusedRequestStaysAtHome(t *testing.T) {
	for load, want := range map[float64]int{0: 2, 20: 1} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, matcher.Once)
			s.Homes = &assigner.Assigner{Region: "east", Regions: []string{"east"}}
			s.ParseLoad = func(string) (tracker.Report, bool) { return tracker.Report{Running: int(load), Slots: 4}, true }
			var first atomic.Pointer[string]
			atFirst := 0
			for _, id := range []string{"u1", "u2", "u3"} {
				s.add(t, id, func(w http.ResponseWriter, r *http.Request) {
					refuse := first.CompareAndSwap(nil, &id)
					if *first.Load() == id {
						atFirst++
					}
					w.Header().Set(fields.Load, "any")
					if refuse {
						refuses(w, r)
						return
					}
					succeeds(w, r)
				})
			}
			p, _ := s.do(http.MethodPost, "id", func(r *http.Request) { r.Header.Set(fields.Key, "keg") })
			is.Equal(p.StatusCode, http.StatusOK)
			is.Equal(atFirst, want)
			is.Equal(s.ran("id"), 2)
		})
	}
}

// TestOnlySentRequestsUseWarmupRoom considers cold upstreams among others. Warm-up room is
// used up only by requests that are sent to a cold upstream, not by those that go elsewhere.
func TestOnlySentRequestsUseWarmupRoom(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	const room = 5
	taken := 0
	s.HasWarmupRoom = func(*cataloger.Upstream, *tracker.Upstream) bool { return taken < room }
	s.AcquireWarmupRoom = func(*cataloger.Upstream, *tracker.Upstream) bool {
		taken++
		return taken <= room
	}
	var cold atomic.Int64
	for _, id := range []string{"u1", "u2", "u3"} {
		s.add(t, id, func(w http.ResponseWriter, r *http.Request) {
			cold.Add(1)
			succeeds(w, r)
		})
		u, _ := s.catalog.Known(cataloger.UpstreamID(id))
		u.ColdUntil = s.Clock.Now() + 60_000
		s.catalog.Put(u)
	}
	s.add(t, "warm", succeeds)
	for i := range 12 {
		_, _ = s.do(http.MethodPost, fmt.Sprint("id", i), nil)
	}
	is.Equal(cold.Load(), int64(room))
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	s.burst = 3
	s.add(t, "u1", refuses)
	s.add(t, "u2", refuses)
	sent := 0
	for i := range 20 {
		id := fmt.Sprint(i)
		s.do(http.MethodGet, id, nil)
		sent += s.ran(id)
	}
	is.True(sent <= 20+3+4) // 20 first attempts, the burst, and a fifth of the requests
}

func TestRequestAsSentToUpstream(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	var got *http.Request
	var body string
	s.add(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, body = r, string(b)
		succeeds(w, r)
	})
	p, text := s.do(http.MethodPost, "id", func(q *http.Request) {
		q.Header.Set(fields.Deadline, "1000")
		q.Header.Set(fields.Expected, "forged")
		q.Header.Set(fields.NotRun, "forged")
		q.Header.Set("Connection", "X-Hop, X-Id")
		q.Header.Set("X-Hop", "hop")
		q.Header.Set("X-Kept", "kept")
	})
	is.Equal(p.StatusCode, http.StatusOK)
	is.Equal(text, "good")
	is.Equal(p.Header.Get(fields.Proof), "p")
	is.Equal(got.RequestURI, "/x?y=z")
	is.Equal(got.Host, "h.example")
	is.Equal(body, "body")
	is.Equal(got.Header.Get(fields.RequestID), "id")
	is.Equal(got.Header.Get(fields.Expected), "u1")
	is.Equal(got.Header.Get(fields.NotRun), "")
	is.Equal(got.Header.Get("X-Hop"), "")
	is.Equal(got.Header.Get("X-Kept"), "kept")
	var left int
	_, err := fmt.Sscan(got.Header.Get(fields.Deadline), &left)
	is.NoErr(err)
	is.True(left > 0 && left <= 1000)
}

func TestBadRequests(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	s.add(t, "u1", succeeds)
	p, _ := s.do(http.MethodPost, "id", func(q *http.Request) { q.Host = "other.example" })
	is.Equal(p.StatusCode, http.StatusNotFound)
	p, _ = s.do(http.MethodPost, "id", func(q *http.Request) { q.Header.Set(fields.Deadline, "soon") })
	is.Equal(p.StatusCode, http.StatusBadRequest)
	p, _ = s.do(http.MethodPost, "id", func(q *http.Request) {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader("")), 2<<20
	})
	is.True(p == nil || p.StatusCode == http.StatusRequestEntityTooLarge)
	p, _ = s.do(http.MethodPost, "id", func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 4096)) })
	is.Equal(p.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(s.ran("id"), 0)
}

// TestDenialIsRetryableWhileConfigIsBehind has an entry know of a change that it has not read.
// A request that its configuration does not allow gets a retryable refusal, since the newer
// configuration may allow it.
func TestDenialIsRetryableWhileConfigIsBehind(t *testing.T) {
	tests := []struct {
		name    string
		current int
		change  func(*http.Request)
	}{
		{"no route", http.StatusNotFound, func(q *http.Request) { q.Host = "other.example" }},
		{"head too large", http.StatusRequestHeaderFieldsTooLarge, func(q *http.Request) {
			q.Header.Set("X-Long", strings.Repeat("x", 4096))
		}},
		{"body too large", http.StatusRequestEntityTooLarge, func(q *http.Request) {
			body := strings.NewReader(strings.Repeat("x", 1<<20+1))
			q.Body, q.ContentLength = io.NopCloser(body), int64(body.Len())
		}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, matcher.Once)
			s.add(t, "u1", succeeds)
			lag := timekeeper.Millis(40)
			s.ConfigLag = func() timekeeper.Millis { return lag }
			var reason string
			s.OnDecision = func(d *dispatcher.Decision) { reason = d.Reason }

			p, _ := s.do(http.MethodPost, "behind", x.change)
			is.Equal(p.StatusCode, http.StatusServiceUnavailable)
			is.True(p.Header.Get("Retry-After") != "")
			is.Equal(reason, x.name+" yet")
			p, _ = s.do(http.MethodPost, "allowed", nil)
			is.Equal(p.StatusCode, http.StatusOK)

			lag = 0
			p, _ = s.do(http.MethodPost, "current", x.change)
			is.Equal(p.StatusCode, x.current)
			is.Equal(s.ran("behind")+s.ran("current"), 0)
		})
	}
}

func TestLongResponseThatBreaksOffIsVisiblyIncomplete(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	s.add(t, "u1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fields.Proof, "p")
		w.Header().Set("Content-Length", fmt.Sprint(1<<20))
		_, _ = w.Write(make([]byte, 1<<19))
	})
	_, text := s.do(http.MethodPost, "id", nil)
	is.Equal(text, "broken")
}

func TestStoppingEntryRefusesRequestsItCannotFinish(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Once)
	s.add(t, "u1", succeeds)
	end := timekeeper.Millis(0)
	s.StopsAt = func() timekeeper.Millis { return end }
	end = s.Clock.Now() + 10_000
	p, _ := s.do(http.MethodPost, "early", nil)
	is.Equal(p.StatusCode, http.StatusOK)
	is.True(p.Close) // the caller is told to reconnect elsewhere
	end = s.Clock.Now() + 1000
	p, _ = s.do(http.MethodPost, "late", nil)
	is.Equal(p.StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.ran("late"), 0)
}
