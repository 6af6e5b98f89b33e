package authenticator

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/hasher"
)

type (
	// Name is the name of an organisation.
	Name string

	// Rank is the priority of an organisation; 0 is the most urgent.
	Rank int

	// Limit bounds the requests of an organisation over all daemons together. The zero
	// value means no limit.
	Limit struct {
		// PerSecond is the sustained rate of requests, and Burst the number of requests
		// that may exceed it at once.
		PerSecond float64
		Burst     float64
	}

	// Organisation is an organisation to which callers belong. Its fields must not be
	// modified once it is part of a Directory.
	Organisation struct {
		Name Name
		// Keys are the digests of its API keys.
		Keys  []Digest
		Rank  Rank
		Limit Limit
		// Regions are the regions in which its requests may run; none means all.
		Regions []string

		hash hasher.Hash
		// regionsHash is a hash of Regions, or 0 if there are none.
		regionsHash hasher.Hash
	}

	// Directory holds the organisations of one version of the configuration. The zero
	// value has none.
	Directory struct {
		holders map[Digest]*Organisation
		byHash  map[hasher.Hash]*Organisation
	}
)

// New validates organisations and returns their directory. The error joins all problems
// found. A key that two organisations share belongs to neither.
func New(list []Organisation) (*Directory, error) {
	d := &Directory{
		holders: make(map[Digest]*Organisation, len(list)),
		byHash:  make(map[hasher.Hash]*Organisation, len(list)),
	}
	var problems []error
	for i := range list {
		o := &list[i]
		o.setHashes()
		problems = append(problems, o.check()...)
		if _, exists := d.byHash[o.hash]; exists {
			problems = append(problems, eris.Errorf("organisation %q is defined twice", o.Name))
			continue
		}
		d.byHash[o.hash] = o
		problems = append(problems, d.addKeys(o)...)
	}
	maps.DeleteFunc(d.holders, func(_ Digest, o *Organisation) bool { return o == nil })
	return d, errors.Join(problems...)
}

// addKeys adds the keys of an organisation. A key that another organisation has too
// gets a nil holder.
func (d *Directory) addKeys(o *Organisation) (problems []error) {
	for _, k := range o.Keys {
		other, held := d.holders[k]
		switch {
		case !held:
			d.holders[k] = o
		case other != o:
			d.holders[k] = nil
			problems = append(problems, eris.Errorf("organisation %q shares a key with another organisation, digest %s", o.Name, k))
		}
	}
	return problems
}

// Holder returns the organisation that holds an API key, or nil if none does.
func (d *Directory) Holder(key string) *Organisation {
	return d.holders[DigestOf(key)]
}

// ByHash returns the organisation whose name has the hash h, or nil if there is none.
func (d *Directory) ByHash(h hasher.Hash) *Organisation {
	if d == nil {
		return nil
	}
	return d.byHash[h]
}

// Required reports whether requests must carry a credential. A nil Directory requires
// none.
func (d *Directory) Required() bool {
	return d != nil
}

// All returns the organisations sorted by name.
func (d *Directory) All() []*Organisation {
	if d == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(d.byHash), func(a, b *Organisation) int { return cmp.Compare(a.Name, b.Name) })
}

// Len returns the number of organisations.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byHash)
}

// Hash returns a hash of the name. It identifies the organisation across versions.
func (o *Organisation) Hash() hasher.Hash {
	return o.hash
}

// Allows reports whether requests of the organisation may run in a region. Requests
// without an organisation, for which o is nil, may run in any region.
func (o *Organisation) Allows(region string) bool {
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// RegionsHash returns a hash of the regions of the organisation, or 0 if its requests may run
// in any region. Organisations with the same regions have the same hash.
func (o *Organisation) RegionsHash() hasher.Hash {
	if o == nil {
		return 0
	}
	return o.regionsHash
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool {
	return l.PerSecond <= 0
}

func (o *Organisation) setHashes() {
	o.hash = hasher.OfString(string(o.Name))
	for _, r := range slices.Sorted(slices.Values(o.Regions)) {
		o.regionsHash = hasher.Mix(o.regionsHash, hasher.OfString(r))
	}
}

func (o *Organisation) check() (problems []error) {
	if o.Name == "" {
		problems = append(problems, eris.New("organisation without a name"))
	}
	if o.Limit.PerSecond < 0 || o.Limit.Burst < 0 {
		problems = append(problems, eris.Errorf("organisation %q: limit of %v requests per second or burst of %v is below 0", o.Name, o.Limit.PerSecond, o.Limit.Burst))
	}
	return problems
}
