package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// MaxSuspects bounds how many requests are remembered, so that all fit into one
	// datagram. Half of them are those in quarantine: neither many different requests that
	// each crash one upstream drive them out, nor do they leave no room for new suspects.
	MaxSuspects = 1000

	// ProbeInterval is how long a daemon that lets a request through waits for what comes of
	// it before it lets another one through, and when callers may ask again meanwhile.
	ProbeInterval = 20 * timekeeper.Second
)

type (
	// Quarantiner knows the suspects of one daemon. The zero value knows none.
	Quarantiner struct {
		Clock timekeeper.Clock
		// Changed is told of what this daemon found out itself, so that it can tell the
		// others. It must neither block nor call the Quarantiner. Nil means nobody wants to
		// know.
		Changed func(Change)
		// MayTry tells whether it is this daemon's turn to let a request through whose
		// quarantine has been over for a time. Nil means always.
		MayTry func(f Fingerprint, over timekeeper.Millis) bool

		lock    sync.Mutex
		records map[Fingerprint]*record
		// suspectCount is how many records are not of cleared requests.
		suspectCount atomic.Int64
	}

	// Change is what was known of a request, and what is.
	Change struct {
		Before, Now Suspect
	}

	// record is a suspect whose age grows.
	record struct {
		suspect Suspect
		// updatedAt is when Age was 0.
		updatedAt timekeeper.Millis
		// probeUntil is until when a request that was let through may be under way.
		probeUntil timekeeper.Millis
	}

	// Sighting is what was known of a request when a run of it began. The zero value is
	// that of one which is no suspect.
	Sighting struct {
		Suspect
		// Probe tells that the request is in quarantine and is let through all the same.
		Probe bool
		// Barred tells that it must not be sent, and After when it may come back.
		Barred bool
		After  timekeeper.Millis
	}
)

// Quarantined tells whether the request came into quarantine.
func (c Change) Quarantined() bool {
	return c.Now.Quarantined() && !c.Before.Quarantined()
}

// Released tells whether the request left quarantine.
func (c Change) Released() bool {
	return !c.Now.Quarantined() && c.Before.Quarantined()
}

// HasSuspects tells whether there are suspects. It takes no lock.
func (q *Quarantiner) HasSuspects() bool {
	return q.suspectCount.Load() > 0
}

// Look says what is known of a request before a run of it, and whether it may be sent.
// Before is the last sighting of the same request by the same caller: one that was let
// through stays so until something new is known.
func (q *Quarantiner) Look(f Fingerprint, before Sighting) Sighting {
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	if r == nil {
		return Sighting{Suspect: Suspect{Fingerprint: f}}
	}
	s := Sighting{Suspect: q.current(r)}
	if !s.Quarantined() {
		return s
	}
	if before.Probe && !s.newer(before.Suspect) {
		s.Probe = true
		return s
	}
	return q.checkQuarantined(r, s)
}

// Remaining tells whether a request is in quarantine, and for how much longer.
func (q *Quarantiner) Remaining(f Fingerprint) (left timekeeper.Millis, held bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	if r == nil || !r.suspect.Quarantined() {
		return 0, false
	}
	left = q.current(r).remaining()
	return left, left > 0
}

// checkQuarantined decides whether a request in quarantine is let through. The caller holds the lock.
func (q *Quarantiner) checkQuarantined(r *record, s Sighting) Sighting {
	now := q.Clock.Now()
	left := s.remaining()
	if left <= 0 && now >= r.probeUntil && (q.MayTry == nil || q.MayTry(s.Fingerprint, -left)) {
		r.probeUntil = now + ProbeInterval
		s.Probe = true
		return s
	}
	s.Barred, s.After = true, left
	if left <= 0 {
		s.After = ProbeInterval
	}
	return s
}

// Crashed notes that an upstream ended under a run that began with a sighting, and returns
// what is known now.
func (q *Quarantiner) Crashed(s Sighting) Suspect {
	q.lock.Lock()
	defer q.lock.Unlock()
	found := s.Suspect
	found.Crashes++
	found.Age = 0
	if r := q.records[s.Fingerprint]; r != nil && r.suspect.Clearings > s.Clearings {
		// Cleared meanwhile: this is the first crash since.
		found.Clearings, found.Crashes = r.suspect.Clearings, 1
	}
	return q.recordLocal(found)
}

