package quarantiner

import (
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// isolationCrashes is the number of consecutive crashes from which a request is isolated.
	// At the first crash the request is usually innocent, and a retry is likely to succeed.
	isolationCrashes = 2

	// quarantineCrashes is the number of consecutive crashes at which a request is
	// quarantined.
	quarantineCrashes = 3

	// initialHold is how long a request is in quarantine before its first trial: a service
	// that crashed on all its requests may be repaired by then. The time grows by holdGrowth
	// with each further crash, up to maxHold.
	initialHold = 2 * timekeeper.Minute
	holdGrowth  = 4
	maxHold     = initialHold * holdGrowth * holdGrowth * holdGrowth

	// suspectRetention is how long a request that is not in quarantine stays a suspect, and
	// how long a clearing is remembered.
	suspectRetention = 5 * timekeeper.Minute

	// quarantineRetention is how long after its last crash a quarantined request is remembered
	// if nobody sends it any more.
	quarantineRetention = 6 * timekeeper.Hour
)

// Suspect is what is known of a request during which upstreams terminated.
type Suspect struct {
	Fingerprint Fingerprint
	// Clearings counts how often the request was cleared. What was known before the last
	// clearing no longer counts.
	Clearings uint32
	// Crashes counts consecutive runs that terminated their upstreams. It is 0 for a cleared
	// request.
	Crashes uint32
	// Age is the time since the last crash was observed or the request was cleared.
	Age timekeeper.Millis
}

// Quarantined reports whether the request has crashed enough upstreams to be kept from them.
func (s Suspect) Quarantined() bool {
	return s.Crashes >= quarantineCrashes
}

// Isolated reports whether the request must be isolated: once it may have run, it is not
// retried, and only its caller may send it again.
func (s Suspect) Isolated() bool {
	return s.Crashes >= isolationCrashes
}

// newer reports whether s holds later knowledge than o of the same request.
func (s Suspect) newer(o Suspect) bool {
	if s.Clearings != o.Clearings {
		return s.Clearings > o.Clearings
	}
	return s.Crashes > o.Crashes
}

// remaining returns the remaining time in quarantine, negative if it is over.
func (s Suspect) remaining() timekeeper.Millis {
	hold := initialHold
	for n := s.Crashes; n > quarantineCrashes && hold < maxHold; n-- {
		hold *= holdGrowth
	}
	return hold - s.Age
}

// expired reports whether s is too old to be kept.
func (s Suspect) expired() bool {
	if s.Quarantined() {
		return s.Age > quarantineRetention
	}
	return s.Age > suspectRetention
}

// hash returns a hash of what two daemons must agree on, which excludes the age.
func (s Suspect) hash() hasher.Hash {
	h := hasher.OfString(string(s.Fingerprint[:]))
	return hasher.Mix(h, hasher.Hash(s.Clearings)<<32|hasher.Hash(s.Crashes))
}

// IsTrialTurn reports whether it is the turn of daemon self to let a request through whose
// quarantine has been over for the given time. All daemons take turns of TrialInterval, in an
// order that depends on the request.
func IsTrialTurn(f Fingerprint, over timekeeper.Millis, self string, all []string) bool {
	if len(all) == 0 {
		return true
	}
	request := hasher.OfString(string(f[:]))
	own := hasher.Mix(request, hasher.OfString(self))
	position := 0
	for _, name := range all {
		if hasher.Mix(request, hasher.OfString(name)) > own {
			position++
		}
	}
	return int(over/TrialInterval)%len(all) == position
}
