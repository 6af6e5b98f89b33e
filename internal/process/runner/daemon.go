package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"

	"github.com/gullvale/gullvale/internal/connection/encrypter"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pacer"
	"github.com/gullvale/gullvale/internal/connection/pipeliner"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/connection/router"
	"github.com/gullvale/gullvale/internal/process/changer"
	"github.com/gullvale/gullvale/internal/process/claimer"
	"github.com/gullvale/gullvale/internal/process/configurer"
	"github.com/gullvale/gullvale/internal/process/joiner"
	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/request/forwarder"
	"github.com/gullvale/gullvale/internal/request/keykeeper"
	"github.com/gullvale/gullvale/internal/request/looker"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/applier"
	"github.com/gullvale/gullvale/internal/version/replicator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	incarnationBytes = 8

	settingsPrefix    = "Settings/"
	leaderLeasePrefix = "Lease/Lead/"

	// headTimeout bounds how long a caller may take to send the head of a request.
	headTimeout = 10 * timekeeper.Second

	// idleTimeout is how long an idle connection from a caller is kept open.
	idleTimeout = 2 * timekeeper.Minute

	// maxHeadBytes bounds the size of a request's head.
	maxHeadBytes = 64 << 10

	// forceQuitDelay is long enough that go-zero never kills the process while a
	// planned stop waits for requests in flight.
	forceQuitDelay = 100 * 365 * 24 * time.Hour
)

type (
	// Options configures a daemon.
	Options struct {
		Config configurer.Config
		Log    *logrus.Logger
		Clock  timekeeper.Clock
		// Dial connects to other daemons. Nil means plain TCP.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// WrapCallers wraps the listener for callers. Nil means no wrapping.
		WrapCallers func(net.Listener) net.Listener
	}

	// server holds the functions that run and stop the server of one listener.
	server struct {
		serve    func(net.Listener) error
		shutdown func(context.Context) error
		close    func()
	}

	// Daemon is an entry daemon. Create it with New, then call Start.
	Daemon struct {
		config  configurer.Config
		clock   timekeeper.Clock
		log     *logrus.Entry
		options Options
		started timekeeper.Millis

		base   context.Context
		cancel context.CancelFunc

		// callers, linkListener and operators are the listeners of the daemon.
		callers      net.Listener
		linkListener net.Listener
		// encrypter is nil if links are not encrypted.
		encrypter *encrypter.Encrypter
		pacer     pacer.Pacer
		operators net.Listener
		servers   []server

		self     registrar.Member
		leaving  atomic.Bool
		snapshot atomic.Pointer[steerer.Snapshot]
		rebuild  chan struct{}
		inputs   inputs

		meter     *measurer.Meter
		store     *storer.Client
		records   *recorder.Log
		applier   *applier.Applier
		replica   *replicator.Replica
		owner     *pooler.Owner
		links     *linker.Manager
		claimer   *claimer.Claimer
		joiner    *joiner.Joiner
		leader    *leader.Leader
		forwarder *forwarder.Forwarder
		looker    *looker.Handler
		changer   *changer.Changer
		announcer announcer
		// lastReport is when loads were last reported, and reportedBusy the busy slots
		// then. Only the goroutine that sends heartbeats uses them.
		lastReport   timekeeper.Millis
		reportedBusy map[pooler.Key]int
		unreachable  unreachable
		restoration  restoration
		// quarantine tracks requests that crash upstreams; suspectChanges queues the
		// changes to send to other daemons.
		quarantine     *quarantiner.Quarantiner
		suspectChanges chan quarantiner.Change

		stopped sync.Once
	}
)

// New binds the listeners and assembles the daemon without starting it. On error it
// closes all listeners.
func New(o Options) (*Daemon, error) {
	proc.SetTimeToForceQuit(forceQuitDelay)
	d := &Daemon{
		config:       o.Config,
		clock:        o.Clock,
		log:          o.Log.WithField("daemon", o.Config.Name),
		options:      o,
		rebuild:      make(chan struct{}, 1),
		reportedBusy: map[pooler.Key]int{},
	}
	d.base, d.cancel = context.WithCancel(context.Background())
	if err := d.listen(); err != nil {
		d.closeListeners()
		d.cancel()
		return nil, err
	}
	if err := d.enableLinkTLS(); err != nil {
		d.closeListeners()
		d.cancel()
		return nil, err
	}
	d.self = registrar.Member{
		Incarnation: newIncarnation(),
		Name:        o.Config.Name,
		Site:        o.Config.Site(),
		Callers:     firstNonEmpty(o.Config.AdvertiseCallers, d.callers.Addr().String()),
		Links:       firstNonEmpty(o.Config.AdvertiseLinks, d.linkListener.Addr().String()),
		Operators:   d.operators.Addr().String(),
	}
	d.assemble()
	return d, nil
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func newIncarnation() registrar.Incarnation {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b)
	return registrar.Incarnation(hex.EncodeToString(b))
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		name     string
		address  string
	}{
		{&d.callers, "Callers", d.config.Callers},
		{&d.linkListener, "Links", d.config.Links},
		{&d.operators, "Operators", d.config.Operators},
	} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			return eris.Wrapf(err, "%s = %q", l.name, l.address)
		}
	}
	return nil
}

