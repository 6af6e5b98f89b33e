package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// MaxSuspects bounds how many requests are remembered, so that all fit into one datagram.
	// Half of them are reserved for quarantined requests: many different requests that each
	// crash one upstream cannot evict these, and they leave room for new suspects.
	MaxSuspects = 1000

	// TrialInterval is how long a daemon that lets a request through waits for the outcome
	// before it allows another trial. Callers refused meanwhile get it as their Retry-After
	// time.
	TrialInterval = 20 * timekeeper.Second
)

type (
	// Quarantiner tracks the suspects known to one daemon. The zero value knows none.
	Quarantiner struct {
		Clock timekeeper.Clock
		// OnChange is called with what this daemon observed itself, so that it can inform the
		// other daemons. It must neither block nor call the Quarantiner. It may be nil.
		OnChange func(Change)
		// AllowTrial reports whether it is this daemon's turn to let a request through whose
		// quarantine has been over for some time. Nil means always.
		AllowTrial func(f Fingerprint, over timekeeper.Millis) bool

		lock    sync.Mutex
		records map[Fingerprint]*record
		// suspectCount is the number of records of requests that are not cleared.
		suspectCount atomic.Int64
	}

	// Change holds what was known of a request before and what is known now.
	Change struct {
		Before, Now Suspect
	}

	// record is a suspect together with the time from which its age is computed.
	record struct {
		suspect Suspect
		// updatedAt is when the suspect's age was 0.
		updatedAt timekeeper.Millis
		// trialUntil is the time until which a trial may still be running.
		trialUntil timekeeper.Millis
	}

	// Observation is what was known of a request when a run of it started. The zero value stands
	// for a request that is not a suspect.
	Observation struct {
		Suspect
		// Trial means that the request is in quarantine but is let through.
		Trial bool
		// Refused means that the request must not be sent. After is its Retry-After time.
		Refused bool
		After   timekeeper.Millis
	}
)

// Quarantined reports whether the change put the request into quarantine.
func (c Change) Quarantined() bool {
	return c.Now.Quarantined() && !c.Before.Quarantined()
}

// Released reports whether the change released the request from quarantine.
func (c Change) Released() bool {
	return !c.Now.Quarantined() && c.Before.Quarantined()
}

// HasSuspects reports whether there are any suspects. It takes no lock.
func (q *Quarantiner) HasSuspects() bool {
	return q.suspectCount.Load() > 0
}

// Check returns what is known of a request before a run of it, and whether it may be sent.
// before is the previous result for the same request by the same caller: a request that was
// let through as a trial stays so until something new is known.
func (q *Quarantiner) Check(f Fingerprint, before Observation) Observation {
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	if r == nil {
		return Observation{Suspect: Suspect{Fingerprint: f}}
	}
	s := Observation{Suspect: q.current(r)}
	if !s.Quarantined() {
		return s
	}
	if before.Trial && !s.newer(before.Suspect) {
		s.Trial = true
		return s
	}
	return q.checkQuarantined(r, s)
}

// Remaining returns the remaining time of a request in quarantine, and reports false if it is
// not in quarantine or that time is over.
func (q *Quarantiner) Remaining(f Fingerprint) (remaining timekeeper.Millis, held bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	if r == nil || !r.suspect.Quarantined() {
		return 0, false
	}
	remaining = q.current(r).remaining()
	return remaining, remaining > 0
}

// checkQuarantined decides whether a quarantined request is let through as a trial. The caller
// holds the lock.
func (q *Quarantiner) checkQuarantined(r *record, s Observation) Observation {
	now := q.Clock.Now()
	remaining := s.remaining()
	if remaining <= 0 && now >= r.trialUntil && (q.AllowTrial == nil || q.AllowTrial(s.Fingerprint, -remaining)) {
		r.trialUntil = now + TrialInterval
		s.Trial = true
		return s
	}
	s.Refused, s.After = true, remaining
	if remaining <= 0 {
		s.After = TrialInterval
	}
	return s
}

// RecordCrash records that an upstream terminated during a run, where s is the result of Check
// before that run. It returns what is known now.
func (q *Quarantiner) RecordCrash(s Observation) Suspect {
	q.lock.Lock()
	defer q.lock.Unlock()
	found := s.Suspect
	found.Crashes++
	found.Age = 0
	if r := q.records[s.Fingerprint]; r != nil && r.suspect.Clearings > s.Clearings {
		// The request was cleared in the meantime: this is the first crash since.
		found.Clearings, found.Crashes = r.suspect.Clearings, 1
	}
	return q.recordLocal(found)
}

// RecordAnswer records that an upstream gave a complete response to a request, which clears it.
func (q *Quarantiner) RecordAnswer(f Fingerprint) {
	q.Clear(f)
}

// Clear clears a request, and reports false if it is not a suspect.
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

// recordLocal records an observation of this daemon, and returns what is known now. The caller
// holds the lock.
func (q *Quarantiner) recordLocal(found Suspect) Suspect {
	before, changed := q.merge(found)
	if !changed {
		return before
	}
	q.evict()
	if q.OnChange != nil {
		q.OnChange(Change{before, found})
	}
	return found
}

// Merge merges what another daemon knows. It returns what was new here, and newer knowledge of
// the same requests that the other daemon lacks.
func (q *Quarantiner) Merge(list []Suspect) (adopted []Change, newer []Suspect) {
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

// merge stores s if it is newer than what is known, and returns what was known before. The
// caller holds the lock.
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
	r.suspect, r.updatedAt, r.trialUntil = s, q.Clock.Now()-s.Age, 0
	return before, true
}

// Suspects returns the suspects, ordered by descending number of crashes and then by age.
func (q *Quarantiner) Suspects() []Suspect {
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

// Digest returns a hash of the suspects: daemons with the same digest have nothing to
// exchange. It is 0 if there are no suspects.
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

// current returns the record's suspect with its present age. The caller holds the lock.
func (q *Quarantiner) current(r *record) Suspect {
	s := r.suspect
	s.Age = max(q.Clock.Now()-r.updatedAt, 0)
	return s
}

// evict removes expired records and those beyond the bounds: of the requests that are not in
// quarantine, the cleared ones first, then the oldest. The caller holds the lock.
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

// evictExcess removes those records of list that exceed half of MaxSuspects. The caller holds
// the lock.
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
