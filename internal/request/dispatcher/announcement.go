package dispatcher

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
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
	if a.Leaving && !x.markLeaving(u, status) {
		a.Leaving = false
	}
	x.sawPause = x.sawPause || a.Pause > 0
	if a.Pause > 0 && !t.RecordPause(a.Pause) {
		a.Pause = 0
	}
	if a == (advisor.Advice{}) {
		return
	}
	if a.Leaving {
		x.countAnnouncement(leavingKind)
	}
	if a.Pause > 0 {
		x.countAnnouncement(pauseKind)
	}
	if x.d.OnAnnouncement != nil {
		x.d.OnAnnouncement(&Announcement{ID: x.r.Header.Get(x.d.Fields.RequestID), Upstream: *u, Status: status, Advice: a})
	}
}

// markLeaving records that the sender of a response leaves, and reports whether that was not
// known. A response from another incarnation than the expected one speaks of the upstreams that
// were listed at the address when the request was sent.
func (x *exchange) markLeaving(u *cataloger.Upstream, status int) bool {
	if x.d.MarkLeaving == nil {
		return false
	}
	list := []cataloger.Departure{u.Departure()}
	if status == http.StatusMisdirectedRequest {
		for _, other := range x.sentAgainst.At(u.Address) {
			list = append(list, other.Departure())
		}
	}
	return len(x.d.MarkLeaving(list...)) > 0
}

func (x *exchange) countAnnouncement(kind string) {
	x.d.Meter.Count("upstream_announcements", measurer.Labels{Service: string(x.service), Kind: kind})
}

// pauseLeft returns the time until an upstream that may run the request takes requests again, if
// all that can be reached want a pause, and otherwise 0.
func (x *exchange) pauseLeft() timekeeper.Millis {
	if !x.sawPause {
		return 0
	}
	soonest := timekeeper.Millis(0)
	for u := range x.d.Catalog().ByService(x.service).All() {
		if !x.allowsSite(u.Site) {
			continue
		}
		t := x.d.Upstreams.StateOf(u)
		left := t.PauseLeft()
		if s := t.State(u, x.path(t)); left == 0 && !s.Gone && !s.Down {
			return 0
		}
		if left > 0 && (soonest == 0 || left < soonest) {
			soonest = left
		}
	}
	return soonest
}
