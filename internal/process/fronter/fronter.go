package fronter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/gullvale/gullvale/internal/connection/pipeliner"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxHeaderBytes bounds the head of a request whatever the configuration
	// says.
	maxHeaderBytes = 1 << 20

	// checkIdleTimeout is how long connections of look-ups, checks and metrics may be
	// idle: checks come every second, look-ups every few.
	checkIdleTimeout = 30 * time.Second

	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second

	// membersEvery is how old the view of the members may be by which bounds are
	// divided: a heartbeat.
	membersEvery = 500 * time.Millisecond

	// forgetEvery is how often keys are looked through that nobody asks for: it
	// takes 1.8 ms for the most keys that are kept (BenchmarkForget).
	forgetEvery = 15 * time.Second

	// linesPerSecond and linesAtOnce bound the lines about requests: five times
	// what a VM of today handles. At 19 µs each (BenchmarkLine) they take 4 ms
	// of processor a second at most.
	linesPerSecond = 200
	linesAtOnce    = 400

	// keepAliveIdle, keepAliveEvery and keepAliveCount find a connection that
	// went silent for good within about 3 s.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2

	// stopReserve is the part of the time to stop that is left for ending
	// listeners and logs.
	stopReserve = 300 * timekeeper.Millis(1)

	// closingTime is how long before the end the listeners are closed.
	closingTime = 1000 * timekeeper.Millis(1)
)

type (
	// Options say where an entry listens and what its limits are.
	Options struct {
		// Front takes callers, Ready answers checks, Directory look-ups,
		// Metrics serves metrics; an empty address opens no listener.
		Front     string
		Ready     string
		Directory string
		Metrics   string

		Fields    dispatcher.Fields
		ParseLoad func(string) (tracker.Report, bool)
		// LookUp answers look-ups.
		LookUp http.Handler
		// ReadyPath and MetricsPath are the paths of the other two.
		ReadyPath   string
		MetricsPath string

		// StopWithin is the time between the order to stop and the end.
		StopWithin timekeeper.Millis

		// Self is the name of this member, Members returns the living ones.
		Self string
		// Site is where this member is.
		Site    registrar.Site
		Members func() []heartbeater.Member
		// Behind returns for how long a change has been known of, maybe one of the
		// configuration, that has not been read. Nil means never.
		Behind func() timekeeper.Millis
		// Uncertain tells that keys may have been taken away without this member's knowledge
		// for too long. Nil means never.
		Uncertain func() bool
		Bounds    func() Bounds
		// Ended is told of an upstream at whose address another incarnation answers. Nil
		// means nobody wants to know.
		Ended func(cataloger.Incarnation)
		// Homes knows where keys live.
		Homes *assigner.Assigner
		// Quarantine knows requests that crash their upstreams.
		Quarantine *quarantiner.Quarantiner
		// Limits keeps organisations within their limits. Nil means that none is limited.
		Limits *limiter.Limiter
		// Without are the mechanisms that are off.
		Without switcher.Set
		// Changed is told that the entry became ready.
		Changed func()

		Log *logrus.Logger
	}

	// Fronter is one entry. Build it with New.
	Fronter struct {
		Catalog cataloger.Catalog
		Meter   *measurer.Meter

		options    Options
		config     atomic.Pointer[matcher.Config]
		start      start
		leavingAt  atomic.Int64
		clock      timekeeper.Clock
		upstreams  *tracker.Set
		dispatcher *dispatcher.Dispatcher
		// shutdowns stop the listeners without cutting a request.
		shutdowns []func(context.Context) error
		// addresses are where the listeners are, in the order of the options.
		addresses []string
		cancel    context.CancelFunc
		// living is the living members, looked up now and then: it is asked for
		// with every request.
		living atomic.Pointer[[]heartbeater.Member]
		// lines bounds the lines about requests; the others are counted only.
		lines *rate.Limiter
	}
)

// New builds an entry. It opens no listener yet.
func New(o Options) *Fronter {
	f := &Fronter{options: o, Meter: measurer.New(), lines: rate.NewLimiter(linesPerSecond, linesAtOnce)}
	f.start.began, f.start.done = f.clock.Now(), make(chan struct{})
	f.upstreams = &tracker.Set{Dial: dial, Counter: f.counter}
	f.dispatcher = &dispatcher.Dispatcher{
		Config:     f.Config,
		Behind:     o.Behind,
		Uncertain:  o.Uncertain,
		Catalog:    f.Catalog.Current,
		Upstreams:  f.upstreams,
		Fields:     o.Fields,
		ParseLoad:  o.ParseLoad,
		MayWarm:    f.mayWarm,
		Warm:       f.warm,
		Homes:      o.Homes,
		Ended:      o.Ended,
		Quarantine: o.Quarantine,
		Limits:     o.Limits,
		Retries: &dispatcher.Retries{
			Limits: f.retryLimits,
		},
		LeavingAt: f.LeavingAt,
		Start:     f.awaitStart,
		Waited:    pipeliner.Waited,
		Decided:   f.logDecision,
		Lost:      f.logLoss,
		Meter:     f.Meter,
		Without:   o.Without,
	}
	return f
}

