package assigner

import (
	"slices"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// MaxFormerHomes is the number of upstreams besides its home that a key is remembered to have
// run at. An upstream caches a few dozen keys, several times the number it is home to, so a
// key that must leave its home mostly finds an upstream that still knows it among its last
// three. As in Hint-K (k-step hints for multi-level caches), a short history of moves predicts
// better than the latest one alone. Without a history, a key that must leave goes to the least
// loaded upstream, for three times the work. The entries have no age limit, since one made no
// difference.
const MaxFormerHomes = 3

// formerHomes are hashes of upstreams, the latest first; 0 marks an unused element.
type formerHomes [MaxFormerHomes]hasher.Hash

// record moves an upstream to the front, or adds it there.
func (f *formerHomes) record(upstream hasher.Hash) {
	i := slices.Index(f[:], upstream)
	if i < 0 {
		i = MaxFormerHomes - 1
	}
	copy(f[1:i+1], f[:i])
	f[0] = upstream
}

// contains reports whether the list has an upstream.
func (f *formerHomes) contains(upstream hasher.Hash) bool {
	return slices.Contains(f[:], upstream)
}

// Former appends to l the upstreams other than its home that ran a key recently.
func (a *Assigner) Former(l []*cataloger.Upstream, key hasher.Hash, all *cataloger.Pool, allowed func(region string) bool) []*cataloger.Upstream {
	a.lock.Lock()
	defer a.lock.Unlock()
	if h := a.homes[key]; h != nil {
		l = a.formerUpstreams(l, h, all, allowed)
	}
	return l
}

// IsFormerHome reports whether an upstream other than its home ran a key recently.
func (a *Assigner) IsFormerHome(key hasher.Hash, u *cataloger.Upstream) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	h := a.homes[key]
	return h != nil && h.formerHomes.contains(u.Hash())
}

// RecordVisit records that a key runs at an upstream that is not its home.
func (a *Assigner) RecordVisit(key hasher.Hash, u *cataloger.Upstream) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if h := a.homes[key]; h != nil && h.upstream != u.Hash() {
		h.formerHomes.record(u.Hash())
	}
}

// formerUpstreams appends to l the upstreams other than the home h that are likely to know the
// key.
func (a *Assigner) formerUpstreams(l []*cataloger.Upstream, h *home, all *cataloger.Pool, allowed func(string) bool) []*cataloger.Upstream {
	if a.Without.Has(switcher.FormerHomes) {
		return l
	}
	for _, f := range h.formerHomes {
		if f == 0 || f == h.upstream {
			continue
		}
		if u := findUpstream(all, f, allowed); u != nil {
			l = append(l, u)
		}
	}
	return l
}
