package dispatcher

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Fields are the names of the header fields that callers, entries and
	// upstreams use. An empty name is a field that is not used.
	Fields struct {
		// RequestID names one try of a caller. Upstreams echo it.
		RequestID string
		// Deadline is how many milliseconds the caller, or the entry, waits.
		Deadline string
		// Key names the object that a request is about.
		Key string
		// Expected names the incarnation that a request is meant for.
		Expected string
		// NotRun marks an upstream's answer as a statement that the request
		// did not run.
		NotRun string
		// Proof is on every answer that an upstream itself gave.
		Proof string
		// Load states running and waiting requests and slots.
		Load string
		// Credential is the API key of an organisation, which no upstream gets.
		Credential string
		// Organisation names whose request it is. Only the entry sets it.
		Organisation string
	}

	// Warmth is asked about one more request to a cold upstream now.
	Warmth func(u *cataloger.Upstream, t *tracker.Upstream) bool

	// Dispatcher handles requests. Config, Catalog, Upstreams and Fields must
	// be set before use.
	Dispatcher struct {
		// Config returns the configuration in force, nil if none is known.
		Config func() *matcher.Config
		// Behind returns for how long a change has been known of, maybe one of the
		// configuration, that has not been read. Nil means never.
		Behind func() timekeeper.Millis
		// Uncertain tells that keys may have been taken away without this daemon's knowledge
		// for too long, so that none of them counts. Nil means never.
		Uncertain func() bool
		Catalog   func() *cataloger.Snapshot
		Upstreams *tracker.Set
		Fields    Fields
		// ParseLoad reads the value of Fields.Load.
		ParseLoad func(string) (tracker.Report, bool)
		// MayWarm tells whether a cold upstream has room for a request, and Warm
		// takes the room for one that goes there; it reports false if there is
		// none any more. Nil allows none.
		MayWarm, Warm Warmth
		// Homes knows where keys live. Nil means that they go by their hash.
		Homes *assigner.Assigner
		// Ended is told of an upstream at whose address another incarnation answers. Nil
		// means nobody wants to know.
		Ended func(cataloger.Incarnation)
		// Quarantine knows requests that crash their upstreams. Nil means that none is kept
		// from them.
		Quarantine *quarantiner.Quarantiner
		// Limits keeps organisations within their limits. Nil means that none is limited.
		Limits *limiter.Limiter
		// Retries holds the budget of repeated sendings.
		Retries *Retries
		// LeavingAt returns when this process ends, 0 if it was not asked to.
		LeavingAt func() timekeeper.Millis
		// Start waits, for a bounded time, until the entry knows what it needs to place
		// requests. Nil means that it does.
		Start func(context.Context)
		// Waited returns how long a request waited for others of its connection before
		// it came here. Nil means not at all.
		Waited func(http.ResponseWriter) timekeeper.Millis
		// Decided is told how each request ended. Nil means nobody wants to
		// know.
		Decided func(*Decision)
		// Lost is told of each connection that was lost under a request, and whether its
		// upstream had ended. Nil means nobody wants to know.
		Lost  func(*Loss)
		Meter *measurer.Meter
		// Without are the mechanisms that are off.
		Without switcher.Set
		Clock   timekeeper.Clock

		active        atomic.Int64
		organisations organisationLabels
	}

	// Decision is how one request ended and what decided it.
	Decision struct {
		ID      string
		Route   string
		Service string
		Class   string
		// Organisation is whose request it was, "" if nobody's.
		Organisation authenticator.Name
		Config       matcher.Version
		// Behind is for how long a change had been known of, maybe one of the
		// configuration, that had not been read.
		Behind  timekeeper.Millis
		Catalog uint64
		// Upstream is the one that was chosen last, or the first choice if none
		// took the request, and Site is where it is.
		Upstream cataloger.UpstreamID
		Site     registrar.Site
		// Placement is why Upstream was the choice of the last sending, the zero value if
		// none took the request after that.
		Placement assigner.Placement
		Key       string
		Tries     int
		Outcome   string
		Reason    string
		Status    int
		Took      timekeeper.Millis
		// Objective is within which time the answer is worth its full price.
		Objective timekeeper.Millis
		// Waited is the part of Took that the request waited for others of its
		// connection, and SentAfter how long after its arrival it was first sent, -1 if
		// it was not.
		Waited    timekeeper.Millis
		SentAfter timekeeper.Millis
		// Bytes are what was sent to upstreams and received from them in all sendings
		// that an answer came to.
		Bytes int64
		// Load and Own are what was known of Upstream.
		Load float64
		Own  int
		// Suspect is what was known of the request as one that crashes its upstreams. Its
		// fingerprint is the zero value if nobody looked.
		Suspect quarantiner.Suspect
	}
)

// Active returns how many requests are under way.
func (d *Dispatcher) Active() int64 {
	return d.active.Load()
}

// ServeHTTP handles one request of a caller.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	x := &exchange{d: d, w: w, r: r, began: d.Clock.Now(), sentAfter: -1}
	if d.Waited != nil {
		x.waited = d.Waited(w)
		x.began -= x.waited
	}
	defer x.record()
	if d.Start != nil {
		d.Start(r.Context())
	}
	x.serve()
}

// MayOverlap tells whether a request may be handled beside others of its connection: one
// that may be repeated, since a caller repeats what it finds unanswered behind a broken
// answer. A request without a route waits.
func (d *Dispatcher) MayOverlap(r *http.Request) bool {
	c := d.Config()
	if c == nil || d.Without.Has(switcher.RequestsAhead) {
		return false
	}
	route := c.Match(r.Host, pathOf(r))
	return route != nil && route.Kind.Repeatable()
}

// placer judges upstreams with the mechanisms that are on.
func (d *Dispatcher) placer() placer.Placer {
	return placer.Placer{Without: d.Without}
}

func (d *Dispatcher) behind() timekeeper.Millis {
	if d.Behind == nil {
		return 0
	}
	return d.Behind()
}

func (d *Dispatcher) leavingAt() timekeeper.Millis {
	if d.LeavingAt == nil {
		return 0
	}
	return d.LeavingAt()
}
