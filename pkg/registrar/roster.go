package registrar

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/packer"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Prefix is the name prefix of roster objects.
const Prefix = "Roster/"

const (
	// IncarnationDigits is the length of an incarnation in hexadecimal digits.
	IncarnationDigits = 16

	// HistoryRetention is how long rosters list former members.
	HistoryRetention = 15 * timekeeper.Minute
)

type (
	// Incarnation identifies one run of a process. A VM that is replaced at the
	// same address has another incarnation.
	Incarnation string

	// Site is the location of upstreams and daemons, in the form "region/domain".
	Site string

	// Member is a live daemon.
	Member struct {
		Incarnation Incarnation
		Name        string
		Site        Site
		// Callers, Links and Operators are the addresses of its listeners.
		Callers   string
		Links     string
		Operators string
		// Leaving reports whether the daemon is shutting down.
		Leaving bool
		// SinceMillis is the wall time at which the leader added the member.
		SinceMillis timekeeper.Millis
	}

	// FormerMember is a former member and its membership period in wall time.
	FormerMember struct {
		Incarnation Incarnation
		SinceMillis timekeeper.Millis
		GoneMillis  timekeeper.Millis
	}

	// Roster lists the members of one region.
	Roster struct {
		Region  string
		Fence   leaser.Fence
		Version uint64
		Members []Member
		// Era is the era of the store in which the region's leader has written again all
		// changes of settings that its members know.
		Era storer.Era `json:",omitempty"`
		// Past lists the members that were removed within HistoryRetention.
		Past []FormerMember `json:",omitempty"`
	}

	// View combines the rosters of all regions. It is created by NewView and
	// immutable afterwards.
	View struct {
		members  []Member
		bySite   map[Site][]Member
		byRegion map[string][]Member
		byID     map[Incarnation]Member
		former   []FormerMember
	}
)

// Region returns the part of s before the slash.
func (s Site) Region() string {
	r, _, _ := strings.Cut(string(s), "/")
	return r
}

// Domain returns the part of s after the slash.
func (s Site) Domain() string {
	_, d, _ := strings.Cut(string(s), "/")
	return d
}

// ObjectName returns the name of the roster object of region.
func ObjectName(region string) string {
	return Prefix + region
}

// Decode decodes the body of a roster object.
func Decode(body []byte) (Roster, error) {
	var r Roster
	err := packer.Unpack(body, &r)
	return r, eris.Wrap(err, "roster")
}

// Encode returns the body of the roster object, with members ordered by
// incarnation.
func (r Roster) Encode() ([]byte, error) {
	r.Members = slices.Clone(r.Members)
	sortMembers(r.Members)
	return packer.Pack(r)
}

// Find returns the member with incarnation i.
func (r Roster) Find(i Incarnation) (Member, bool) {
	for _, m := range r.Members {
		if m.Incarnation == i {
			return m, true
		}
	}
	return Member{}, false
}

// NewView returns a view of the given rosters.
func NewView(rosters []Roster) *View {
	v := &View{bySite: map[Site][]Member{}, byRegion: map[string][]Member{}, byID: map[Incarnation]Member{}}
	for _, r := range rosters {
		v.members = append(v.members, r.Members...)
		v.former = append(v.former, r.Past...)
	}
	sortMembers(v.members)
	for _, m := range v.members {
		v.bySite[m.Site] = append(v.bySite[m.Site], m)
		v.byRegion[m.Site.Region()] = append(v.byRegion[m.Site.Region()], m)
		v.byID[m.Incarnation] = m
	}
	return v
}

// Without returns a view without the given members. It is used to exclude members
// that are known to have terminated from ownership and lookups.
func (v *View) Without(gone map[Incarnation]bool) *View {
	if len(gone) == 0 {
		return v
	}
	r := Roster{Past: v.former}
	for _, m := range v.members {
		if !gone[m.Incarnation] {
			r.Members = append(r.Members, m)
		}
	}
	return NewView([]Roster{r})
}

// Members returns all members, ordered by incarnation.
func (v *View) Members() []Member {
	return v.members
}

// Region returns the members of a region, ordered by incarnation.
func (v *View) Region(name string) []Member {
	return v.byRegion[name]
}

// Find returns the member with incarnation i.
func (v *View) Find(i Incarnation) (Member, bool) {
	m, ok := v.byID[i]
	return m, ok
}

// Serving returns the members that serve the upstreams of site: the members at
// the site that are not leaving, or else those in its region that are not leaving,
// or else the leaving ones at the site. The result depends only on the rosters.
func (v *View) Serving(site Site) []Member {
	if remaining := notLeaving(v.bySite[site]); len(remaining) > 0 {
		return remaining
	}
	if remaining := notLeaving(v.Region(site.Region())); len(remaining) > 0 {
		return remaining
	}
	return v.bySite[site]
}

// Owner returns the member that owns upstream at site, and false if no member
// serves the site.
func (v *View) Owner(site Site, upstream string) (Member, bool) {
	return OwnerAmong(v.Serving(site), upstream)
}

// OwnerAmong returns the member chosen for upstream by rendezvous hashing, and
// false if members is empty.
func OwnerAmong(members []Member, upstream string) (Member, bool) {
	hashes := make([]hasher.Hash, len(members))
	for i, m := range members {
		hashes[i] = hasher.OfString(string(m.Incarnation))
	}
	i := hasher.Best(hasher.OfString(upstream), hashes)
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func notLeaving(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return strings.Compare(string(a.Incarnation), string(b.Incarnation))
	})
}
