package fronter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/gullvale/gullvale/internal/connection/pipeliner"
	"github.com/gullvale/gullvale/internal/connection/prober"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxHeaderBytes bounds the head of a request independently of the
	// configuration.
	maxHeaderBytes = 1 << 20

	// checkIdleTimeout closes idle connections of lookups, readiness checks and
	// metrics. Checks arrive every second, lookups every few seconds.
	checkIdleTimeout = 30 * time.Second

	// sweepInterval is how often idle upstream connections are swept.
	sweepInterval = time.Second

	// membersInterval is how often the list of live members, among which shared
	// bounds are divided, is refreshed: once per heartbeat.
	membersInterval = 500 * time.Millisecond

	// forgetInterval is how often unused keys are evicted. Each eviction visits all keys,
	// which BenchmarkForget measures.
	forgetInterval = 15 * time.Second

	// requestLogRate, in lines per second, and requestLogBurst limit the log lines
	// about requests. They allow five times the request rate of a VM, and keep the CPU
	// time of logging small (BenchmarkLine).
	requestLogRate  = 200
	requestLogBurst = 400

	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead peer within
	// about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// stopReserve is the part of the stop timeout that is reserved for closing listeners
	// and flushing logs.
	stopReserve = 300 * timekeeper.Millis(1)

	// listenerCloseTimeout is how long before the stop deadline the listeners are
	// closed, and so how long requests in flight then have to finish.
	listenerCloseTimeout = 1000 * timekeeper.Millis(1)
)

type (
	// Options configures an entry: its listeners, limits and dependencies.
	Options struct {
		// Front, Ready, Directory and Metrics are the listen addresses for callers,
		// readiness checks, lookups and metrics. An empty address opens no listener.
		Front     string
		Ready     string
		Directory string
		Metrics   string

		Fields    dispatcher.Fields
		ParseLoad func(string) (tracker.Report, bool)
		// Lookup serves lookups on the Directory listener.
		Lookup http.Handler
		// ReadyPath and MetricsPath are the paths served on the Ready and Metrics
		// listeners.
		ReadyPath   string
		MetricsPath string

		// StopTimeout returns the time that the process has to exit once Leave is called.
		StopTimeout func() timekeeper.Millis

		// Self is the name of this member.
		Self string
		// Site is the location of this member.
		Site registrar.Site
		// Members returns the live members.
		Members func() []heartbeater.Member
		// ConfigLag returns for how long a change that may concern the configuration has
		// been announced but not read. Nil means that no such change is ever pending.
		ConfigLag func() timekeeper.Millis
		// KeysUnconfirmed reports whether revocations of API keys have gone unconfirmed for
		// too long. Nil means never.
		KeysUnconfirmed func() bool
		// Bounds returns the limits that all members share.
		Bounds func() Bounds
		// OnTerminated is called with an incarnation of an upstream when another one
		// responds at its address. It may be nil.
		OnTerminated func(cataloger.Incarnation)
		// OnLeaving is called with upstreams whose responses announce that they leave, once
		// for each. It may be nil.
		OnLeaving func([]cataloger.Departure)
		// Homes maps keys to their home upstreams.
		Homes *assigner.Assigner
		// Quarantine tracks requests that crash their upstreams.
		Quarantine *quarantiner.Quarantiner
		// Relay hands requests over to other members while this one reaches no upstream. Nil
		// disables that.
		Relay *relayer.Relayer
		// RelayFar makes requests to upstreams of other regions go through members there while no
		// connection is open.
		RelayFar bool
		// IsMember reports whether a request from an address was handed over by the living
		// member that it names.
		IsMember func(name, address string) bool
		// OnReach is called when this VM reaches no upstream, and when it does again. It may be
		// nil.
		OnReach func()
		// Strength is the capacity of the VM in requests per second.
		Strength int
		// Limits enforces the rate limits of organisations. Nil means no limits.
		Limits *limiter.Limiter
		// Without lists the disabled mechanisms.
		Without switcher.Set
		// OnReady is called when the entry becomes ready. It may be nil.
		OnReady func()

		Log *logrus.Logger
	}

	// Fronter is an entry. Create it with New.
	Fronter struct {
		Catalog cataloger.Catalog
		Meter   *measurer.Meter
		// Dial opens a connection to an upstream. New sets it to a TCP dial; it may be
		// replaced before Start.
		Dial func(ctx context.Context, address string) (net.Conn, error)

		options    Options
		config     atomic.Pointer[matcher.Config]
		startup    startup
		stopsAt    atomic.Int64
		clock      timekeeper.Clock
		upstreams  *tracker.Set
		prober     *prober.Prober
		dispatcher *dispatcher.Dispatcher
		// shutdowns close the listeners gracefully.
		shutdowns []func(context.Context) error
		// addresses are the listen addresses, in the order of the options.
		addresses []string
		cancel    context.CancelFunc
		// liveMembers caches the live members, since every request reads them. It is
		// refreshed every membersInterval.
		liveMembers atomic.Pointer[[]heartbeater.Member]
		// memberHistory holds the members that may be alive. It is refreshed with liveMembers.
		memberHistory memberHistory
		// requestLog limits the log lines about requests. Dropped lines are counted.
		requestLog *rate.Limiter
	}
)

