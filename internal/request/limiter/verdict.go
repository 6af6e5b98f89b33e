package limiter

import (
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// What becomes of a request.
const (
	// Waiting is not decided yet.
	Waiting Outcome = iota
	// Admitted may be sent.
	Admitted
	// Over is beyond the limit of its organisation.
	Over
	// Unknown can't be told: nobody who counts is heard, and this daemon's own part is used.
	Unknown
)

type (
	// Outcome is what becomes of a request.
	Outcome uint8

	// Verdict is what becomes of a request, and when its caller may come back.
	Verdict struct {
		Outcome Outcome
		After   timekeeper.Millis
	}

	// Ticket is one request that asks for a token.
	Ticket struct {
		Verdict Verdict
		// Decided is called once, with the Core's owner in charge, when a ticket that
		// waited is decided. Nil means nobody is told.
		Decided func()

		// late is how often the request asked somebody else.
		late int
	}

	// Census is what a daemon knows of those who share the limits.
	Census struct {
		// Known are the members of the fleet that may send requests, this one included,
		// and Near those of its region that it hears.
		Known int
		Near  int
		// Counts tells that this member counts for its region, and Counter is the address of
		// the one that does, "" for none.
		Counts  bool
		Counter string
		// Others are the addresses of those that count for the other regions. They are
		// borrowed from by a counter, and drawn from where that of the region is silent.
		Others []string
		// Alone tells that the member knows of others and hears none.
		Alone bool
		// Starting tells that it is alone since it has just started, and may yet hear others.
		Starting bool
		// Sole tells that there are no others by design: buckets begin full.
		Sole bool
	}
)

func (t *Ticket) decide(v Verdict) {
	if t.Verdict.Outcome != Waiting {
		return
	}
	t.Verdict = v
	if t.Decided != nil {
		t.Decided()
	}
}

// part is the region's part of a limit.
func (c Census) part() float64 {
	return float64(c.Near) / float64(max(c.Known, c.Near, 1))
}

// own is the part of a daemon that hears nobody who counts.
func (c Census) own() float64 {
	return 1 / float64(max(c.Known, 1))
}
