package leader

import (
	"sync"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
)

// numberingsKept is how many versions of the settings a lead can still read the
// heartbeats of. A member that lags further behind is heard, but its loads are not.
const numberingsKept = 8

type (
	// reading is what a heartbeat says of loads, by names.
	reading struct {
		loads map[loadKey]SiteLoad
		work  map[workKey]usage
	}

	// numberings keeps the numbers of the versions that were in force lately.
	numberings struct {
		lock    sync.Mutex
		numbers map[recorder.Number]resolver.Numbering
	}
)

// note remembers the numbers of a version.
func (n *numberings) note(number recorder.Number, r *resolver.Resolved) {
	if r == nil {
		return
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.numbers == nil {
		n.numbers = map[recorder.Number]resolver.Numbering{}
	}
	n.numbers[number] = r.Numbering()
	for k := range n.numbers {
		if k+numberingsKept <= number {
			delete(n.numbers, k)
		}
	}
}

func (n *numberings) of(number recorder.Number) (resolver.Numbering, bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	x, ok := n.numbers[number]
	return x, ok
}

// read returns what a heartbeat says of loads, nil when it says nothing or runs
// settings that are not known here.
func (n *numberings) read(h *framer.Heartbeat) *reading {
	names, ok := n.of(recorder.Number(h.Settings))
	if !ok || h.SpanMillis == 0 {
		return nil
	}
	r := &reading{loads: map[loadKey]SiteLoad{}, work: map[workKey]usage{}}
	for _, l := range h.Loads {
		k := loadKey{names.Site(l.Site), names.Service(l.Service)}
		r.loads[k] = SiteLoad{
			Site:    k.site,
			Service: k.service,
			Slots:   l.Slots,
			Busy:    l.Busy,
			Waiting: l.Waiting,
			Peak:    l.Peak,
		}
		r.addWorks(names, l, float64(h.SpanMillis))
	}
	return r
}

func (r *reading) addWorks(names resolver.Numbering, l *framer.Load, span float64) {
	for _, w := range l.Works {
		k := workKey{names.Service(l.Service), names.Site(w.Origin)}
		r.work[k] += usage(float64(w.SlotMillis) / span)
	}
}