// New returns an entry. Start opens its listeners.
func New(o Options) *Fronter {
	f := &Fronter{options: o, Meter: measurer.New(), Dial: dial, requestLog: rate.NewLimiter(requestLogRate, requestLogBurst)}
	f.startup.startedAt, f.startup.done = f.clock.Now(), make(chan struct{})
	f.upstreams = &tracker.Set{Dial: f.dialUpstream, Counter: f.byteCounter}
	f.prober = f.newProber()
	f.dispatcher = &dispatcher.Dispatcher{
		Config:            f.Config,
		ConfigLag:         o.ConfigLag,
		KeysUnconfirmed:   o.KeysUnconfirmed,
		Catalog:           f.Catalog.Current,
		Upstreams:         f.upstreams,
		Reach:             f.prober,
		Relay:             o.Relay,
		RelayFar:          o.RelayFar,
		IsMember:          o.IsMember,
		Region:            o.Site.Region(),
		Strength:          o.Strength,
		OnRelayed:         f.logRelayed,
		Fields:            o.Fields,
		ParseLoad:         o.ParseLoad,
		HasWarmupRoom:     f.hasWarmupRoom,
		AcquireWarmupRoom: f.acquireWarmupRoom,
		Homes:             o.Homes,
		OnTerminated:      o.OnTerminated,
		OnAnnouncement:    f.logAnnouncement,
		MarkLeaving:       f.markLeaving,
		Quarantine:        o.Quarantine,
		Limits:            o.Limits,
		Retries: &dispatcher.Retries{
			Limits: f.retryLimits,
			Since:  f.startup.startedAt,
		},
		StopsAt:      f.StopsAt,
		AwaitReady:   f.awaitStartup,
		PipelineWait: pipeliner.Waited,
		OnDecision:   f.logDecision,
		OnLoss:       f.logLoss,
		Meter:        f.Meter,
		Without:      o.Without,
	}
	return f
}

// MarkTerminated records another VM's report that an incarnation has terminated, so that it gets
// no more requests.
func (f *Fronter) MarkTerminated(i cataloger.Incarnation) {
	if u, known := f.Catalog.Known(i.ID); known && u.Born == i.Born {
		f.upstreams.StateOf(&u).MarkReplaced()
	}
}

// MarkLeaving records another VM's report of upstreams that leave, so that they get no more
// requests.
func (f *Fronter) MarkLeaving(list []cataloger.Departure) {
	for _, d := range f.Catalog.MarkLeaving(list...) {
		f.options.Log.WithFields(logrus.Fields{"upstream": d.ID, "address": d.Address}).Info("upstream reported as leaving")
	}
}

// markLeaving records upstreams whose responses announce that they leave.
func (f *Fronter) markLeaving(list ...cataloger.Departure) []cataloger.Departure {
	added := f.Catalog.MarkLeaving(list...)
	if len(added) > 0 && f.options.OnLeaving != nil {
		f.options.OnLeaving(added)
	}
	return added
}

// Config returns the configuration in force, or nil if none is known.
func (f *Fronter) Config() *matcher.Config {
	return f.config.Load()
}

