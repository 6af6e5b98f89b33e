package switcher

import (
	"errors"
	"math/bits"
	"strings"

	"github.com/rotisserie/eris"
)

// The mechanisms. Each comment gives the behaviour with and without it.
const (
	// Homes assigns each key to one upstream. Without it, keys are placed by hash alone.
	Homes Mechanism = iota
	// SavedHomes saves homes and quarantined requests in the store. Without it, a starting
	// entry knows only those that other VMs announce.
	SavedHomes
	// Moves moves keys away from crowded homes. Without it, keys leave only upstreams that
	// accept no requests.
	Moves
	// Waiting queues requests for a key whose home is full. Without it, they go to any
	// upstream with a free slot.
	Waiting
	// RefusedStay retries a refused request at its home. Without it, the next attempt goes
	// elsewhere.
	RefusedStay
	// Rank reserves capacity for the most urgent requests. Without it, all requests share
	// the same capacity.
	Rank
	// QueueLimits bounds the queue of an upstream. Without it, requests join queues of any
	// length.
	QueueLimits
	// FailureShares reduces the share of failing upstreams. Without it, they are treated
	// like any other.
	FailureShares
	// BackOff avoids upstreams that could not be reached. Without it, each request makes
	// one attempt there.
	BackOff
	// FormerHomes records the earlier homes of a key. Without it, a key that leaves its
	// home is placed by hash and load.
	FormerHomes
	// TightRoutes keeps the tightest routes within a small region. Without it, all routes
	// keep the same fraction of their keys there.
	TightRoutes
	// HomeRegions prefers the callers' region for a key. Without it, all regions are
	// equivalent.
	HomeRegions
	// StartWaits holds requests until a starting entry has the data it needs. Without it,
	// they are refused until then.
	StartWaits
	// StartHomes makes the homes part of the data that a starting entry needs. Without it,
	// the entry is ready before they are read.
	StartHomes
	// StartLeader makes a starting process wait for a leader of its region. Without it, the
	// process watches the store at once.
	StartLeader
	// PipelinedRequests handles pipelined requests concurrently. Without it, they are handled
	// one after another.
	PipelinedRequests
	// RelayedChanges makes the leader of a region relay changes. Without it, each VM
	// watches the store itself.
	RelayedChanges
	// Strength distributes lookups by the strength of VMs. Without it, all VMs have equal
	// weight.
	Strength
	// CountedLimits makes limit allocators share out organisations' limits. Without it, each
	// VM uses an equal part of them.
	CountedLimits
	// ExpectedTimes compares upstreams that report their pace by the expected time of the
	// response. Without it, their requests are counted.
	ExpectedTimes
	// DomainHomes gives the keys of routes with large bodies a home in each failure domain of
	// the callers' region. Without it, they have one home in the region, like other keys.
	DomainHomes
	// MemberChanges makes a leader tell its members what changed in its table of members.
	// Without it, each change sends them the whole table.
	MemberChanges
	// HandOn sends changes and homes once into each failure domain of the region, where a VM
	// hands them on. Without it, they are sent to each VM.
	HandOn
	// FarRelays sends requests to upstreams of other regions through a VM there while no
	// connection is open. Without it, each VM dials them.
	FarRelays

	mechanismCount
)

var names = [mechanismCount]string{
	Homes:             "homes",
	SavedHomes:        "saved-homes",
	Moves:             "moves",
	Waiting:           "waiting",
	RefusedStay:       "refused-stay",
	Rank:              "rank",
	QueueLimits:       "line-limits",
	FailureShares:     "failure-shares",
	BackOff:           "back-off",
	FormerHomes:       "former-homes",
	TightRoutes:       "tight-routes",
	HomeRegions:       "home-regions",
	StartWaits:        "start-waits",
	StartHomes:        "start-homes",
	StartLeader:       "start-lead",
	PipelinedRequests: "requests-ahead",
	RelayedChanges:    "relayed-changes",
	Strength:          "strength",
	CountedLimits:     "counted-limits",
	ExpectedTimes:     "expected-times",
	DomainHomes:       "domain-homes",
	MemberChanges:     "member-changes",
	HandOn:            "hand-on",
	FarRelays:         "far-relays",
}

type (
	// Mechanism identifies a mechanism that can be switched off.
	Mechanism uint8

	// Set is a set of mechanisms, in a daemon those that are off. The zero value is empty.
	// It implements pflag.Value as a comma-separated list of names. Has takes no lock, so
	// that it can be called for each request (BenchmarkHas).
	Set uint32
)

// All returns all mechanisms in the order of their declaration.
func All() []Mechanism {
	all := make([]Mechanism, mechanismCount)
	for m := range mechanismCount {
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

// Parse parses a comma-separated list of names. Its error lists all unknown names, and
// the known ones.
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
			problems = append(problems, eris.Errorf("unknown mechanism %q", name))
			continue
		}
		s |= Of(m)
	}
	if len(problems) > 0 {
		problems = append(problems, eris.Errorf("known mechanisms: %s", strings.Join(names[:], ", ")))
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
	if m >= mechanismCount {
		return "unknown"
	}
	return names[m]
}

// Has reports whether m is in the set.
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

// String returns a comma-separated list of names.
func (s Set) String() string {
	var l []string
	for _, m := range s.List() {
		l = append(l, m.String())
	}
	return strings.Join(l, ",")
}

// Set adds the mechanisms in a comma-separated list of names.
func (s *Set) Set(list string) error {
	more, err := Parse(list)
	*s |= more
	return err
}

// Type returns the name of the value's type in a command's help.
func (s *Set) Type() string {
	return "names"
}
