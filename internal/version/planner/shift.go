package planner

import (
	"slices"
	"strings"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// minMoved is the progress below which a shift that is no longer in the settings is
// complete.
const minMoved = 1e-6

type shiftKey struct {
	service resolver.ServiceName
	from    string
	to      string
}

// shiftTargets returns every shift that is in the settings or in progress, with its
// target share. The target of a shift that is no longer in the settings is 0.
func shiftTargets(r *resolver.Resolved, last Plan) map[shiftKey]resolver.Shift {
	out := map[shiftKey]resolver.Shift{}
	for _, p := range last.Shifts {
		out[shiftKey{p.Service, p.From, p.To}] = resolver.Shift{Service: p.Service, From: p.From, To: p.To, Cap: p.Cap}
	}
	for _, s := range r.Shifts {
		out[shiftKey{s.Service, s.From, s.To}] = s
	}
	return out
}

// advanceShifts moves every shift towards its target share as far as its cap allows. A
// shift advances only when all routes of its service have reached their targets;
// otherwise the steps for which a route was held back would later follow all at once.
func (m *Mover) advanceShifts(in Input) []Progress {
	var out []Progress
	for k, target := range shiftTargets(in.Settings, in.Last) {
		p := in.Last.Shift(k.service, k.from, k.to)
		p.Cap = target.Cap
		if in.InForce && len(in.Load.Stale) == 0 && m.converged[k.service] {
			p.Moved += m.spendShiftCredit(k, target.Share-p.Moved)
		}
		if target.Share == 0 && p.Moved < minMoved {
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

// spendShiftCredit returns how far a shift may move of the distance that remains, and
// deducts that from its credit.
func (m *Mover) spendShiftCredit(k shiftKey, remaining float64) float64 {
	step := min(max(remaining, -m.shiftCredit[k]), m.shiftCredit[k])
	m.shiftCredit[k] -= max(step, -step)
	return step
}

// accrueShiftCredit adds the credit that every shift accrues in the elapsed time.
func (m *Mover) accrueShiftCredit(in Input, elapsed timekeeper.Millis) {
	for k, s := range shiftTargets(in.Settings, in.Last) {
		m.shiftCredit[k] = accrued(m.shiftCredit[k], s.Cap*capMargin, elapsed)
	}
}

// accrued returns credit plus what accrues at perMinute in the elapsed time, limited to
// the amount that accrues in maxAccrual.
func accrued(credit, perMinute float64, elapsed timekeeper.Millis) float64 {
	minutes := float64(elapsed) / float64(timekeeper.Minute)
	limit := perMinute * float64(maxAccrual) / float64(timekeeper.Minute)
	return min(credit+perMinute*minutes, limit)
}
