package follower

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/process/fronter"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/loader"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	readyPath   = "/ready"
	metricsPath = "/metrics"

	// lookEvery is how often the file is looked at: a change is in force within
	// a second, and a look costs one call to the system.
	lookEvery = 500 * time.Millisecond

	// An entry may repeat retryRatio of its requests and retryBurst beside them
	// within retryWindow: the default of the setting RetryBudget, and its reserve.
	retryRatio  = 0.1
	retryBurst  = 10
	retryWindow = 10 * timekeeper.Second
)

// Fields are the header fields between callers, entries and upstreams.
var Fields = dispatcher.Fields{
	RequestID: "Gullvale-Request",
	Deadline:  "Gullvale-Deadline-Millis",
	// Key names the object that a request is about; Credential is an API key.
	Key:          "Gullvale-Key",
	Credential:   "Gullvale-Credential",
	Organisation: "Gullvale-Organisation",
	NotRun:       "X-Not-Run",
}

type (
	// Options say what a follower serves and where.
	Options struct {
		// File is the table that is followed.
		File string
		// Name and Site are those of this entry.
		Name string
		Site registrar.Site
		// Callers, Checks and Metrics are the addresses of the listeners, "ip:port",
		// "" for none.
		Callers, Checks, Metrics string
		// StopWithin is the time between the order to stop and the end.
		StopWithin timekeeper.Millis
		// Without are the mechanisms that are off.
		Without switcher.Set
		Log     *logrus.Logger
	}

	// Follower is an entry that follows a file. Build it with New.
	Follower struct {
		options Options
		front   *fronter.Fronter
		limits  *limiter.Limiter
		clock   timekeeper.Clock
		// seen is the file's state when it was last read.
		seen state
	}

	// state tells one writing of a file from another.
	state struct {
		size    int64
		written time.Time
	}
)

// New builds an entry that follows a file, and puts what that says into force. The
// regions between which keys have their homes are those of this first table.
func New(o Options) (*Follower, parser.Problems) {
	f := &Follower{options: o}
	f.seen = f.look()
	t, problems := loader.ReadFile(o.File)
	if len(problems) > 0 {
		return nil, problems
	}
	f.limits = f.newLimits()
	self := []heartbeater.Member{{Name: o.Name, Site: o.Site}}
	f.front = fronter.New(fronter.Options{
		Front:       o.Callers,
		Ready:       o.Checks,
		Metrics:     o.Metrics,
		Fields:      Fields,
		ReadyPath:   readyPath,
		MetricsPath: metricsPath,
		StopWithin:  o.StopWithin,
		Self:        o.Name,
		Members:     func() []heartbeater.Member { return self },
		Homes:       &assigner.Assigner{Region: o.Site.Region(), Regions: t.Regions(), Without: o.Without},
		Limits:      f.limits,
		Without:     o.Without,
		Bounds: func() fronter.Bounds {
			return fronter.Bounds{RetryRatio: retryRatio, RetryBurst: retryBurst, RetryWindow: retryWindow}
		},
		Log: o.Log,
	})
	f.apply(t)
	return f, nil
}

// newLimits are the limits of organisations of an entry that has no others beside it.
func (f *Follower) newLimits() *limiter.Limiter {
	return limiter.New(limiter.Options{
		Tolerance: func() limiter.Tolerance { return limiter.Tolerance{} },
		Census:    func() limiter.Census { return limiter.Census{Known: 1, Near: 1, Counts: true, Sole: true} },
		Organisation: func(h hasher.Hash) *authenticator.Organisation {
			return f.front.Config().Organisations.Known(h)
		},
		Send: func(limiter.Envelope) {},
	})
}

// Run serves until the process is told to stop.
func (f *Follower) Run() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.limits.Run(ctx)
	if err := f.front.Start(); err != nil {
		return err
	}
	f.options.Log.WithFields(logrus.Fields{"name": f.options.Name, "site": f.options.Site, "listeners": f.front.Addresses()}).Info("started")
	f.await(ctx, signals)
	f.front.Leave()
	f.front.Stop()
	f.options.Log.Info("stopped")
	return nil
}

// await returns on the first signal to stop, and takes changes of the file over until
// then.
func (f *Follower) await(ctx context.Context, signals <-chan os.Signal) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			f.options.Log.WithField("signal", s.String()).Info("signal")
			if s != syscall.SIGHUP {
				return
			}
			f.reload()
		case <-t.C:
			if f.look() != f.seen {
				f.reload()
			}
		}
	}
}

func (f *Follower) look() state {
	i, err := os.Stat(f.options.File)
	if err != nil {
		// Whoever replaces the file may have removed it for a moment. What is in
		// force stays.
		return f.seen
	}
	return state{i.Size(), i.ModTime()}
}

// reload reads the file and puts it into force if nothing is wrong with it and it is
// newer.
func (f *Follower) reload() {
	f.seen = f.look()
	t, problems := loader.ReadFile(f.options.File)
	if len(problems) > 0 {
		f.options.Log.WithError(problems).Error("changed table refused")
		return
	}
	f.apply(t)
}

func (f *Follower) apply(t *loader.Table) {
	log := f.options.Log.WithFields(logrus.Fields{"version": t.Config.Version, "routes": t.Config.Routes(), "upstreams": len(t.Upstreams), "organisations": t.Config.Organisations.Len()})
	if !f.front.SetConfig(t.Config) {
		log.WithField("inForce", f.front.Config().Version).Warn("table not newer than what is in force")
		return
	}
	t.Fill(&f.front.Catalog, f.clock.Now())
	f.front.SetHomed()
	f.front.SetListed()
	log.Info("configuration in force")
}
