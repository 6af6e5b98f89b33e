package dispatcher

import (
	"slices"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// maxCandidates bounds the upstreams considered for a request: its key's home, those that ran
// the key before, those that the key's hash prefers, and as many replacements if none of these
// can be reached.
const maxCandidates = 1 + assigner.MaxFormerHomes + 2*placer.MaxCandidates

// chooseUpstream chooses the upstream of the next attempt and the way to it. Requests are handed
// over while this VM reaches no upstream, and if it reaches none of those that may run the
// request.
func (x *exchange) chooseUpstream() (*cataloger.Upstream, placer.Verdict) {
	x.decision.Placement = assigner.Placement{}
	if !x.resolve() {
		return nil, placer.Gone
	}
	x.helper, x.helperNear, x.sawDown = nil, false, false
	if x.d.isCut() || len(x.unreached) > 0 && x.d.Reach != nil && x.d.Reach.Doubtful() {
		x.helper = x.chooseHelper()
	}
	u, verdict := x.chooseOnPath()
	if u != nil && x.helper == nil {
		x.helper = x.chooseNear(u)
		x.helperNear = x.helper != nil
	}
	if u != nil || x.helper != nil || !x.sawDown {
		return u, verdict
	}
	if x.helper = x.chooseHelper(); x.helper == nil {
		return nil, verdict
	}
	return x.chooseOnPath()
}

// chooseOnPath chooses the upstream of an attempt that goes directly or over the helper.
func (x *exchange) chooseOnPath() (*cataloger.Upstream, placer.Verdict) {
	s := x.d.Catalog()
	x.decision.Catalog = s.Change
	all := s.ByService(x.service)
	var space [maxCandidates]*cataloger.Upstream
	list := space[:0]
	if x.hasHome() {
		x.selectHomeKey(all)
		home := x.home(all)
		if home == nil {
			return nil, placer.Gone
		}
		list = append(list, home)
		// Most requests are placed here, without a search for more candidates.
		state := x.state(home)
		state.KnowsKey = true
		p := x.placer()
		if p.Check(state, x.hasTopRank()) == placer.Accepts && p.InTime(state) && x.acquireWarmupRoom(home) {
			x.recordChoice(home, state)
			x.recordPlacement(home)
			return home, placer.Accepts
		}
		list = x.d.Homes.Former(list, x.key, all, x.allowsRegion)
	}
	known := len(list)
	list = x.appendCandidates(list, all, nil)
	var states [maxCandidates]placer.State
	if !x.fillStates(list, states[:], known) {
		// Terminated upstreams stay in the catalog while the store is unavailable. Daemons
		// that know of the same terminated upstreams agree on the replacements, since the
		// key's hash orders them.
		list = x.appendCandidates(list, all, x.usable)
		x.fillStates(list, states[:], known)
	}
	for {
		i, verdict := x.pickCandidate(list, states[:len(list)])
		switch {
		case i >= 0 && x.acquireWarmupRoom(list[i]):
			x.recordChoice(list[i], states[i])
			x.recordPlacement(list[i])
			if x.hasHome() {
				x.d.Homes.RecordVisit(x.key, list[i])
			}
			return list[i], placer.Accepts
		case i >= 0:
			// Another request took the last warm-up room after the states were read.
			states[i].Cold = true
			continue
		case len(list) > 0:
			// The decision on a refusal names the first choice, which the verdict is about.
			x.recordChoice(list[0], states[0])
		}
		return nil, verdict
	}
}

// home returns the home of the request's key. It keeps the reason for that placement, since
// the reason applies to all attempts of the request.
func (x *exchange) home(all *cataloger.Pool) *cataloger.Upstream {
	p := x.d.Homes.Home(x.key, x.homeRequest(), all)
	if p.Reason != assigner.AtHome || p.Upstream != x.homePlacement.Upstream {
		x.homePlacement = p
	}
	return p.Upstream
}

// homeRequest returns the properties of the request that determine where its key may have its
// home.
func (x *exchange) homeRequest() assigner.Request {
	return assigner.Request{Service: x.service, Route: x.route.Name, Objective: x.route.Objective, Domain: x.homeDomain, Allowed: x.allowsRegion}
}

// recordChoice records the chosen upstream and the load that was known of it.
func (x *exchange) recordChoice(u *cataloger.Upstream, s placer.State) {
	x.decision.Upstream, x.decision.Site = u.ID, u.Site
	x.decision.Load, x.decision.Own = s.Reported, s.Own
	x.recordExpected(s)
}

// acquireWarmupRoom takes warm-up room for the request if the upstream is cold, and reports
// false if none is left. It is called only for the upstream that the request is sent to:
// requests that merely consider a cold upstream must not use up its room.
func (x *exchange) acquireWarmupRoom(u *cataloger.Upstream) bool {
	return !u.Cold(x.d.Clock.Now()) || x.d.AcquireWarmupRoom != nil && x.d.AcquireWarmupRoom(u, x.d.Upstreams.StateOf(u))
}

// pickCandidate returns the index of the chosen candidate, or -1 if there is none. If the
// key's home is full, the key moves to the chosen upstream. If it cannot move, for example
// because the rate of moves is used up, the request is refused or, with waiting switched off,
// runs there without a move.
func (x *exchange) pickCandidate(list []*cataloger.Upstream, states []placer.State) (int, placer.Verdict) {
	if !x.hasHome() {
		return x.placer().Choose(states, x.hasTopRank())
	}
	i, verdict, move := x.placer().ChooseWithHome(states, x.hasTopRank())
	if !move {
		return i, verdict
	}
	p := x.d.Homes.Move(x.key, list[i])
	switch {
	case p.Upstream != nil:
		x.homePlacement = p
	case !x.d.Without.Has(switcher.Waiting):
		return -1, verdict
	}
	return i, verdict
}

// fillStates sets the states of the candidates, the first known of which have run the
// request's key, and reports whether any candidate is believed to be reachable.
func (x *exchange) fillStates(list []*cataloger.Upstream, states []placer.State, known int) bool {
	reachable := false
	for i, u := range list {
		states[i] = x.state(u)
		states[i].KnowsKey = i < known
		reachable = reachable || states[i].Reachable()
	}
	return reachable
}

// allowsSite reports whether route and organisation allow the request to run at a site.
func (x *exchange) allowsSite(site registrar.Site) bool {
	return x.allowsRegion(site.Region())
}

// usable reports whether u is reachable and, if it is cold, has warm-up room.
func (x *exchange) usable(u *cataloger.Upstream) bool {
	s := x.state(u)
	return s.Reachable() && !s.Cold
}

// appendCandidates appends to l, which may hold the key's home, those allowed upstreams accepted by
// accept that the hash of the request's key prefers. Nil accepts all.
func (x *exchange) appendCandidates(l []*cataloger.Upstream, all *cataloger.Pool, accept func(*cataloger.Upstream) bool) []*cataloger.Upstream {
	var space [placer.MaxCandidates]*cataloger.Upstream
	for _, u := range placer.CandidatesWhere(space[:0], x.placementKey(), all, x.allowsSite, accept) {
		if !slices.Contains(l, u) && len(l) < cap(l) {
			l = append(l, u)
		}
	}
	return l
}

// hasHome reports whether the request is placed by the home of its key.
func (x *exchange) hasHome() bool {
	return x.d.Homes != nil && !x.d.Without.Has(switcher.Homes) && x.route.Sticky && x.decision.Key != "" && !x.isolated()
}

func (x *exchange) state(u *cataloger.Upstream) placer.State {
	t := x.d.Upstreams.StateOf(u)
	s := t.State(u, x.path(t))
	x.sawPause = x.sawPause || s.Paused
	x.sawDown = x.sawDown || s.Down
	again := x.lostWithHelper == u.Incarnation() || x.refusedWithCapacity(u, s)
	s.Attempted = slices.Contains(x.attempted, u.Incarnation()) && !again || x.failedToDial(u)
	if !s.Attempted && u.Cold(x.d.Clock.Now()) {
		s.Cold = x.d.HasWarmupRoom == nil || !x.d.HasWarmupRoom(u, t)
	}
	return s
}

// failedToDial reports whether an attempt at u failed to connect and there is no back-off.
// Otherwise the request would try u until its time is over.
func (x *exchange) failedToDial(u *cataloger.Upstream) bool {
	return (x.d.Without.Has(switcher.BackOff) || x.onlyKept()) && slices.Contains(x.unreached, u.Incarnation())
}

// refusedWithCapacity reports whether u, which knows the request's key, refused the request
// although it has free slots. It is as likely as any other upstream to accept the next
// attempt, and needs a third of the work that another one does.
func (x *exchange) refusedWithCapacity(u *cataloger.Upstream, s placer.State) bool {
	return x.refusedBy == u.Incarnation() && !x.d.Without.Has(switcher.RefusedStay) && x.hasHome() && s.Reported < float64(s.Slots)
}
