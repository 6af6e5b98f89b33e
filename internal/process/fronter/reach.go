package fronter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/connection/prober"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// slowDial is the duration from which a dial raises the suspicion that this VM reaches no
// upstream: more than a round trip between distant regions.
const slowDial = 100 * timekeeper.Millis(1)

func (f *Fronter) newProber() *prober.Prober {
	return &prober.Prober{
		Upstreams: func() *cataloger.Pool { return f.Catalog.Current().AllUsable() },
		Probe: func(ctx context.Context, u *cataloger.Upstream) {
			f.Meter.Count("probes", measurer.Labels{})
			// The dial reports its result to the prober.
			_ = f.upstreams.StateOf(u).Pool.Check(ctx)
		},
		Site:      f.options.Site,
		OnChange:  f.handleReach,
		OnSilence: func() { f.dispatcher.AbandonPending() },
	}
}

// ServeRelayed serves a request that another member handed over.
func (f *Fronter) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	f.dispatcher.ServeRelayed(w, r)
}

// ActiveRelayed returns the number of requests of other members in flight.
func (f *Fronter) ActiveRelayed() int64 {
	return f.dispatcher.ActiveRelayed()
}

// logRelayed logs a request that another member handed over.
func (f *Fronter) logRelayed(r *dispatcher.RelayedRequest) {
	if !f.mayLog() {
		return
	}
	f.options.Log.WithFields(logrus.Fields{
		"id": r.ID, "from": r.From, "upstream": r.Upstream.ID, "service": r.Service,
		"outcome": r.Outcome, "reason": r.Reason, "status": r.Status, "ms": int64(r.Elapsed),
	}).Info("relayed request")
}

// Cut reports whether this VM reaches no upstream.
func (f *Fronter) Cut() bool {
	return f.prober.Cut()
}

// handleReach is called when this VM lost its access to upstreams or has it again.
func (f *Fronter) handleReach(c prober.Change) {
	f.logReach(c)
	if !c.Cut {
		// What failed during the cut tells nothing of the upstreams.
		f.upstreams.ResetDirect()
	}
	if f.options.OnReach != nil {
		f.options.OnReach()
	}
}

func (f *Fronter) logReach(c prober.Change) {
	if c.Cut {
		f.Meter.Gauge("upstreams_cut", measurer.Labels{}, 1)
		f.options.Log.WithFields(logrus.Fields{"after": int64(c.Since), "unreached": c.Unreached}).Warn("no upstream reached")
		return
	}
	f.Meter.Gauge("upstreams_cut", measurer.Labels{}, 0)
	f.options.Log.WithFields(logrus.Fields{"after": int64(c.Since), "reached": c.Reached}).Info("upstreams reached again")
}

// dialUpstream opens a connection to an upstream and tells the prober what that shows.
func (f *Fronter) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	began := f.clock.Now()
	slow := time.AfterFunc(slowDial.Duration(), f.prober.Suspect)
	c, err := f.Dial(ctx, address)
	slow.Stop()
	switch {
	case err == nil:
		f.prober.RecordReached(address, began)
	case unreached(err, f.clock.Now()-began):
		f.prober.RecordUnreached(address)
	}
	return c, err
}

// unreached reports whether a dial that failed with err shows that the address is not reached.
// One that was given up early, or failed within this VM, shows nothing.
func unreached(err error, elapsed timekeeper.Millis) bool {
	for _, e := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, e) {
			return true
		}
	}
	timedOut := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
	return timedOut && elapsed >= slowDial
}
