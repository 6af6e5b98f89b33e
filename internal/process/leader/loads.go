package leader

import (
	"sync"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
)

// maxNumberings is the number of settings versions for which a leader can decode
// loads. Heartbeats of a member that lags further behind count, but their loads are
// ignored.
const maxNumberings = 8

type (
	// loadReport holds the loads in a heartbeat, with site and service names in place of
	// numbers.
	loadReport struct {
		loads map[loadKey]SiteLoad
		work  map[workKey]usage
	}

	// numberings holds the site and service numbering of recent settings versions.
	numberings struct {
		lock    sync.Mutex
		numbers map[recorder.Number]resolver.Numbering
	}
)

// add stores the numbering of a settings version and removes those that are too old.
func (n *numberings) add(number recorder.Number, r *resolver.Resolved) {
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
		if k+maxNumberings <= number {
			delete(n.numbers, k)
		}
	}
}

func (n *numberings) lookup(number recorder.Number) (resolver.Numbering, bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	x, ok := n.numbers[number]
	return x, ok
}

// decodeLoads decodes the loads in a heartbeat. It returns nil if there are none or if the
// numbering of the member's settings is unknown.
func (n *numberings) decodeLoads(h *framer.Heartbeat) *loadReport {
	names, ok := n.lookup(recorder.Number(h.Settings))
	if !ok || h.SpanMillis == 0 {
		return nil
	}
	r := &loadReport{loads: map[loadKey]SiteLoad{}, work: map[workKey]usage{}}
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
		r.addWork(names, l, float64(h.SpanMillis))
	}
	return r
}

func (r *loadReport) addWork(names resolver.Numbering, l *framer.Load, span float64) {
	for _, w := range l.Works {
		k := workKey{names.Service(l.Service), names.Site(w.Origin)}
		r.work[k] += usage(float64(w.SlotMillis) / span)
	}
}
