package dispatcher

import (
	"slices"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// maxCandidates is how many upstreams are looked at for a request: its key's home, those
// that ran the key before, those that the key's hash prefers, and as many in their place if
// none of them can be reached.
const maxCandidates = 1 + assigner.FormerLength + 2*placer.ListLength

// choose picks the upstream of the next sending.
func (x *exchange) choose() (*cataloger.Upstream, placer.Verdict) {
	x.decision.Placement = assigner.Placement{}
	if !x.resolve() {
		return nil, placer.Gone
	}
	s := x.d.Catalog()
	x.decision.Catalog = s.Change
	all := s.Of(x.part)
	var space [maxCandidates]*cataloger.Upstream
	list := space[:0]
	if x.homed() {
		x.bindKey(all)
		home := x.home(all)
		if home == nil {
			return nil, placer.Gone
		}
		list = append(list, home)
		// Nearly all requests end here. To look for more candidates takes time in
		// proportion to the upstreams of the service.
		state := x.state(home)
		state.Knows = true
		if x.d.placer().Judge(state, x.urgent()) == placer.Fit && x.warm(home) {
			x.take(home, state)
			x.place(home)
			return home, placer.Fit
		}
		list = x.d.Homes.Former(list, x.key, all, x.allowed)
	}
	known := len(list)
	list = x.candidates(list, all, x.allows)
	var states [maxCandidates]placer.State
	if !x.judge(list, states[:], known) {
		// Ended upstreams stay listed while the store is out. Daemons that know the same of
		// them agree on the next ones by the hash of the key.
		list = x.candidates(list, all, x.takes)
		x.judge(list, states[:], known)
	}
	for {
		i, verdict := x.pick(list, states[:len(list)])
		switch {
		case i >= 0 && x.warm(list[i]):
			x.take(list[i], states[i])
			x.place(list[i])
			if x.homed() {
				x.d.Homes.Visit(x.key, list[i])
			}
			return list[i], placer.Fit
		case i >= 0:
			// Another request has just taken the room that there was.
			states[i].Cold = true
			continue
		case len(list) > 0:
			// What is logged of a refusal is the first choice, which the verdict is of.
			x.take(list[0], states[0])
		}
		return nil, verdict
	}
}

// home returns the home of the request's key, and keeps the reason why it is that one: what
// is done for a request holds for all its sendings.
func (x *exchange) home(all []*cataloger.Upstream) *cataloger.Upstream {
	p := x.d.Homes.Home(x.key, x.asked(), all)
	if p.Reason != assigner.AtHome || p.Upstream != x.homePlacement.Upstream {
		x.homePlacement = p
	}
	return p.Upstream
}

// asked is what decides where the request's key may live.
func (x *exchange) asked() assigner.Request {
	return assigner.Request{Service: x.part, Route: x.route.Name, Objective: x.route.Objective, Allowed: x.allowed}
}

// take notes what was known of an upstream when it was chosen.
func (x *exchange) take(u *cataloger.Upstream, s placer.State) {
	x.decision.Upstream, x.decision.Site = u.ID, u.Site
	x.decision.Load, x.decision.Own = s.Reported, s.Own
}

// warm takes room for the request at an upstream that is cold. Room is taken for what
// is sent only: requests that looked at a cold upstream and went elsewhere used to
// take it as well.
func (x *exchange) warm(u *cataloger.Upstream) bool {
	return !u.Cold(x.d.Clock.Now()) || x.d.Warm != nil && x.d.Warm(u, x.d.Upstreams.Of(u))
}

// pick chooses among the candidates, and moves the key if that is the choice. Only a
// few keys may move in a second.
func (x *exchange) pick(list []*cataloger.Upstream, states []placer.State) (int, placer.Verdict) {
	if !x.homed() {
		return x.d.placer().Choose(states, x.urgent())
	}
	i, verdict, move := x.d.placer().ChooseHomed(states, x.urgent())
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

// judge notes the states of the candidates, of which the first know the request's key, and
// tells whether any of them can be reached as far as is known.
func (x *exchange) judge(list []*cataloger.Upstream, states []placer.State, known int) bool {
	reachable := false
	for i, u := range list {
		states[i] = x.state(u)
		states[i].Knows = i < known
		reachable = reachable || states[i].Reachable()
	}
	return reachable
}

// allows tells whether the request may run at u by its route and organisation.
func (x *exchange) allows(u *cataloger.Upstream) bool {
	return x.allowed(u.Site.Region())
}

// takes tells whether u is allowed, can be reached and is not too cold. It costs much more
// than allows.
func (x *exchange) takes(u *cataloger.Upstream) bool {
	if !x.allows(u) {
		return false
	}
	s := x.state(u)
	return s.Reachable() && !s.Cold
}

// candidates adds to l, which may hold the key's home, the upstreams that the hash of the
// request's key prefers among those that take it.
func (x *exchange) candidates(l, all []*cataloger.Upstream, take func(*cataloger.Upstream) bool) []*cataloger.Upstream {
	var space [placer.ListLength]*cataloger.Upstream
	for _, u := range placer.ListOf(space[:0], x.placeKey(), all, take) {
		if !slices.Contains(l, u) && len(l) < cap(l) {
			l = append(l, u)
		}
	}
	return l
}

// homed tells whether the request's key has a home that is worth keeping to.
func (x *exchange) homed() bool {
	return x.d.Homes != nil && !x.d.Without.Has(switcher.Homes) && x.route.Sticky && x.decision.Key != "" && !x.careful()
}

func (x *exchange) state(u *cataloger.Upstream) placer.State {
	t := x.d.Upstreams.Of(u)
	s := t.State(u)
	s.Tried = slices.Contains(x.tried, u.Incarnation()) && !x.refusedWithRoom(u, s) || x.missed(u)
	if !s.Tried && u.Cold(x.d.Clock.Now()) {
		s.Cold = x.d.MayWarm == nil || !x.d.MayWarm(u, t)
	}
	return s
}

// missed tells whether the request was not sent to an upstream that has no back-off
// either. Without this the request would dial it until its time is over.
func (x *exchange) missed(u *cataloger.Upstream) bool {
	return x.d.Without.Has(switcher.BackOff) && slices.Contains(x.unreached, u.Incarnation())
}

// refusedWithRoom tells whether an upstream that knows the request's key refused it
// though not all its slots are taken. It is as likely as any to take the request the
// next time, and needs a third of the work that another one does.
func (x *exchange) refusedWithRoom(u *cataloger.Upstream, s placer.State) bool {
	return x.refusedBy == u.Incarnation() && !x.d.Without.Has(switcher.RefusedStay) && x.homed() && s.Reported < float64(s.Slots)
}
