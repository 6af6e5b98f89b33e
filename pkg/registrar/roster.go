package registrar

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/packer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Prefix is what the names of roster objects start with.
const Prefix = "Roster/"

const (
	// IncarnationDigits is the length of an incarnation, in hexadecimal digits.
	IncarnationDigits = 16

	// History is how long rosters remember members that went.
	History = 15 * timekeeper.Minute
)

type (
	// Incarnation names one life of one process. A VM that is replaced at the
	// same address is another incarnation.
	Incarnation string

	// Site is a place of upstreams and daemons: "region/domain".
	Site string

	// Member is one live daemon.
	Member struct {
		Incarnation Incarnation
		Name        string
		Site        Site
		// Callers, Links and Operators are the addresses of its listeners.
		Callers   string
		Links     string
		Operators string
		// Leaving is set once the daemon began to stop.
		Leaving bool
		// SinceMillis is the wall time at which the lead took it in.
		SinceMillis timekeeper.Millis
	}

	// Past is a member that is one no more.
	Past struct {
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
		// Past is the members that went within History.
		Past []Past `json:",omitempty"`
	}

	// View is the rosters of all regions together. Build it with NewView; it
	// is never changed afterwards.
	View struct {
		members  []Member
		bySite   map[Site][]Member
		byRegion map[string][]Member
		byID     map[Incarnation]Member
		past     []Past
	}
)

// Region returns the part of s in front of the slash.
func (s Site) Region() string {
	r, _, _ := strings.Cut(string(s), "/")
	return r
}

// Domain returns the part of s behind the slash.
func (s Site) Domain() string {
	_, d, _ := strings.Cut(string(s), "/")
	return d
}

// ObjectName is the name of the roster object of region.
func ObjectName(region string) string {
	return Prefix + region
}

// Decode reads a roster object.
func Decode(body []byte) (Roster, error) {
	var r Roster
	err := packer.Unpack(body, &r)
	return r, eris.Wrap(err, "roster")
}

// Encode writes a roster object, members in order of incarnation.
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

// NewView joins rosters.
func NewView(rosters []Roster) *View {
	v := &View{bySite: map[Site][]Member{}, byRegion: map[string][]Member{}, byID: map[Incarnation]Member{}}
	for _, r := range rosters {
		v.members = append(v.members, r.Members...)
		v.past = append(v.past, r.Past...)
	}
	sortMembers(v.members)
	for _, m := range v.members {
		v.bySite[m.Site] = append(v.bySite[m.Site], m)
		v.byRegion[m.Site.Region()] = append(v.byRegion[m.Site.Region()], m)
		v.byID[m.Incarnation] = m
	}
	return v
}

// Without returns the view without some members. Those that are away for sure own
// nothing and are named to nobody.
func (v *View) Without(away map[Incarnation]bool) *View {
	if len(away) == 0 {
		return v
	}
	r := Roster{Past: v.past}
	for _, m := range v.members {
		if !away[m.Incarnation] {
			r.Members = append(r.Members, m)
		}
	}
	return NewView([]Roster{r})
}

// Members returns all members in order of incarnation.
func (v *View) Members() []Member {
	return v.members
}

// Region returns the members of a region in order of incarnation.
func (v *View) Region(name string) []Member {
	return v.byRegion[name]
}

// Find returns the member with incarnation i.
func (v *View) Find(i Incarnation) (Member, bool) {
	m, ok := v.byID[i]
	return m, ok
}

// Serving returns the members that serve the upstreams of site: those of the
// site that stay, else those of its region that stay, else those of the site
// that are leaving. Every daemon with the same rosters gets the same answer.
func (v *View) Serving(site Site) []Member {
	if stay := staying(v.bySite[site]); len(stay) > 0 {
		return stay
	}
	if stay := staying(v.Region(site.Region())); len(stay) > 0 {
		return stay
	}
	return v.bySite[site]
}

// Owner returns the member that owns upstream at site.
func (v *View) Owner(site Site, upstream string) (Member, bool) {
	return OwnerAmong(v.Serving(site), upstream)
}

// OwnerAmong returns the rendezvous choice for upstream among members.
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

func staying(members []Member) []Member {
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
