package dispatcher

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gullvale/gullvale/internal/connection/prober"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/estimator"
	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Fields holds the names of the header fields that callers, entries and upstreams use. An
	// empty name disables the field.
	Fields struct {
		// RequestID identifies one attempt of a caller. Upstreams echo it.
		RequestID string
		// Deadline is how long the caller, or the entry, waits, in milliseconds.
		Deadline string
		// Key names the object that the request concerns.
		Key string
		// Expected names the incarnation that the request is addressed to.
		Expected string
		// NotRun marks an upstream's response as a statement that the request did not run.
		NotRun string
		// Proof is present in every response that the upstream itself gave.
		Proof string
		// Load reports running and waiting requests and slots.
		Load string
		// Leaving marks a response of an upstream that accepts no new requests.
		Leaving string
		// Credential is the API key of an organisation. It is never sent to upstreams.
		Credential string
		// Organisation names the organisation that sent the request. Only the entry sets it.
		Organisation string
	}

	// WarmupFunc reports whether a cold upstream has room for one more request now.
	WarmupFunc func(u *cataloger.Upstream, t *tracker.Upstream) bool

	// Dispatcher handles requests. Config, Catalog, Upstreams and Fields must be set before
	// use.
	Dispatcher struct {
		// Config returns the configuration in force, or nil if none is known.
		Config func() *matcher.Config
		// ConfigLag returns for how long a change, possibly of the configuration, has been known
		// but not read. Nil means that there is never one.
		ConfigLag func() timekeeper.Millis
		// KeysUnconfirmed reports whether API keys may have been revoked without this daemon's
		// knowledge for so long that none of them is accepted. Nil means never.
		KeysUnconfirmed func() bool
		Catalog         func() *cataloger.Snapshot
		Upstreams       *tracker.Set
		// Reach tracks whether this VM reaches upstreams. Nil means that it always does.
		Reach *prober.Prober
		// Relay hands requests over to members that reach upstreams, while this one does not.
		// Nil disables it, also for requests of others.
		Relay *relayer.Relayer
		// RelayFar makes requests to upstreams of other regions go through members there while no
		// connection is open.
		RelayFar bool
		// IsMember reports whether a request from an address was handed over by the living
		// member that it names.
		IsMember func(name, address string) bool
		// Region is the region of this VM, Strength its capacity in requests per second.
		Region   string
		Strength int
		Fields   Fields
		// ParseLoad reads the value of Fields.Load.
		ParseLoad func(string) (tracker.Report, bool)
		// HasWarmupRoom reports whether a cold upstream has room for a request.
		// AcquireWarmupRoom takes that room for a request that is sent, and reports false if
		// none is left. Nil allows no requests to cold upstreams.
		HasWarmupRoom, AcquireWarmupRoom WarmupFunc
		// Homes assigns keys to their homes. Nil means that keys are placed by their hash.
		Homes *assigner.Assigner
		// OnTerminated is called when another incarnation responds at an upstream's address. It
		// may be nil.
		OnTerminated func(cataloger.Incarnation)
		// MarkLeaving records that upstreams announced that they leave, so that the catalog no
		// longer holds them as usable, and returns those of which that was not known. Nil
		// ignores such announcements.
		MarkLeaving func(...cataloger.Departure) []cataloger.Departure
		// Quarantine tracks requests that crash their upstreams and refuses those in
		// quarantine. Nil disables it.
		Quarantine *quarantiner.Quarantiner
		// Limits enforces the organisations' limits. Nil means no limits.
		Limits *limiter.Limiter
		// Retries holds the retry budget.
		Retries *Retries
		// RunTimes holds the run times of requests seen by this daemon.
		RunTimes estimator.Estimator
		// StopsAt returns when this process stops, or 0 if it was not asked to stop.
		StopsAt func() timekeeper.Millis
		// AwaitReady waits, for a bounded time, until the entry has the state that it needs to
		// place requests. Nil means that there is nothing to wait for.
		AwaitReady func(context.Context)
		// PipelineWait returns how long a pipelined request waited for the requests before it
		// on its connection. Nil means that none waits.
		PipelineWait func(http.ResponseWriter) timekeeper.Millis
		// OnDecision is called with the decision on each request. It may be nil.
		OnDecision func(*Decision)
		// OnAnnouncement is called when the response to a request announces that an upstream
		// leaves or wants a pause, unless that is known. It may be nil.
		OnAnnouncement func(*Announcement)
		// OnRelayed is called for each request that another member handed over. It may be nil.
		OnRelayed func(*RelayedRequest)
		// OnLoss is called for each connection that was lost during a request, with the state of
		// its upstream. It may be nil.
		OnLoss func(*Loss)
		Meter  *measurer.Meter
		// Without is the set of mechanisms that are switched off.
		Without switcher.Set
		Clock   timekeeper.Clock

		active        atomic.Int64
		relayed       atomic.Int64
		pending       pendingAttempts
		organisations organisationLabels
	}

	// Decision records how one request ended and why.
	Decision struct {
		ID      string
		Route   string
		Service string
		Class   string
		// Organisation is the organisation that sent the request, or "" if there is none.
		Organisation authenticator.Name
		Config       matcher.Version
		// ConfigLag is for how long a change, possibly of the configuration, had been known but
		// not read.
		ConfigLag timekeeper.Millis
		Catalog   uint64
		// Upstream is the last upstream chosen, or the first choice if none took the request.
		// Site is its site.
		Upstream cataloger.UpstreamID
		Site     registrar.Site
		// Placement is why Upstream was chosen for the last attempt. It is the zero value if
		// no upstream took the request after that.
		Placement assigner.Placement
		Key       string
		Attempts  int
		// ChargedRetries is how many attempts were taken from the retry budget.
		ChargedRetries int
		Outcome        string
		Reason         string
		// Cause is what ended the last response that broke off, "" if none did.
		Cause   string
		Status  int
		Elapsed timekeeper.Millis
		// Objective is the time within which a response is worth its full price.
		Objective timekeeper.Millis
		// PipelineWait is the part of Elapsed that the request spent waiting for the requests
		// before it on its connection. SentAfter is the time from its arrival to the first
		// attempt, or -1 if there was none.
		PipelineWait timekeeper.Millis
		SentAfter    timekeeper.Millis
		// Bytes counts what was sent to and received from upstreams in all attempts that got a
		// response.
		Bytes int64
		// Load and Own are the load of Upstream that was known when it was chosen.
		Load float64
		Own  int
		// Pace is how much longer than usual work took on Upstream's host, 0 if it does not
		// report that. Expected is the time until the response that was then expected.
		Pace     float64
		Expected timekeeper.Millis
		// Helper is the member to which the last attempt was handed over, "" if it was sent
		// directly.
		Helper string
		// Suspect is what was known of the request as one that crashes its upstreams. Its
		// fingerprint is the zero value if it was not looked up.
		Suspect quarantiner.Suspect
	}
)

