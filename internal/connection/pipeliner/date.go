package pipeliner

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// stamp is a second of wall-clock time, formatted for a Date header.
type stamp struct {
	second timekeeper.Millis
	text   string
}

var lastStamp atomic.Pointer[stamp]

// date returns the current value of a Date header. It is formatted at most once per second.
func date(c timekeeper.Clock) string {
	now := c.WallNow() / timekeeper.Second
	if s := lastStamp.Load(); s != nil && s.second == now {
		return s.text
	}
	s := &stamp{now, time.Unix(int64(now), 0).UTC().Format(http.TimeFormat)}
	lastStamp.Store(s)
	return s.text
}
