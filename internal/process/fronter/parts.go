package fronter

import (
	"slices"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// burstShare is the part of the fleet's burst of repeats that the living
	// members divide. The rest covers members that were replaced within the
	// window, whose repeats still count, and views that differ.
	burstShare = 0.5

	// coldSenders is how many members send to a cold upstream. One more than
	// one, so that the loss of one does not leave the upstream without
	// requests; few, so that what all may send in one second stays within the
	// bound although members do not agree on anything.
	coldSenders = 2

	// mostColdSenders is how many may take themselves for one of the senders: one
	// more than there are, while not all know yet that a member is gone or new.
	mostColdSenders = 3

	// leastColdRate is the least rate of a sender, in requests a second, so that an
	// upstream with a tight bound gets some at all.
	leastColdRate = 0.1

	// coldShare is the part of a cold upstream's rate that is used.
	coldShare = 0.9

	// coldBurst is how many requests a sender may send at once.
	coldBurst = 1

	// defaultColdRate is the rate of a cold upstream whose service states none.
	defaultColdRate = 5.0
)

// Bounds are limits that hold for all members together. Each member uses a part,
// so that the parts sum to less than the whole without an agreement.
type Bounds struct {
	RetryRatio float64
	RetryBurst float64
	// RetryWindow is the time over which repeats are counted.
	RetryWindow timekeeper.Millis
	// ColdOver and ColdSlack bound the requests to a cold upstream in any
	// second: its own rate times the first plus the second. Both 0 is no bound.
	ColdOver  float64
	ColdSlack float64
}

// ColdPart is the rate at which one sender may send to a cold upstream that bears
// perSecond, both in requests a second: its part of what the upstream bears, and no
// more than keeps all that may be sending within the bound, with a request each that
// they may send at once.
func (b Bounds) ColdPart(perSecond float64) float64 {
	part := perSecond * coldShare / coldSenders
	if b.ColdOver == 0 && b.ColdSlack == 0 {
		return part
	}
	most := perSecond*b.ColdOver + b.ColdSlack
	return max(min(part, most/mostColdSenders-coldBurst), leastColdRate)
}

// retryLimits is this member's part of the repeats.
func (f *Fronter) retryLimits() dispatcher.RetryLimits {
	b := f.options.Bounds()
	return dispatcher.RetryLimits{
		Ratio:  b.RetryRatio,
		Burst:  b.RetryBurst * burstShare / float64(max(len(f.members()), 1)),
		Window: b.RetryWindow,
	}
}

// mayWarm tells whether this member may send a request to a cold upstream now.
func (f *Fronter) mayWarm(u *cataloger.Upstream, t *tracker.Upstream) bool {
	return f.sendsCold(u) && t.MayWarm(f.coldRate(u), coldBurst)
}

// warm takes one request of this member's part of a cold upstream's rate.
func (f *Fronter) warm(u *cataloger.Upstream, t *tracker.Upstream) bool {
	return t.Warm(f.coldRate(u), coldBurst)
}

// coldRate is this member's part of a cold upstream's rate, in requests a second, if
// it is one of its senders.
func (f *Fronter) coldRate(u *cataloger.Upstream) float64 {
	perSecond := defaultColdRate
	if c := f.Config(); c != nil && c.Services[u.Service].WarmupPerSecond > 0 {
		perSecond = c.Services[u.Service].WarmupPerSecond
	}
	return f.options.Bounds().ColdPart(perSecond)
}

// sendsCold tells whether this member is one of the senders to a cold upstream:
// the first in the upstream's rendezvous order of the members of its region, or
// of all members if there is none.
func (f *Fronter) sendsCold(u *cataloger.Upstream) bool {
	all := f.members()
	near := slices.DeleteFunc(slices.Clone(all), func(m heartbeater.Member) bool {
		return m.Site.Region() != u.Site.Region()
	})
	if len(near) > 0 {
		all = near
	}
	better := 0
	own := hasher.Mix(u.Hash(), hasher.OfString(f.options.Self))
	for _, m := range all {
		if m.Name == f.options.Self {
			continue
		}
		if hasher.Mix(u.Hash(), hasher.OfString(m.Name)) > own {
			better++
		}
	}
	isNear := slices.ContainsFunc(all, func(m heartbeater.Member) bool { return m.Name == f.options.Self })
	return isNear && better < coldSenders
}

func (f *Fronter) members() []heartbeater.Member {
	l := f.living.Load()
	if l == nil {
		f.lookUpMembers()
		l = f.living.Load()
	}
	if l == nil {
		return nil
	}
	return *l
}