// enableLinkTLS enables TLS on links if the settings file names the TLS files.
func (d *Daemon) enableLinkTLS() error {
	if d.config.LinkTLS == (encrypter.Files{}) {
		return nil
	}
	d.encrypter = &encrypter.Encrypter{Files: d.config.LinkTLS, Reloaded: d.logKeyReload}
	if err := d.encrypter.Load(); err != nil {
		return err
	}
	d.linkListener = d.encrypter.Listener(d.linkListener)
	d.options.Dial = d.encrypter.Dial
	return nil
}

func (d *Daemon) logKeyReload(err error) {
	if err != nil {
		d.log.WithError(err).Warn("keys of links not reloaded, the former stay in use")
		return
	}
	d.log.Info("keys of links reloaded")
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.linkListener, d.operators} {
		if l != nil {
			l.Close()
		}
	}
}

// assemble creates the components and connects them.
func (d *Daemon) assemble() {
	d.meter = measurer.New()
	d.store = &storer.Client{Address: d.config.PlatformAddress, Token: d.config.PlatformToken}
	d.records = &recorder.Log{Store: d.store, Prefix: settingsPrefix}
	d.applier = &applier.Applier{}
	d.replica = &replicator.Replica{Changed: d.applyObjects}
	d.owner = &pooler.Owner{Clock: d.clock, Changed: d.announcer.markDirty, Probed: d.countProbe}
	d.links = &linker.Manager{
		Clock:    d.clock,
		Self:     d.Self,
		Dial:     d.options.Dial,
		Control:  d.handleControl,
		Closed:   func(s *linker.Session) { d.leader.LinkClosed(d.base, s) },
		Accepted: d.sendInitialState,
	}
	lease := &leaser.Lease{
		Store:   d.store,
		Name:    leaderLeasePrefix + d.config.Region,
		Holder:  string(d.self.Incarnation),
		Address: d.self.Links,
		Clock:   d.clock,
	}
	d.claimer = &claimer.Claimer{Self: d.Self, Owner: d.owner, Links: d.links}
	d.leader = &leader.Leader{
		Clock:    d.clock,
		Log:      d.log,
		Region:   d.config.Region,
		Store:    d.store,
		Lease:    lease,
		Links:    d.links,
		Replica:  d.replica,
		Settings: d.settings,
		List:     d.syncPlatform,

		Records:     d.records,
		KnownRoster: d.knownRoster,
		KnownPlan:   d.knownPlan,
	}
	d.joiner = &joiner.Joiner{
		Clock:              d.clock,
		Self:               d.Self,
		Lease:              lease,
		Links:              d.links,
		FillHeartbeat:      d.fillHeartbeat,
		OnLeadershipChange: func(f leaser.Fence, held bool) { d.leader.SetLeading(d.base, f, held) },
		HandleOwnHeartbeat: d.handleOwnHeartbeat,
		AvoidLeading:       d.avoidsLeading,
	}
	d.owner.Valid = d.joiner.Valid
	d.quarantine = d.newQuarantine()
	d.forwarder = &forwarder.Forwarder{
		Base:     d.base,
		Clock:    d.clock,
		Self:     d.Self,
		Snapshot: d.snapshot.Load,
		Owner:    d.owner,
		Links:    d.links,
		Meter:    d.meter,
		Leaving:  d.leaving.Load,
		Keys:     &keykeeper.Keeper{Clock: d.clock, Retention: d.keyRetention},

		Quarantine:   d.quarantine,
		MostInFlight: d.config.MostInFlight,
	}
	d.owner.Admit = d.forwarder.RefuseQuarantined
	d.links.Serve = d.forwarder.RunLinked
	d.links.FreeSlots = d.owner.Free
	d.links.Pace = d.paceExport
	d.looker = &looker.Handler{Snapshot: d.snapshot.Load, Meter: d.meter}
	d.changer = &changer.Changer{
		Clock:         d.clock,
		Log:           d.records,
		Applier:       d.applier,
		CheckOverload: d.checkOverload,
		RestoredEra:   d.restoredEra,
		OnRead:        d.keepChange,
		OnAdvance:     d.triggerRebuild,
	}
}

// Self returns the current description of this daemon as a member.
func (d *Daemon) Self() registrar.Member {
	m := d.self
	m.Leaving = d.leaving.Load()
	return m
}

