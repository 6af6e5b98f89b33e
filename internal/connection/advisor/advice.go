package advisor

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// maxPause bounds a requested pause, so that a malformed value does not take an upstream out of
// use for good.
const maxPause = 10 * timekeeper.Minute

// Advice is what a response says about the upstream that sent it.
type Advice struct {
	// Leaving reports that the upstream accepts no new requests.
	Leaving bool
	// Pause is how long the upstream wants no requests from the receiver, 0 if it did not ask
	// for a pause.
	Pause timekeeper.Millis
}

// Read returns the advice of a response. leaving is the name of the header field by which an
// upstream announces that it leaves; an empty name disables it.
func Read(leaving string, status int, h http.Header) Advice {
	a := Advice{Leaving: leaving != "" && h.Get(leaving) != ""}
	if status == http.StatusServiceUnavailable {
		a.Pause = parsePause(h.Get("Retry-After"), h.Get("Date"))
	}
	return a
}

// parsePause parses a Retry-After value: seconds, possibly with a fraction, or an HTTP date,
// which counts from the time at which the response was made. It returns 0 for anything else.
func parsePause(v, date string) timekeeper.Millis {
	v = strings.TrimSpace(v)
	if isDecimal(v) {
		// An error means that the value is out of range, and then it is infinite.
		seconds, _ := strconv.ParseFloat(v, 64)
		return timekeeper.Millis(math.Ceil(min(seconds*float64(timekeeper.Second), float64(maxPause))))
	}
	until, err := http.ParseTime(v)
	if err != nil {
		return 0
	}
	made, err := http.ParseTime(date)
	if err != nil {
		return 0
	}
	return min(max(timekeeper.Millis(until.Sub(made).Milliseconds()), 0), maxPause)
}

// isDecimal reports whether v consists of digits and at most one decimal point between or after
// them.
func isDecimal(v string) bool {
	whole, fraction, _ := strings.Cut(v, ".")
	return whole != "" && strings.Trim(whole, "0123456789") == "" && strings.Trim(fraction, "0123456789") == ""
}
