package dispatcher

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// Kinds of announcements, as labels of metrics.
const (
	leavingKind = "leaving"
	pauseKind   = "pause"
)

// Announcement is what a response announced about its upstream.
type Announcement struct {
	// ID is the request that got the response.
	ID       string
	Upstream cataloger.Upstream
	Status   int
	Advice   advisor.Advice
}

// recordAdvice records what the head of a response announces about u.
func (x *exchange) recordAdvice(u *cataloger.Upstream, t *tracker.Upstream, status int, h http.Header) {
	a := advisor.Read(x.d.Fields.Leaving, status, h)
	if a == (advisor.Advice{}) || !t.RecordAdvice(a) {
		return
	}
	if a.Leaving {
		x.countAnnouncement("upstream_announcements", leavingKind)
	}
	if a.Pause > 0 {
		x.countAnnouncement("upstream_announcements", pauseKind)
	}
	if x.d.OnAnnouncement != nil {
		x.d.OnAnnouncement(&Announcement{ID: x.r.Header.Get(x.d.Fields.RequestID), Upstream: *u, Status: status, Advice: a})
	}
}

// countSentAfter counts a request that is sent to an upstream although it announced that it
// leaves or wants a pause.
func (x *exchange) countSentAfter(t *tracker.Upstream) {
	a := t.Announced()
	if a.Leaving {
		x.countAnnouncement("sent_after_announcement", leavingKind)
	}
	if a.Paused(x.d.Clock.Now()) {
		x.countAnnouncement("sent_after_announcement", pauseKind)
	}
}

func (x *exchange) countAnnouncement(metric, kind string) {
	x.d.Meter.Count(metric, measurer.Labels{Service: string(x.service), Kind: kind})
}