// MarkEnded takes another VM's word that an incarnation has ended: it gets no requests.
func (f *Fronter) MarkEnded(i cataloger.Incarnation) {
	if u, known := f.Catalog.Known(i.ID); known && u.Born == i.Born {
		f.upstreams.Of(&u).Misdirected()
	}
}

// Config returns the configuration in force, nil if none is known.
func (f *Fronter) Config() *matcher.Config {
	return f.config.Load()
}

// SetConfig puts a configuration into force unless a later one is.
func (f *Fronter) SetConfig(c *matcher.Config) bool {
	for {
		old := f.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if f.config.CompareAndSwap(old, c) {
			f.Meter.Gauge("config_version", measurer.Labels{}, float64(c.Version))
			f.advance()
			return true
		}
	}
}

// Ready tells whether the entry serves callers.
func (f *Fronter) Ready() bool {
	return f.started() && f.LeavingAt() == 0
}

// LeavingAt returns when the process ends, 0 if it was not asked to.
func (f *Fronter) LeavingAt() timekeeper.Millis {
	return timekeeper.Millis(f.leavingAt.Load())
}

// Start opens the listeners.
func (f *Fronter) Start() error {
	f.tellWithout()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	if err := f.startListeners(); err != nil {
		cancel()
		return err
	}
	go f.loopSweep(ctx)
	go f.loopMembers(ctx)
	go f.loopForget(ctx)
	return nil
}

// tellWithout writes a line and sets a metric for what is off, so that figures of an
// experiment are not taken for those of the whole.
func (f *Fronter) tellWithout() {
	s := f.options.Without
	if s == 0 {
		return
	}
	f.options.Log.WithField("without", s.String()).Warn("mechanisms off")
	for _, m := range s.List() {
		f.Meter.Gauge("mechanism_off", measurer.Labels{Kind: m.String()}, 1)
	}
}

func (f *Fronter) startListeners() error {
	if f.options.Front != "" {
		s := f.callers()
		if err := f.listen(f.options.Front, s.Serve, s.Shutdown); err != nil {
			return err
		}
	}
	others := []struct {
		address string
		handler http.Handler
	}{
		{f.options.Ready, f.readyHandler()},
		{f.options.Directory, f.options.LookUp},
		{f.options.Metrics, f.metricsHandler()},
	}
	for _, o := range others {
		if o.address == "" {
			continue
		}
		s := &http.Server{Handler: o.handler, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: checkIdleTimeout}
		if err := f.listen(o.address, s.Serve, s.Shutdown); err != nil {
			return err
		}
	}
	return nil
}

// Addresses returns where the listeners are that have an address, in the order of the
// options. A port of 0 there is the one that was given here.
func (f *Fronter) Addresses() []string {
	return f.addresses
}

// Leave begins to stop: the entry is not ready any more, and callers that still
// know its address are told to go elsewhere with their answers.
func (f *Fronter) Leave() {
	began := f.clock.Now()
	end := began + f.options.StopWithin - stopReserve
	f.leavingAt.Store(int64(end))
	f.options.Log.WithFields(logrus.Fields{"active": f.dispatcher.Active(), "endsIn": end - began}).Info("leaving")
}

// Stop ends an entry that is leaving so that no request is cut: it answers on
// until shortly before its time is over, and waits for what is under way.
func (f *Fronter) Stop() {
	end := f.LeavingAt()
	time.Sleep(max(end-closingTime-f.clock.Now(), 0).Duration())
	f.closeListeners(end)
	f.cancel()
	f.Meter.Close()
}

// closeListeners stops accepting and waits for the requests under way.
func (f *Fronter) closeListeners(end timekeeper.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), max(end-f.clock.Now(), 0).Duration())
	defer cancel()
	done := make(chan struct{}, len(f.shutdowns))
	for _, s := range f.shutdowns {
		go f.runShutdown(ctx, s, done)
	}
	for range f.shutdowns {
		<-done
	}
}

func (f *Fronter) runShutdown(ctx context.Context, shutdown func(context.Context) error, done chan<- struct{}) {
	if err := shutdown(ctx); err != nil {
		f.options.Log.WithError(err).Warn("listener stopped before all its requests ended")
	}
	done <- struct{}{}
}

