package switcher

import (
	"errors"
	"math/bits"
	"strings"

	"github.com/rotisserie/eris"
)

// The mechanisms. Each comment says what happens without it.
const (
	// Homes has keys live at one upstream. Without it they go by their hash alone.
	Homes Mechanism = iota
	// SavedHomes keeps homes, and requests in quarantine, in the store. Without it a start
	// knows those only that other VMs announce.
	SavedHomes
	// Moves has keys leave crowded homes. Without it they leave only upstreams that
	// take no work.
	Moves
	// Waiting has a key wait for its full home. Without it the key visits any upstream
	// that has room.
	Waiting
	// RefusedStay sends a refused request to its home again. Without it the next sending
	// goes elsewhere.
	RefusedStay
	// Rank keeps room for the most urgent requests. Without it all have the same room.
	Rank
	// LineLimits bounds an upstream's line. Without it requests join lines of any length.
	LineLimits
	// FailureShares spares failing upstreams. Without it they are like any other.
	FailureShares
	// BackOff spares upstreams that were not reached. Without it each request tries them
	// once.
	BackOff
	// FormerHomes remembers where else a key ran. Without it a key that leaves its home
	// goes by its hash and by load.
	FormerHomes
	// TightRoutes keeps the tightest routes in a small region. Without it all routes keep
	// the same part of their keys there.
	TightRoutes
	// HomeRegions prefers the callers' region for a key. Without it all regions are alike.
	HomeRegions
	// StartWaits holds requests until the entry knows what it needs. Without it they are
	// refused meanwhile.
	StartWaits
	// StartHomes makes the homes a part of what a start needs. Without it the entry is
	// ready before they are read.
	StartHomes
	// StartLead has a start wait for a lead of its region. Without it the process watches
	// the store at once.
	StartLead
	// RequestsAhead handles requests sent ahead side by side. Without it they are handled
	// one after the other.
	RequestsAhead
	// RelayedChanges has the lead of a region relay changes. Without it each VM watches the
	// store itself.
	RelayedChanges
	// Strength shares look-ups by what VMs can carry. Without it all VMs count alike.
	Strength
	// CountedLimits has leads count for organisations' limits. Without it each VM uses an
	// equal part of them.
	CountedLimits

	mechanisms
)

var names = [mechanisms]string{
	Homes:          "homes",
	SavedHomes:     "saved-homes",
	Moves:          "moves",
	Waiting:        "waiting",
	RefusedStay:    "refused-stay",
	Rank:           "rank",
	LineLimits:     "line-limits",
	FailureShares:  "failure-shares",
	BackOff:        "back-off",
	FormerHomes:    "former-homes",
	TightRoutes:    "tight-routes",
	HomeRegions:    "home-regions",
	StartWaits:     "start-waits",
	StartHomes:     "start-homes",
	StartLead:      "start-lead",
	RequestsAhead:  "requests-ahead",
	RelayedChanges: "relayed-changes",
	Strength:       "strength",
	CountedLimits:  "counted-limits",
}

type (
	// Mechanism is one mechanism.
	Mechanism uint8

	// Set is a set of mechanisms, in the daemon of those that are off. The zero value has
	// none. It is a pflag.Value, a list of names with commas between them. To ask for a
	// mechanism takes no lock and about 2 ns (BenchmarkHas).
	Set uint32
)

// All returns all mechanisms in the order of their declaration.
func All() []Mechanism {
	all := make([]Mechanism, mechanisms)
	for m := range mechanisms {
		all[m] = m
	}
	return all
}

// Of returns the set of the given mechanisms.
func Of(all ...Mechanism) Set {
	var s Set
	for _, m := range all {
		s |= 1 << m
	}
	return s
}

// Parse reads names with commas between them. It reports all unknown names at once,
// with those that there are.
func Parse(list string) (Set, error) {
	var s Set
	var problems []error
	for _, name := range strings.Split(list, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		m, ok := find(name)
		if !ok {
			problems = append(problems, eris.Errorf("no mechanism %q", name))
			continue
		}
		s |= Of(m)
	}
	if len(problems) > 0 {
		problems = append(problems, eris.Errorf("there are %s", strings.Join(names[:], ", ")))
		return 0, errors.Join(problems...)
	}
	return s, nil
}

func find(name string) (Mechanism, bool) {
	for m, n := range names {
		if n == name {
			return Mechanism(m), true
		}
	}
	return 0, false
}

// String returns the name of the mechanism.
func (m Mechanism) String() string {
	if m >= mechanisms {
		return "unknown"
	}
	return names[m]
}

// Has tells whether m is in the set.
func (s Set) Has(m Mechanism) bool {
	return s&(1<<m) != 0
}

// List returns the mechanisms of the set in the order of their declaration.
func (s Set) List() []Mechanism {
	l := make([]Mechanism, 0, bits.OnesCount32(uint32(s)))
	for _, m := range All() {
		if s.Has(m) {
			l = append(l, m)
		}
	}
	return l
}

// String returns the names with commas between them.
func (s Set) String() string {
	var l []string
	for _, m := range s.List() {
		l = append(l, m.String())
	}
	return strings.Join(l, ",")
}

// Set adds the mechanisms of a list of names.
func (s *Set) Set(list string) error {
	more, err := Parse(list)
	*s |= more
	return err
}

// Type names the kind of value in a command's help.
func (s *Set) Type() string {
	return "names"
}