// SetConfig puts a configuration into force and reports whether it did. It ignores a
// configuration that is not newer than the one in force.
func (f *Fronter) SetConfig(c *matcher.Config) bool {
	for {
		old := f.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if f.config.CompareAndSwap(old, c) {
			f.Meter.Gauge("config_version", measurer.Labels{}, float64(c.Version))
			f.completeStartup()
			return true
		}
	}
}

// Ready reports whether the entry serves callers: it has started and is not leaving.
func (f *Fronter) Ready() bool {
	return f.started() && f.StopsAt() == 0
}

// StopsAt returns the stop deadline, or 0 if the entry is not leaving.
func (f *Fronter) StopsAt() timekeeper.Millis {
	return timekeeper.Millis(f.stopsAt.Load())
}

// Start opens the listeners and starts the background loops.
func (f *Fronter) Start() error {
	f.reportDisabled()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	if err := f.startListeners(); err != nil {
		cancel()
		return err
	}
	go f.prober.Run(ctx)
	go f.loopSweep(ctx)
	go f.loopMembers(ctx)
	go f.loopForget(ctx)
	go f.loopRetries(ctx)
	return nil
}

// reportDisabled logs the disabled mechanisms and sets a gauge for each, so that results of
// an experiment are not mistaken for those of the complete system.
func (f *Fronter) reportDisabled() {
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
		s := f.callerServer()
		if err := f.listen(f.options.Front, s.Serve, s.Shutdown); err != nil {
			return err
		}
	}
	others := []struct {
		address string
		handler http.Handler
	}{
		{f.options.Ready, f.readyHandler()},
		{f.options.Directory, f.options.Lookup},
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

// Addresses returns the addresses of the open listeners, in the order of the options. A
// port of 0 in the options is replaced by the assigned port.
func (f *Fronter) Addresses() []string {
	return f.addresses
}

// Leave begins the shutdown: the entry is no longer ready, and its responses ask callers that
// still use its address to use another entry.
func (f *Fronter) Leave() {
	began := f.clock.Now()
	end := began + f.options.StopTimeout() - stopReserve
	f.stopsAt.Store(int64(end))
	f.options.Log.WithFields(logrus.Fields{"active": f.dispatcher.Active(), "endsIn": end - began}).Info("leaving")
}

// Stop shuts down an entry after Leave. It serves requests until shortly before the stop
// deadline, then closes the listeners and waits for the requests in flight.
func (f *Fronter) Stop() {
	end := f.StopsAt()
	time.Sleep(max(end-listenerCloseTimeout-f.clock.Now(), 0).Duration())
	f.closeListeners(end)
	f.cancel()
	f.Meter.Close()
}

// closeListeners stops accepting and waits for the requests in flight, until end at most.
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
		f.options.Log.WithError(err).Warn("listener closed with requests in flight")
	}
	done <- struct{}{}
}

// callerServer returns the server for callers' requests.
func (f *Fronter) callerServer() *pipeliner.Server {
	return &pipeliner.Server{
		Handler:      f.dispatcher,
		MayOverlap:   f.dispatcher.MayOverlap,
		Draining:     func() bool { return f.StopsAt() != 0 },
		HeadTimeout:  func() timekeeper.Millis { return f.limits().HeaderTimeout },
		IdleTimeout:  func() timekeeper.Millis { return f.limits().IdleTimeout },
		MaxHeadBytes: maxHeaderBytes,
		Refused: func(k pipeliner.Kind) {
			f.Meter.Count("heads_refused", measurer.Labels{Kind: string(k)})
		},
		Panicked: func(reason any) {
			f.options.Log.WithField("reason", reason).Error("request handler panicked")
		},
		Clock: f.clock,
	}
}

// limits returns the limits of the configuration in force, or zero limits if none is known.
func (f *Fronter) limits() matcher.Limits {
	if c := f.Config(); c != nil {
		return c.Limits
	}
	return matcher.Limits{}
}

