package relayer

import (
	"math"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxShare is the inverse of the part of a helper's capacity that one member uses at most:
	// others hand requests over as well.
	maxShare = 4

	// nearLifetime is how long the choice of a member near a site holds.
	nearLifetime = 250 * timekeeper.Millis(1)

	// nearBackOff is how long requests to a site are sent directly after a helper there was lost: until
	// it is known which members are gone with it.
	nearBackOff = 3 * timekeeper.Second

	// maxSilence is how long a helper with requests in flight may send no response: a few times
	// the usual run time.
	maxSilence = 1000 * timekeeper.Millis(1)
)

// Near returns the member through which requests reach upstreams at a site of another region, or
// nil if there is none. The requests of one VM to a site take the same member, so that their
// connections stay open, and different VMs take different ones of the strong members. Members of the
// upstream's failure domain come before others of its region.
func (r *Relayer) Near(site registrar.Site) *Helper {
	now := r.Clock.Now()
	r.lock.Lock()
	c := r.near[site]
	r.lock.Unlock()
	if now < c.until && (c.helper == nil || c.helper.takesMore()) {
		return c.helper
	}
	c = nearChoice{r.chooseNear(site), now + nearLifetime}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.setNear(site, c)
	return c.helper
}

// AvoidNear makes Near return no helper for a site for a while. A domain that is lost takes all of its
// members with it, and trying one after the other would cost each request more than a dial.
func (r *Relayer) AvoidNear(site registrar.Site) {
	until := r.Clock.Now() + nearBackOff
	r.lock.Lock()
	defer r.lock.Unlock()
	r.setNear(site, nearChoice{until: until})
}

// setNear sets the choice for a site. The caller must hold the lock.
func (r *Relayer) setNear(site registrar.Site, c nearChoice) {
	if r.near == nil {
		r.near = map[registrar.Site]nearChoice{}
	}
	r.near[site] = c
}

// chooseNear makes the choice for Near, which takes time proportional to the number of members.
func (r *Relayer) chooseNear(site registrar.Site) *Helper {
	self := r.Self()
	var inDomain, inRegion []*Helper
	for _, m := range r.Members() {
		if !m.Ready || !m.Relays || m.Cut || m.Leaving || m.Name == self.Name || m.Site.Region() != site.Region() {
			continue
		}
		h := r.helper(m)
		switch {
		case !h.takesMore():
		case m.Site == site:
			inDomain = append(inDomain, h)
		default:
			inRegion = append(inRegion, h)
		}
	}
	if len(inDomain) == 0 {
		inDomain = inRegion
	}
	return closest(hasher.OfString(self.Name), inDomain)
}

// closest returns the helper for a member by rendezvous, in proportion to their strengths. Those with
// less than half of the strongest one's are left out: a body takes longer over their links than a
// dial.
func closest(member hasher.Hash, list []*Helper) *Helper {
	strongest := uint32(0)
	for _, h := range list {
		strongest = max(strongest, h.Strength)
	}
	var best *Helper
	minDistance := math.Inf(1)
	for _, h := range list {
		if h.Strength < strongest/2 {
			continue
		}
		if d := hasher.Distance(member, hasher.OfString(h.Name), 1/float64(max(h.Strength, 1))); d < minDistance {
			best, minDistance = h, d
		}
	}
	return best
}

// takesMore reports whether the helper is not avoided and has room.
func (h *Helper) takesMore() bool {
	return !h.avoided() && h.hasRoom()
}

// hasRoom reports whether the helper takes one more request of this member. One that has been silent
// for maxSilence with requests in flight may be cut off: it gets no more, as a dial finds that out
// sooner.
func (h *Helper) hasRoom() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.inFlight == 0 {
		return true
	}
	return h.inFlight*maxShare < int(h.Strength) && h.clock.Now()-h.quietSince < maxSilence
}
