package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/gullvale/gullvale/pkg/storer"
)

type (
	// Store is an in-memory object store. The zero value is empty.
	Store struct {
		lock     sync.Mutex
		era      storer.Era
		revision storer.Revision
		objects  map[string]storer.Object
		changed  chan struct{}
	}

	// storeCopy is the content of a store at a revision.
	storeCopy struct {
		revision storer.Revision
		objects  map[string]storer.Object
	}

	// condition is the precondition of a write: the object does not exist if absent is set, and
	// has the expected revision otherwise. The store is in the era unless anyEra is set.
	condition struct {
		absent   bool
		expected storer.Revision
		era      storer.Era
		anyEra   bool
	}
)

func (s *Store) get(name string) (storer.Object, storer.Era, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	o, ok := s.objects[name]
	return o, s.era, ok
}

// put writes an object. It reports false if the condition does not hold.
func (s *Store) put(name string, body []byte, c condition) (storer.Revision, storer.Era, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.satisfies(name, c) {
		return 0, s.era, false
	}
	if s.objects == nil {
		s.objects = map[string]storer.Object{}
	}
	s.revision++
	s.objects[name] = storer.Object{Name: name, Revision: s.revision, Body: body}
	s.notifyWatchers()
	return s.revision, s.era, true
}

func (s *Store) remove(name string, c condition) (storer.Era, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.satisfies(name, c) {
		return s.era, false
	}
	s.revision++
	delete(s.objects, name)
	s.notifyWatchers()
	return s.era, true
}

// copy returns the content of the store.
func (s *Store) copy() storeCopy {
	s.lock.Lock()
	defer s.lock.Unlock()
	return storeCopy{s.revision, maps.Clone(s.objects)}
}

// restore replaces the content by a copy. Everything written since the copy is lost, and its
// revisions are given out again in another era.
func (s *Store) restore(c storeCopy) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision, s.objects = c.revision, maps.Clone(c.objects)
	s.era++
	s.notifyWatchers()
}

func (s *Store) satisfies(name string, c condition) bool {
	if !c.anyEra && c.era != s.era {
		return false
	}
	o, ok := s.objects[name]
	if c.absent {
		return !ok
	}
	return ok && o.Revision == c.expected
}

func (s *Store) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Store) list(prefix, after string, limit int) (storer.Batch, storer.Era) {
	s.lock.Lock()
	defer s.lock.Unlock()
	b := storer.Batch{Revision: s.revision}
	for n, o := range s.objects {
		if strings.HasPrefix(n, prefix) && n > after {
			b.Objects = append(b.Objects, o)
		}
	}
	slices.SortFunc(b.Objects, func(x, y storer.Object) int { return strings.Compare(x.Name, y.Name) })
	if limit > 0 && len(b.Objects) > limit {
		b.Objects = b.Objects[:limit]
	}
	return b, s.era
}

// changedSince returns the objects with one of the prefixes that changed after a
// revision, the era, and a channel that is closed at the next write.
func (s *Store) changedSince(prefixes []string, since storer.Revision) (storer.Batch, storer.Era, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	b := storer.Batch{Revision: s.revision}
	for n, o := range s.objects {
		if o.Revision > since && hasPrefix(n, prefixes) {
			b.Objects = append(b.Objects, o)
		}
	}
	slices.SortFunc(b.Objects, func(x, y storer.Object) int { return int(x.Revision) - int(y.Revision) })
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return b, s.era, s.changed
}

func hasPrefix(name string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) })
}
