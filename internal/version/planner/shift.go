package planner

import (
	"slices"
	"strings"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// leastMoved is the progress below which a shift that was taken back is over.
const leastMoved = 1e-6

type shiftKey struct {
	service resolver.ServiceName
	from    string
	to      string
}

// wantedShifts is every shift in the settings or under way, with the share that
// it is to reach.
func wantedShifts(r *resolver.Resolved, last Plan) map[shiftKey]resolver.Shift {
	out := map[shiftKey]resolver.Shift{}
	for _, p := range last.Shifts {
		out[shiftKey{p.Service, p.From, p.To}] = resolver.Shift{Service: p.Service, From: p.From, To: p.To, Cap: p.Cap}
	}
	for _, s := range r.Shifts {
		out[shiftKey{s.Service, s.From, s.To}] = s
	}
	return out
}

// shiftAll moves every shift towards its share by what its cap allows. A shift
// goes on only once all routes of its service have come where they are to be,
// so that held steps are not made up for at once.
func (m *Mover) shiftAll(in Input) []Progress {
	var out []Progress
	for k, want := range wantedShifts(in.Settings, in.Last) {
		p := in.Last.Shift(k.service, k.from, k.to)
		p.Cap = want.Cap
		if in.InForce && len(in.Load.Stale) == 0 && m.settled[k.service] {
			p.Moved += m.shiftStep(k, want.Share-p.Moved)
		}
		if want.Share == 0 && p.Moved < leastMoved {
			delete(m.shiftCredit, k)
			continue
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Progress) int {
		return strings.Compare(string(a.Service)+" "+a.From+" "+a.To, string(b.Service)+" "+b.From+" "+b.To)
	})
	return out
}

// shiftStep spends credit on a part of the way that is left.
func (m *Mover) shiftStep(k shiftKey, left float64) float64 {
	step := min(max(left, -m.shiftCredit[k]), m.shiftCredit[k])
	m.shiftCredit[k] -= max(step, -step)
	return step
}

// accrueShifts adds to what each shift may move.
func (m *Mover) accrueShifts(in Input, since timekeeper.Millis) {
	for k, s := range wantedShifts(in.Settings, in.Last) {
		m.shiftCredit[k] = grown(m.shiftCredit[k], s.Cap*capMargin, since)
	}
}

// grown adds the movement of a span to a credit, up to that of one burst.
func grown(credit, perMinute float64, since timekeeper.Millis) float64 {
	minutes := float64(since) / float64(timekeeper.Minute)
	most := perMinute * float64(burst) / float64(timekeeper.Minute)
	return min(credit+perMinute*minutes, most)
}