// Start starts the daemon. It accepts no requests until it has settings.
func (d *Daemon) Start() error {
	d.started = d.clock.Now()
	if err := d.serve(); err != nil {
		d.cancel()
		d.closeListeners()
		return err
	}
	d.log.WithFields(logrus.Fields{
		"incarnation": d.self.Incarnation,
		"site":        d.self.Site,
		"callers":     d.self.Callers,
		"links":       d.self.Links,
		"linksBound":  d.linkListener.Addr().String(),
		"operators":   d.self.Operators,
	}).Info("started")
	d.leader.Start()
	if d.encrypter != nil {
		go d.encrypter.Run(d.base)
	}
	go d.links.Accept(d.base, d.linkListener)
	go d.run()
	return nil
}

// run reads the settings, then joins the fleet and starts the background loops.
func (d *Daemon) run() {
	if !d.syncInitial(d.base) {
		return
	}
	d.joiner.Start(d.base)
	go d.loopRebuild(d.base)
	d.triggerRebuild()
	go d.claimer.Run(d.base)
	go d.owner.RunUpkeep(d.base)
	go d.announcer.loop(d.base, d.owner, d.links)
	go d.loopPoll(d.base)
	go d.loopBlocks(d.base)
	go d.loopCloseIdleLinks(d.base)
	go d.loopGauges(d.base)
	go d.loopReachability(d.base)
	go d.loopSuspects(d.base)
}

func (d *Daemon) serve() error {
	callers, err := d.callersHandler()
	if err != nil {
		return err
	}
	operators, err := d.operatorsHandler()
	if err != nil {
		return err
	}
	callerServer := &pipeliner.Server{
		Handler:      callers,
		MayOverlap:   d.forwarder.MayOverlap,
		Draining:     d.leaving.Load,
		HeadTimeout:  func() timekeeper.Millis { return headTimeout },
		IdleTimeout:  func() timekeeper.Millis { return idleTimeout },
		MaxHeadBytes: maxHeadBytes,
		Refused:      d.countRefusedHead,
		Panicked:     d.logHandlerPanic,
		Clock:        d.clock,
	}
	l := d.callers
	if d.options.WrapCallers != nil {
		l = d.options.WrapCallers(l)
	}
	d.startServer(server{callerServer.Serve, callerServer.Shutdown, callerServer.Close}, l)
	operatorServer := &http.Server{
		Handler:           operators,
		ReadHeaderTimeout: headTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          debugLogger(d.log),
	}
	d.startServer(server{operatorServer.Serve, operatorServer.Shutdown, func() { _ = operatorServer.Close() }}, d.operators)
	return nil
}

func (d *Daemon) startServer(s server, l net.Listener) {
	d.servers = append(d.servers, s)
	go d.runServer(s, l)
}

func (d *Daemon) runServer(s server, l net.Listener) {
	if err := s.serve(l); err != nil && err != http.ErrServerClosed {
		d.log.WithError(err).Error("listener failed")
	}
}

// callersHandler returns a handler that serves lookups, outcomes and health, and
// forwards all other requests.
func (d *Daemon) callersHandler() (http.Handler, error) {
	return router.New(router.Options{
		Name: "callers",
		Routes: []rest.Route{
			{Method: http.MethodGet, Path: looker.Path, Handler: d.looker.ServeHTTP},
			{Method: http.MethodGet, Path: forwarder.PathOutcome, Handler: d.forwarder.ServeOutcome},
			{Method: http.MethodGet, Path: operator.PathHealth, Handler: d.serveHealth},
		},
		Fallback:     d.forwarder,
		BypassRoutes: d.forwarder.SelectsService,
	})
}

func (d *Daemon) operatorsHandler() (http.Handler, error) {
	s := &operator.Server{
		Tokens:     d.config.Tokens,
		Store:      d.store,
		Log:        d.records,
		Applier:    d.applier,
		Changer:    d.changer,
		Status:     d.Status,
		Outlook:    d.outlook,
		InForce:    d.inForce,
		Healthy:    d.healthy,
		Quarantine: d.quarantine,
		Metrics:    d.meter.Handler(),
		Lookup:     d.looker,
	}
	return s.Handler()
}

func (d *Daemon) settings() (*resolver.Resolved, recorder.Number) {
	s := d.snapshot.Load()
	if s == nil {
		return nil, 0
	}
	return s.Settings, s.Number
}

func (d *Daemon) keyRetention() timekeeper.Millis {
	if s := d.snapshot.Load(); s != nil {
		return s.Settings.KeyRetention
	}
	return keykeeper.DefaultRetention
}

// healthy reports whether the daemon accepts new requests and, if not, why.
func (d *Daemon) healthy() (bool, string) {
	switch {
	case d.leaving.Load():
		return false, "leaving"
	case d.snapshot.Load() == nil:
		return false, "starting: no settings yet"
	}
	return true, ""
}

func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	ok, reason := d.healthy()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
