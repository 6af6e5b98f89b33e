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

	// Rank orders organisations: 0 is the most urgent.
	Rank int

	// Limit bounds the requests of an organisation over all daemons together. The zero value
	// is no limit.
	Limit struct {
		// PerSecond is the rate of requests that it may send for ever, and Burst how many
		// it may send beyond that at once.
		PerSecond float64
		Burst     float64
	}

	// Organisation is whom callers belong to. Its fields must not be changed once it is part
	// of a Directory.
	Organisation struct {
		Name Name
		// Keys are the digests of its API keys.
		Keys  []Digest
		Rank  Rank
		Limit Limit
		// Regions are where its requests may run; none means anywhere.
		Regions []string

		hash hasher.Hash
		// regionsHash stands for Regions, 0 for none.
		regionsHash hasher.Hash
	}

	// Directory is the organisations of one version. The zero value has none.
	Directory struct {
		holders map[Digest]*Organisation
		byHash  map[hasher.Hash]*Organisation
	}
)

// New checks organisations and returns their directory. It reports all that is wrong at
// once. A key that two of them hold is nobody's.
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
		if _, twice := d.byHash[o.hash]; twice {
			problems = append(problems, eris.Errorf("organisation %q is there twice", o.Name))
			continue
		}
		d.byHash[o.hash] = o
		problems = append(problems, d.addKeys(o)...)
	}
	maps.DeleteFunc(d.holders, func(_ Digest, o *Organisation) bool { return o == nil })
	return d, errors.Join(problems...)
}

// addKeys notes the keys of an organisation.
func (d *Directory) addKeys(o *Organisation) (problems []error) {
	for _, k := range o.Keys {
		other, held := d.holders[k]
		switch {
		case !held:
			d.holders[k] = o
		case other != o:
			d.holders[k] = nil
			problems = append(problems, eris.Errorf("organisation %q has a key that another one has too, digest %s", o.Name, k))
		}
	}
	return problems
}

// Holder returns the organisation that holds an API key, nil if none does.
func (d *Directory) Holder(key string) *Organisation {
	return d.holders[DigestOf(key)]
}

// Known returns the organisation whose name has a hash, nil for none.
func (d *Directory) Known(h hasher.Hash) *Organisation {
	if d == nil {
		return nil
	}
	return d.byHash[h]
}

// Required tells whether requests must say whose they are. A nil Directory requires nothing.
func (d *Directory) Required() bool {
	return d != nil
}

// All returns the organisations in the order of their names.
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

// Hash identifies an organisation by its name, across versions.
func (o *Organisation) Hash() hasher.Hash {
	return o.hash
}

// Allows tells whether its requests may run in a region. Those of nobody may run anywhere.
func (o *Organisation) Allows(region string) bool {
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Bound stands for the regions of the organisation, 0 if it may go anywhere: two with the
// same regions have the same one.
func (o *Organisation) Bound() hasher.Hash {
	if o == nil {
		return 0
	}
	return o.regionsHash
}

// Unlimited tells that there is no limit.
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
		problems = append(problems, eris.Errorf("organisation %q: limit of %v requests a second and a burst of %v is below 0", o.Name, o.Limit.PerSecond, o.Limit.Burst))
	}
	return problems
}
