package timekeeper

import "time"

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// processStart is the origin of monotonic readings. Only differences between
// readings of the same process are meaningful.
var processStart = time.Now()

type (
	// Millis is a duration or a clock reading in milliseconds.
	Millis int64

	// Clock reads the time. The zero value uses the system clocks.
	Clock struct {
		// Monotonic returns a reading that never decreases and is not affected by
		// steps of the wall clock. Leases and timeouts use only this clock.
		Monotonic func() Millis
		// Wall returns milliseconds since the Unix epoch. It is used for display
		// and for settings with a time of day.
		Wall func() Millis
	}
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String formats m as a duration, such as "1.5s".
func (m Millis) String() string {
	return m.Duration().String()
}

// FromDuration converts d to Millis. It rounds up, so that a positive duration
// stays positive.
func FromDuration(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}

// Now returns the monotonic clock reading.
func (c Clock) Now() Millis {
	if c.Monotonic != nil {
		return c.Monotonic()
	}
	return Millis(time.Since(processStart) / time.Millisecond)
}

// WallNow returns the wall clock reading.
func (c Clock) WallNow() Millis {
	if c.Wall != nil {
		return c.Wall()
	}
	return Millis(time.Now().UnixMilli())
}

// Time converts a wall clock reading to a time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}