// callers is the server of callers' requests.
func (f *Fronter) callers() *pipeliner.Server {
	return &pipeliner.Server{
		Handler:      f.dispatcher,
		MayOverlap:   f.dispatcher.MayOverlap,
		Leaving:      func() bool { return f.LeavingAt() != 0 },
		HeadTimeout:  func() timekeeper.Millis { return f.limits().HeaderTimeout },
		IdleTimeout:  func() timekeeper.Millis { return f.limits().IdleTimeout },
		MaxHeadBytes: maxHeaderBytes,
		Refused: func(k pipeliner.Kind) {
			f.Meter.Count("heads_refused", measurer.Labels{Kind: string(k)})
		},
		Failed: func(reason any) {
			f.options.Log.WithField("reason", reason).Error("request handler panicked")
		},
		Clock: f.clock,
	}
}

// limits are those of the configuration in force, none if none is known.
func (f *Fronter) limits() matcher.Limits {
	if c := f.Config(); c != nil {
		return c.Limits
	}
	return matcher.Limits{}
}

// listen opens a listener that a server serves until it is shut down.
func (f *Fronter) listen(address string, serve func(net.Listener) error, shutdown func(context.Context) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	f.shutdowns = append(f.shutdowns, shutdown)
	f.addresses = append(f.addresses, l.Addr().String())
	go f.runServer(serve, l)
	return nil
}

func (f *Fronter) runServer(serve func(net.Listener) error, l net.Listener) {
	if err := serve(l); err != nil && !eris.Is(err, http.ErrServerClosed) {
		f.options.Log.WithError(err).Error("listener ended")
	}
}

func (f *Fronter) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != f.options.ReadyPath:
			w.WriteHeader(http.StatusNotFound)
		case f.Ready():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (f *Fronter) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(f.options.MetricsPath, f.Meter.Handler())
	if f.options.Quarantine != nil {
		f.options.Quarantine.Handle(m)
	}
	return m
}

func (f *Fronter) loopSweep(ctx context.Context) {
	timekeeper.Every(ctx, sweepEvery, func() {
		f.upstreams.Sweep(func(i cataloger.Incarnation) bool {
			u, ok := f.Catalog.Known(i.ID)
			return ok && u.Born == i.Born
		})
	})
}

func (f *Fronter) loopMembers(ctx context.Context) {
	timekeeper.Every(ctx, membersEvery, f.lookUpMembers)
}

func (f *Fronter) lookUpMembers() {
	if f.options.Members == nil {
		return
	}
	l := f.options.Members()
	f.living.Store(&l)
}

func (f *Fronter) loopForget(ctx context.Context) {
	timekeeper.Every(ctx, forgetEvery, f.forget)
}

// forget drops what is known of keys and organisations that nobody asks for.
func (f *Fronter) forget() {
	if f.options.Homes != nil {
		f.options.Homes.Forget()
	}
	if f.options.Limits != nil {
		f.options.Limits.Forget()
	}
}

// mayLog tells whether one more line about a request may be written now, and counts those
// that may not.
func (f *Fronter) mayLog() bool {
	if f.lines.Allow() {
		return true
	}
	f.Meter.Count("log_lines_dropped", measurer.Labels{})
	return false
}

// logLoss writes one line for a connection that was lost under a request.
func (f *Fronter) logLoss(l *dispatcher.Loss) {
	if !f.mayLog() {
		return
	}
	f.options.Log.WithFields(logrus.Fields{
		"id": l.ID, "fingerprint": l.Suspect.Fingerprint.String(), "crashes": l.Suspect.Crashes,
		"service": l.Service, "upstream": l.Upstream.ID, "site": l.Upstream.Site, "ending": l.Ending,
	}).Info("connection lost")
}

// logDecision writes one line for a request that ended.
func (f *Fronter) logDecision(e *dispatcher.Decision) {
	if !f.mayLog() {
		return
	}
	fields := logrus.Fields{
		"id": e.ID, "route": e.Route, "service": e.Service, "class": e.Class,
		"config": e.Config, "behind": int64(e.Behind), "catalog": e.Catalog, "upstream": e.Upstream, "site": e.Site, "key": e.Key,
		"tries": e.Tries, "outcome": e.Outcome, "reason": e.Reason, "status": e.Status,
		"ms": int64(e.Took), "objective": int64(e.Objective), "waited": int64(e.Waited), "sentAfter": int64(e.SentAfter), "load": e.Load, "own": e.Own,
		"placed": e.Placement.Kind(), "bytes": e.Bytes,
	}
	if e.Organisation != "" {
		fields["organisation"] = e.Organisation
	}
	if e.Site != "" {
		fields["distance"] = f.options.Site.Distance(e.Site)
	}
	if left := e.Placement.Left; left != nil {
		fields["left"], fields["leftSite"] = left.ID, left.Site
	}
	if s := e.Suspect; s.Fingerprint != (quarantiner.Fingerprint{}) {
		fields["fingerprint"], fields["crashes"], fields["seen"] = s.Fingerprint.String(), s.Crashes, int64(s.Age)
	}
	f.options.Log.WithFields(fields).Info("request")
}

// dial opens a connection that finds out by itself when the other end is gone.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive(), Control: userTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// KeepAlive are the probes of idle connections of this process.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount}
}
