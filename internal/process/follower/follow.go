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

	// pollInterval is the interval at which the file is checked for changes. It puts a
	// change into force within a second, at the cost of one system call per check.
	pollInterval = 500 * time.Millisecond

	// An entry may retry the fraction retryRatio of its requests, and retryBurst
	// requests in addition, within retryWindow. The ratio is the default of the
	// setting RetryBudget, the burst the size of a daemon's token bucket for retries.
	retryRatio  = 0.1
	retryBurst  = 10
	retryWindow = 10 * timekeeper.Second
)

// Fields are the header fields between callers, entries and upstreams.
var Fields = dispatcher.Fields{
	RequestID: "Gullvale-Request",
	Deadline:  "Gullvale-Deadline-Millis",
	// Key identifies the object of a request. Credential is an API key.
	Key:          "Gullvale-Key",
	Credential:   "Gullvale-Credential",
	Organisation: "Gullvale-Organisation",
	NotRun:       "X-Not-Run",
}

type (
	// Options configure a Follower.
	Options struct {
		// File is the path of the configuration file.
		File string
		// Name and Site identify this entry.
		Name string
		Site registrar.Site
		// Callers, Checks and Metrics are the addresses of the listeners as "ip:port".
		// An empty address disables the listener.
		Callers, Checks, Metrics string
		// StopTimeout is the time that the process has to shut down.
		StopTimeout timekeeper.Millis
		// Without holds the mechanisms that are switched off.
		Without switcher.Set
		Log     *logrus.Logger
	}

	// Follower is an entry configured by a file. It must be created with New.
	Follower struct {
		options Options
		front   *fronter.Fronter
		limits  *limiter.Limiter
		clock   timekeeper.Clock
		// lastRead is the state of the file when it was last read.
		lastRead fileState
	}

	// fileState is compared to detect that a file was written.
	fileState struct {
		size    int64
		written time.Time
	}
)

// New returns an entry that follows a file, with the file's present contents in force.
// Later changes don't affect the set of regions that keys may have their homes in.
func New(o Options) (*Follower, parser.Problems) {
	f := &Follower{options: o}
	f.lastRead = f.currentState()
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
		StopTimeout: func() timekeeper.Millis { return o.StopTimeout },
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
	f.front.ExpectMembers(self)
	f.apply(t)
	return f, nil
}

// newLimits returns the limiter of organisations for an entry without others to share the
// limits with.
func (f *Follower) newLimits() *limiter.Limiter {
	return limiter.New(limiter.Options{
		Tolerance: func() limiter.Tolerance { return limiter.Tolerance{} },
		FleetView: func() limiter.FleetView {
			return limiter.FleetView{Known: 1, Reachable: 1, IsAllocator: true, SingleDaemon: true}
		},
		Organisation: func(h hasher.Hash) *authenticator.Organisation {
			return f.front.Config().Organisations.ByHash(h)
		},
		Send: func(limiter.Envelope) {},
	})
}

// Run serves until the process receives SIGTERM or SIGINT.
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
	f.reloadUntilStopped(ctx, signals)
	f.front.Leave()
	f.front.Stop()
	f.options.Log.Info("stopped")
	return nil
}

// reloadUntilStopped reloads the file on changes and on SIGHUP. It returns on the first signal
// to stop or when ctx is done.
func (f *Follower) reloadUntilStopped(ctx context.Context, signals <-chan os.Signal) {
	t := time.NewTicker(pollInterval)
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
			if f.currentState() != f.lastRead {
				f.reload()
			}
		}
	}
}

// currentState returns the current state of the file.
func (f *Follower) currentState() fileState {
	i, err := os.Stat(f.options.File)
	if err != nil {
		// The file may be missing for a moment while it is replaced. The
		// configuration in force stays.
		return f.lastRead
	}
	return fileState{i.Size(), i.ModTime()}
}

// reload reads the file and puts it into force if it is valid and newer than the
// configuration in force.
func (f *Follower) reload() {
	f.lastRead = f.currentState()
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
	f.front.SetHomesKnown()
	f.front.SetUpstreamsKnown()
	log.Info("configuration in force")
}
