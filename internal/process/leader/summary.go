package leader

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// SummaryPrefix is what the names of summary objects start with.
const SummaryPrefix = "Summary/"

type (
	// Summary is what a lead tells of its region.
	Summary struct {
		Region   string
		Fence    leaser.Fence
		Sequence uint64
		AtMillis timekeeper.Millis
		// Members is what each member runs.
		Members []MemberState
		Sites   []SiteLoad
		Work    []OriginWork
	}

	// MemberState is the numbers in force in one member.
	MemberState struct {
		Name     string
		Settings recorder.Number
		Plan     planner.Number
		InFlight uint32
		Leaving  bool `json:",omitempty"`
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

	// OriginWork is the slots that requests of one origin use on average, and
	// their rate a second.
	OriginWork struct {
		Service resolver.ServiceName
		Origin  registrar.Site
		Slots   float64
		Rate    float64
	}
)

// DecodeSummary reads a summary object.
func DecodeSummary(body []byte) (Summary, error) {
	var s Summary
	return s, eris.Wrap(json.Unmarshal(body, &s), "summary")
}

func (s *Summary) sort() {
	slices.SortFunc(s.Members, func(a, b MemberState) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Sites, func(a, b SiteLoad) int {
		return strings.Compare(string(a.Site)+" "+string(a.Service), string(b.Site)+" "+string(b.Service))
	})
	slices.SortFunc(s.Work, func(a, b OriginWork) int {
		return strings.Compare(string(a.Origin)+" "+string(a.Service), string(b.Origin)+" "+string(b.Service))
	})
}

// sameNews tells whether b says nothing new beside a that is worth a write
// before the next regular one.
func sameNews(a, b Summary) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y MemberState) bool {
		return x.Name == y.Name && x.Settings == y.Settings && x.Plan == y.Plan && x.Leaving == y.Leaving
	})
}
