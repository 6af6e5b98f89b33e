package assigner

import (
	"slices"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// FormerLength is how many upstreams beside its home a key is remembered to have run at.
// An upstream remembers a few dozen keys, several times what it is home to, so a key that
// has to leave its home mostly finds one that knows it among the last three: a short
// history of moves tells more than the latest one alone, as in Hint-K (k-step hints for
// multi-level caches). Without it a key that left went to the least loaded upstream, for
// three times the work: +0.0025 ± 0.0009 of the value of what was asked, in 24 paired days
// with trouble and load. How long ago the key ran there makes no difference: limits of 8 s,
// 30 s and none gave +0.0020, +0.0022 and +0.0029, ± 0.0012, in 36 days.
const FormerLength = 3

// former are upstreams by their hashes, the latest first.
type former [FormerLength]hasher.Hash

// note puts an upstream first.
func (f *former) note(upstream hasher.Hash) {
	i := slices.Index(f[:], upstream)
	if i < 0 {
		i = FormerLength - 1
	}
	copy(f[1:i+1], f[:i])
	f[0] = upstream
}

// has tells whether an upstream is one of them.
func (f *former) has(upstream hasher.Hash) bool {
	return slices.Contains(f[:], upstream)
}

// Former appends to l the upstreams that ran a key lately beside its home.
func (a *Assigner) Former(l []*cataloger.Upstream, key hasher.Hash, all []*cataloger.Upstream, allowed func(region string) bool) []*cataloger.Upstream {
	a.lock.Lock()
	defer a.lock.Unlock()
	if h := a.homes[key]; h != nil {
		l = a.known(l, h, all, allowed)
	}
	return l
}

// Knows tells whether a key ran lately at an upstream beside its home.
func (a *Assigner) Knows(key hasher.Hash, u *cataloger.Upstream) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	h := a.homes[key]
	return h != nil && h.former.has(u.Hash())
}

// Visit notes that a key runs at an upstream that is not its home.
func (a *Assigner) Visit(key hasher.Hash, u *cataloger.Upstream) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if h := a.homes[key]; h != nil && h.upstream != u.Hash() {
		h.former.note(u.Hash())
	}
}

// known appends to l the upstreams that are likely to know a key beside its home h.
func (a *Assigner) known(l []*cataloger.Upstream, h *home, all []*cataloger.Upstream, allowed func(string) bool) []*cataloger.Upstream {
	if a.Without.Has(switcher.FormerHomes) {
		return l
	}
	for _, f := range h.former {
		if f == 0 || f == h.upstream {
			continue
		}
		if u := find(all, f, allowed); u != nil {
			l = append(l, u)
		}
	}
	return l
}
