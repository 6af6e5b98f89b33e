package fronter

import (
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// retryBurstShare is the part of the fleet's retry burst that the members divide. They
	// may spend it twice in a window: what they have saved, and what they earn. The rest
	// covers processes that start within the window, and members whose views of the
	// membership differ.
	retryBurstShare = 0.3

	// warmupSenders is how many members send to a cold upstream. It exceeds one, so
	// that the upstream still gets requests when a sender is lost. It is small, so
	// that the senders stay within the bound per second without coordination.
	warmupSenders = 2

	// maxWarmupSenders is how many members may consider themselves senders while their
	// views of the membership differ: one more than warmupSenders.
	maxWarmupSenders = 3

	// minWarmupRate is the minimum rate of a sender in requests per second, so that an
	// upstream with a tight bound still gets requests.
	minWarmupRate = 0.1

	// warmupRateShare is the part of a cold upstream's warm-up rate that is used.
	warmupRateShare = 0.9

	// warmupBurst is how many requests a sender may send at once to a cold upstream.
	warmupBurst = 1

	// defaultWarmupRate is the warm-up rate, in requests per second, of upstreams whose
	// service configures none.
	defaultWarmupRate = 5.0
)

// Bounds are limits that all members share. Each member uses a part, chosen so that the
// parts sum to less than the whole without coordination.
type Bounds struct {
	// RetryRatio and RetryBurst limit the retries within RetryWindow: the ratio of
	// retries to requests and a number of retries on top of it.
	RetryRatio float64
	RetryBurst float64
	// RetryWindow is the time over which retries are counted.
	RetryWindow timekeeper.Millis
	// ColdOver and ColdSlack bound the requests to a cold upstream in any second to
	// rate*ColdOver + ColdSlack, where rate is its warm-up rate. Both 0 means no bound.
	ColdOver  float64
	ColdSlack float64
}

// WarmupRate returns the rate at which one sender may send to a cold upstream with a
// warm-up rate of perSecond, both in requests per second. It is the sender's part of
// perSecond, reduced as needed to keep maxWarmupSenders within the bound, each with its
// burst.
func (b Bounds) WarmupRate(perSecond float64) float64 {
	rate := perSecond * warmupRateShare / warmupSenders
	if b.ColdOver == 0 && b.ColdSlack == 0 {
		return rate
	}
	limit := perSecond*b.ColdOver + b.ColdSlack
	return max(min(rate, limit/maxWarmupSenders-warmupBurst), minWarmupRate)
}

// retryLimits returns this member's part of the retry limits. It has none of the burst until
// ExpectMembers was called.
func (f *Fronter) retryLimits() dispatcher.RetryLimits {
	b := f.options.Bounds()
	l := dispatcher.RetryLimits{Ratio: b.RetryRatio, Window: b.RetryWindow}
	if n := f.fleetSize(); n > 0 {
		l.Burst = b.RetryBurst * retryBurstShare / float64(n)
	}
	return l
}

// ExpectMembers records members that are known from another source than Options.Members. They may be
// alive.
func (f *Fronter) ExpectMembers(members []heartbeater.Member) {
	f.memberHistory.expect(members)
}

// fleetSize returns how many members may be alive, or 0 if ExpectMembers was not called.
func (f *Fronter) fleetSize() int {
	f.members()
	return f.memberHistory.size()
}

// hasWarmupRoom reports whether this member may send a request to a cold upstream now.
func (f *Fronter) hasWarmupRoom(u *cataloger.Upstream, t *tracker.Upstream) bool {
	return f.isWarmupSender(u) && t.WarmupAllows(f.warmupRate(u), warmupBurst)
}

// acquireWarmupRoom takes one request from this member's part of a cold upstream's warm-up
// rate and reports whether there was room.
func (f *Fronter) acquireWarmupRoom(u *cataloger.Upstream, t *tracker.Upstream) bool {
	return t.TakeWarmupToken(f.warmupRate(u), warmupBurst)
}

// warmupRate returns a sender's part of a cold upstream's warm-up rate, in requests per
// second.
func (f *Fronter) warmupRate(u *cataloger.Upstream) float64 {
	perSecond := defaultWarmupRate
	if c := f.Config(); c != nil && c.Services[u.Service].WarmupPerSecond > 0 {
		perSecond = c.Services[u.Service].WarmupPerSecond
	}
	return f.options.Bounds().WarmupRate(perSecond)
}

// isWarmupSender reports whether this member is one of the senders to a cold upstream: the first in
// the upstream's rendezvous order of the members of its region, or of all members if its region has
// none. Members that are not heard count as well: members that are cut from each other would all take
// themselves for senders.
func (f *Fronter) isWarmupSender(u *cataloger.Upstream) bool {
	f.members()
	higher, eligible := f.memberHistory.precede(u.Hash(), u.Site.Region(), f.options.Self)
	return eligible && higher < warmupSenders
}

func (f *Fronter) members() []heartbeater.Member {
	l := f.liveMembers.Load()
	if l == nil {
		f.refreshMembers()
		l = f.liveMembers.Load()
	}
	if l == nil {
		return nil
	}
	return *l
}
