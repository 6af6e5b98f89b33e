package replicator

import (
	"slices"
	"strings"
	"sync"

	"github.com/gullvale/gullvale/pkg/storer"
)

// Replica is a copy of the objects under some prefixes. The zero value is empty. It is
// safe for concurrent use.
type Replica struct {
	// Changed is called with the objects that are new in each batch, in the order of
	// the batches. Calls are serialized. The copy may be read during a call, but Put
	// must not be called. Nil means no callback.
	Changed func([]storer.Object)

	callbackOrder sync.Mutex

	lock     sync.Mutex
	objects  map[string]storer.Object
	revision storer.Revision
}

// Put merges a batch, which holds all changes up to its revision. It returns the
// objects that are new or newer than the stored ones, sorted by revision.
func (r *Replica) Put(b storer.Batch) []storer.Object {
	r.callbackOrder.Lock()
	defer r.callbackOrder.Unlock()
	fresh := r.merge(b)
	if len(fresh) > 0 && r.Changed != nil {
		r.Changed(fresh)
	}
	return fresh
}

func (r *Replica) merge(b storer.Batch) []storer.Object {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.objects == nil {
		r.objects = map[string]storer.Object{}
	}
	var fresh []storer.Object
	for _, o := range b.Objects {
		if o.Revision > r.objects[o.Name].Revision {
			r.objects[o.Name] = o
			fresh = append(fresh, o)
		}
	}
	r.revision = max(r.revision, b.Revision)
	sortByRevision(fresh)
	return fresh
}

// Revision returns the revision up to which the copy is complete.
func (r *Replica) Revision() storer.Revision {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.revision
}

// Since returns the objects with a later revision than since, sorted by revision.
func (r *Replica) Since(since storer.Revision) storer.Batch {
	r.lock.Lock()
	defer r.lock.Unlock()
	b := storer.Batch{Revision: r.revision}
	for _, o := range r.objects {
		if o.Revision > since {
			b.Objects = append(b.Objects, o)
		}
	}
	sortByRevision(b.Objects)
	return b
}

// Get returns an object by name, and whether it is present.
func (r *Replica) Get(name string) (storer.Object, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	o, ok := r.objects[name]
	return o, ok
}

// WithPrefix returns the objects whose names begin with prefix, sorted by name.
func (r *Replica) WithPrefix(prefix string) []storer.Object {
	r.lock.Lock()
	defer r.lock.Unlock()
	var out []storer.Object
	for n, o := range r.objects {
		if strings.HasPrefix(n, prefix) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b storer.Object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Forget removes the objects for whose names old returns true.
func (r *Replica) Forget(old func(name string) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for n := range r.objects {
		if old(n) {
			delete(r.objects, n)
		}
	}
}

func sortByRevision(list []storer.Object) {
	slices.SortFunc(list, func(a, b storer.Object) int {
		switch {
		case a.Revision < b.Revision:
			return -1
		case a.Revision > b.Revision:
			return 1
		}
		return 0
	})
}