// Answered notes that an upstream gave a whole answer to a request, which clears it.
func (q *Quarantiner) Answered(f Fingerprint) {
	q.Clear(f)
}

// Clear takes a request for innocent, and reports false if it is no suspect.
func (q *Quarantiner) Clear(f Fingerprint) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	if r == nil || r.suspect.Crashes == 0 {
		return false
	}
	q.recordLocal(Suspect{Fingerprint: f, Clearings: r.suspect.Clearings + 1})
	return true
}

// recordLocal takes in what this daemon found out, and returns what is known now. The caller
// holds the lock.
func (q *Quarantiner) recordLocal(found Suspect) Suspect {
	before, changed := q.merge(found)
	if !changed {
		return before
	}
	q.evict()
	if q.Changed != nil {
		q.Changed(Change{before, found})
	}
	return found
}

// Learn takes in what another daemon knows. It returns what was new here, and what the other
// one does not know of the same requests.
func (q *Quarantiner) Learn(list []Suspect) (adopted []Change, newer []Suspect) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, s := range list {
		if s.expired() {
			continue
		}
		if before, changed := q.merge(s); changed {
			adopted = append(adopted, Change{before, s})
		} else if r := q.records[s.Fingerprint]; r.suspect.newer(s) {
			newer = append(newer, q.current(r))
		}
	}
	q.evict()
	return adopted, newer
}

// merge notes s if it is news, and returns what was known before. The caller holds the lock.
func (q *Quarantiner) merge(s Suspect) (before Suspect, changed bool) {
	if q.records == nil {
		q.records = map[Fingerprint]*record{}
	}
	r := q.records[s.Fingerprint]
	if r != nil && !s.newer(r.suspect) {
		return r.suspect, false
	}
	if r == nil {
		r = &record{suspect: Suspect{Fingerprint: s.Fingerprint}}
		q.records[s.Fingerprint] = r
	}
	before = r.suspect
	r.suspect, r.updatedAt, r.probeUntil = s, q.Clock.Now()-s.Age, 0
	return before, true
}

// All returns what is known of requests that are suspects.
func (q *Quarantiner) All() []Suspect {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.evict()
	var all []Suspect
	for _, r := range q.records {
		if r.suspect.Crashes > 0 {
			all = append(all, q.current(r))
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age))
	})
	return all
}

// Digest stands for the suspects: daemons with the same digest have nothing to tell each
// other. It is 0 if there are none.
func (q *Quarantiner) Digest() uint64 {
	if !q.HasSuspects() {
		return 0
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	q.evict()
	d := uint64(0)
	for _, r := range q.records {
		if r.suspect.Crashes > 0 {
			d ^= uint64(r.suspect.hash())
		}
	}
	return d
}

// current returns what is known as of now. The caller holds the lock.
func (q *Quarantiner) current(r *record) Suspect {
	s := r.suspect
	s.Age = max(q.Clock.Now()-r.updatedAt, 0)
	return s
}

// evict drops what is of no use any more, and what is beyond the bounds: of requests that
// are not in quarantine first those that were cleared, then the oldest. The caller holds the
// lock.
func (q *Quarantiner) evict() {
	var held, others []*record
	for f, r := range q.records {
		switch {
		case q.current(r).expired():
			delete(q.records, f)
		case r.suspect.Quarantined():
			held = append(held, r)
		default:
			others = append(others, r)
		}
	}
	q.evictExcess(held)
	q.evictExcess(others)
	n := int64(0)
	for _, r := range q.records {
		if r.suspect.Crashes > 0 {
			n++
		}
	}
	q.suspectCount.Store(n)
}

// evictExcess forgets of a list what is beyond half of the bound. The caller holds the lock.
func (q *Quarantiner) evictExcess(list []*record) {
	excess := len(list) - MaxSuspects/2
	if excess <= 0 {
		return
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Or(cmp.Compare(min(a.suspect.Crashes, 1), min(b.suspect.Crashes, 1)), cmp.Compare(a.updatedAt, b.updatedAt))
	})
	for _, r := range list[:excess] {
		delete(q.records, r.suspect.Fingerprint)
	}
}