// listen opens a listener, serves it in a goroutine and registers its shutdown.
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
		f.options.Log.WithError(err).Error("listener failed")
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
	timekeeper.Every(ctx, sweepInterval, func() {
		f.upstreams.Sweep(func(i cataloger.Incarnation) bool {
			u, ok := f.Catalog.Known(i.ID)
			return ok && u.Born == i.Born
		})
		if f.options.Relay != nil {
			f.options.Relay.Sweep()
		}
	})
}

func (f *Fronter) loopMembers(ctx context.Context) {
	timekeeper.Every(ctx, membersInterval, f.refreshMembers)
}

func (f *Fronter) refreshMembers() {
	if f.options.Members == nil {
		return
	}
	l := f.options.Members()
	f.memberHistory.observe(f.clock.Now(), l)
	f.liveMembers.Store(&l)
}

func (f *Fronter) loopForget(ctx context.Context) {
	timekeeper.Every(ctx, forgetInterval, f.forget)
}

// forget evicts the state of unused keys and organisations.
func (f *Fronter) forget() {
	if f.options.Homes != nil {
		f.options.Homes.Forget()
	}
	if f.options.Limits != nil {
		f.options.Limits.Forget()
	}
}

// mayLog reports whether the rate limit allows another log line about a request, and counts
// the lines that it drops.
func (f *Fronter) mayLog() bool {
	if f.requestLog.Allow() {
		return true
	}
	f.Meter.Count("log_lines_dropped", measurer.Labels{})
	return false
}

// logLoss logs an upstream connection that was lost during a request.
func (f *Fronter) logLoss(l *dispatcher.Loss) {
	if !f.mayLog() {
		return
	}
	f.options.Log.WithFields(logrus.Fields{
		"id": l.ID, "fingerprint": l.Suspect.Fingerprint.String(), "crashes": l.Suspect.Crashes,
		"service": l.Service, "upstream": l.Upstream.ID, "site": l.Upstream.Site, "ending": l.UpstreamState,
	}).Info("connection lost")
}

// logAnnouncement logs that an upstream announced that it leaves or wants a pause.
func (f *Fronter) logAnnouncement(a *dispatcher.Announcement) {
	if !f.mayLog() {
		return
	}
	f.options.Log.WithFields(logrus.Fields{
		"id": a.ID, "service": a.Upstream.Service, "upstream": a.Upstream.ID, "site": a.Upstream.Site,
		"status": a.Status, "leaving": a.Advice.Leaving, "pause": int64(a.Advice.Pause),
	}).Info("upstream announcement")
}

// logDecision logs a completed request.
func (f *Fronter) logDecision(e *dispatcher.Decision) {
	if !f.mayLog() {
		return
	}
	fields := logrus.Fields{
		"id": e.ID, "route": e.Route, "service": e.Service, "class": e.Class,
		"config": e.Config, "behind": int64(e.ConfigLag), "catalog": e.Catalog, "upstream": e.Upstream, "site": e.Site, "key": e.Key,
		"tries": e.Attempts, "charged": e.ChargedRetries, "outcome": e.Outcome, "reason": e.Reason, "status": e.Status,
		"ms": int64(e.Elapsed), "objective": int64(e.Objective), "waited": int64(e.PipelineWait), "sentAfter": int64(e.SentAfter), "load": e.Load, "own": e.Own,
		"placed": e.Placement.Kind(), "bytes": e.Bytes,
	}
	if e.Helper != "" {
		fields["helper"] = e.Helper
	}
	if e.Cause != "" {
		fields["cause"] = e.Cause
	}
	if e.Pace > 0 {
		fields["pace"], fields["expected"] = e.Pace, int64(e.Expected)
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

// dial opens a connection that detects a dead peer by keep-alive probes and the TCP user
// timeout.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive(), Control: userTimeout(unackedTimeout)}
	return d.DialContext(ctx, "tcp", address)
}

// DialMember opens a connection from one member's IP address to another member.
func DialMember(ctx context.Context, from netip.Addr, address string) (net.Conn, error) {
	d := net.Dialer{
		LocalAddr:       net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0)),
		KeepAliveConfig: KeepAlive(), Control: userTimeout(memberTimeout),
	}
	return d.DialContext(ctx, "tcp", address)
}

// KeepAlive returns the TCP keep-alive settings of this process.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}