// Active returns the number of requests in flight.
func (d *Dispatcher) Active() int64 {
	return d.active.Load()
}

// ServeHTTP handles one request of a caller.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	x := &exchange{d: d, w: w, r: r, arrivedAt: d.Clock.Now(), sentAfter: -1}
	if d.PipelineWait != nil {
		x.pipelineWait = d.PipelineWait(w)
		x.arrivedAt -= x.pipelineWait
	}
	defer x.reportDecision()
	if d.AwaitReady != nil {
		d.AwaitReady(r.Context())
	}
	x.serve()
}

// MayOverlap reports whether a request may be handled concurrently with others of its
// connection. Only retryable requests may: if a response breaks off, the caller sends the
// unanswered requests behind it again. A request without a route is handled after the requests
// before it.
func (d *Dispatcher) MayOverlap(r *http.Request) bool {
	c := d.Config()
	if c == nil || d.Without.Has(switcher.PipelinedRequests) {
		return false
	}
	route := c.Match(r.Host, pathOf(r))
	return route != nil && route.Kind.Retryable()
}

func (d *Dispatcher) configLag() timekeeper.Millis {
	if d.ConfigLag == nil {
		return 0
	}
	return d.ConfigLag()
}

func (d *Dispatcher) stopsAt() timekeeper.Millis {
	if d.StopsAt == nil {
		return 0
	}
	return d.StopsAt()
}
