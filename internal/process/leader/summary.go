package leader

import (
	"math"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/packer"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// SummaryPrefix is the name prefix of summary objects.
const SummaryPrefix = "Summary/"

// significantLoadChange is the change in an origin's average use of a service, as a fraction of
// the service's slots in the region, that triggers a summary before the next regular
// one. The slots in use at a moment don't trigger one: under load they always change.
const significantLoadChange = 0.1

type (
	// Summary is a leader's report on its region.
	Summary struct {
		Region   string
		Fence    leaser.Fence
		Sequence uint64
		AtMillis timekeeper.Millis
		// Numbers counts members by the numbers they run, so that the size of the
		// summary does not depend on the number of members.
		Numbers []NumberCount
		Sites   []SiteLoad
		Work    []OriginWork
	}

	// NumberCount counts the members that run the same settings and plan numbers.
	NumberCount struct {
		Settings recorder.Number
		Plan     planner.Number
		Members  int
		Leaving  int `json:",omitempty"`
	}

	// SiteLoad is the use of the slots of one service at one site.
	SiteLoad struct {
		Site    registrar.Site
		Service resolver.ServiceName
		Slots   uint32
		Busy    uint32
		Waiting uint32
		Peak    uint32
	}

	// OriginWork is the average number of slots used by the requests of one origin.
	OriginWork struct {
		Service resolver.ServiceName
		Origin  registrar.Site
		Slots   float64
	}
)

// DecodeSummary decodes the body of a summary object.
func DecodeSummary(body []byte) (Summary, error) {
	var s Summary
	err := packer.Unpack(body, &s)
	return s, eris.Wrap(err, "decode summary")
}

// Encode returns the body of a summary object.
func (s Summary) Encode() ([]byte, error) {
	return packer.Pack(s)
}

// Members returns the number of members in the region, and how many of them are
// leaving.
func (s Summary) Members() (all, leaving int) {
	for _, n := range s.Numbers {
		all += n.Members
		leaving += n.Leaving
	}
	return all, leaving
}

// InForce returns the number of members that run settings number n or a later one.
func (s Summary) InForce(n recorder.Number) int {
	count := 0
	for _, x := range s.Numbers {
		if x.Settings >= n {
			count += x.Members
		}
	}
	return count
}

// AddWork adds the region's work to a load.
func (s Summary) AddWork(to *planner.Load) {
	for _, w := range s.Work {
		to.Add(w.Service, w.Origin, w.Slots)
	}
}

// runsPlan reports whether all members run plan number n or a later one.
func (s Summary) runsPlan(n planner.Number) bool {
	return !slices.ContainsFunc(s.Numbers, func(x NumberCount) bool { return x.Plan < n })
}

func (s *Summary) sort() {
	slices.SortFunc(s.Numbers, func(a, b NumberCount) int {
		if a.Settings != b.Settings {
			return int(a.Settings) - int(b.Settings)
		}
		return int(a.Plan) - int(b.Plan)
	})
	slices.SortFunc(s.Sites, func(a, b SiteLoad) int {
		return strings.Compare(string(a.Site)+" "+string(a.Service), string(b.Site)+" "+string(b.Service))
	})
	slices.SortFunc(s.Work, func(a, b OriginWork) int {
		return strings.Compare(string(a.Origin)+" "+string(a.Service), string(b.Origin)+" "+string(b.Service))
	})
}

// sameNumbers reports whether two summaries hold the same numbers in force.
func sameNumbers(a, b Summary) bool {
	return slices.Equal(a.Numbers, b.Numbers)
}

// sameLoad reports whether the slots of all sites are equal and the origins' average
// use of them differs by at most significantLoadChange.
func sameLoad(a, b Summary) bool {
	if !slices.EqualFunc(a.Sites, b.Sites, SiteLoad.sameSlots) {
		return false
	}
	slots := map[resolver.ServiceName]float64{}
	for _, l := range a.Sites {
		slots[l.Service] += float64(l.Slots)
	}
	change := map[workKey]float64{}
	for _, w := range a.Work {
		change[workKey{w.Service, w.Origin}] -= w.Slots
	}
	for _, w := range b.Work {
		change[workKey{w.Service, w.Origin}] += w.Slots
	}
	for k, c := range change {
		if math.Abs(c) > slots[k.service]*significantLoadChange {
			return false
		}
	}
	return true
}

func (l SiteLoad) sameSlots(x SiteLoad) bool {
	return l.Site == x.Site && l.Service == x.Service && l.Slots == x.Slots
}
