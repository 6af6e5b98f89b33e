package timekeeper

import "time"

// Common lengths of time.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// processStart anchors the monotonic reading. Its absolute value has no
// meaning: only differences between readings of one process do.
var processStart = time.Now()

type (
	// Millis is a length of time, or a reading of a clock, in milliseconds.
	Millis int64

	// Clock reads time. The zero value reads the clocks of the system.
	Clock struct {
		// Monotonic returns a reading that never goes back and ignores steps
		// of the wall clock. Leases and time-outs rest on it alone.
		Monotonic func() Millis
		// Wall returns milliseconds since the Unix epoch. It is for people
		// and for settings that name a time of day.
		Wall func() Millis
	}
)

// Duration converts m for the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String prints m as a duration, such as "1.5s".
func (m Millis) String() string {
	return m.Duration().String()
}

// FromDuration converts d, rounding up so that a positive wait stays positive.
func FromDuration(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}

// Now returns the monotonic reading.
func (c Clock) Now() Millis {
	if c.Monotonic != nil {
		return c.Monotonic()
	}
	return Millis(time.Since(processStart) / time.Millisecond)
}

// WallNow returns the wall reading.
func (c Clock) WallNow() Millis {
	if c.Wall != nil {
		return c.Wall()
	}
	return Millis(time.Now().UnixMilli())
}

// Time converts a wall reading to UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}
