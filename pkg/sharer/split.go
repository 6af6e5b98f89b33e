package sharer

import (
	"slices"
	"strings"

	"github.com/gullvale/gullvale/pkg/hasher"
)

// Whole is the share of the entire key space.
const Whole Share = 1 << 20

type (
	// Share is a fraction in fixed point, in units of 1/Whole.
	Share uint32

	// Part is the share of a site.
	Part struct {
		Site  string
		Share Share
	}

	// Split lists the shares of all sites, ordered by site. They add up to
	// Whole.
	Split []Part

	// Chooser maps keys to the sites of a traffic split. It is created by
	// NewChooser; the zero value has no sites.
	Chooser struct {
		sites    []string
		hashes   []hasher.Hash
		inverses []float64
	}
)

// Fraction returns s as a fraction from 0 to 1.
func (s Share) Fraction() float64 {
	return float64(s) / float64(Whole)
}

// FromFraction clamps f to the range from 0 to 1 and rounds it to a share.
func FromFraction(f float64) Share {
	return Share(min(max(f, 0), 1)*float64(Whole) + 0.5)
}

// Of returns the share of site, or 0 if it has none.
func (d Split) Of(site string) Share {
	for _, p := range d {
		if p.Site == site {
			return p.Share
		}
	}
	return 0
}

// Total returns the sum of the shares of d.
func (d Split) Total() Share {
	var t Share
	for _, p := range d {
		t += p.Share
	}
	return t
}

// Proportional splits Whole in proportion to weights, which need not be
// normalised. The rounding remainder goes to the largest part, so the total is
// exact. It returns nil if no weight is positive.
func Proportional[S ~string](weights map[S]float64) Split {
	var sum float64
	for _, w := range weights {
		sum += max(w, 0)
	}
	if sum <= 0 {
		return nil
	}
	var d Split
	for s, w := range weights {
		if w > 0 {
			d = append(d, Part{Site: string(s), Share: Share(w / sum * float64(Whole))})
		}
	}
	d.sort()
	d.assignRemainder()
	return d
}

// Distance returns the share that differs between d and e, which is the fraction
// of keys that must move to get from one to the other.
func (d Split) Distance(e Split) Share {
	var moved Share
	for _, p := range e {
		if o := d.Of(p.Site); p.Share > o {
			moved += p.Share - o
		}
	}
	return moved
}

// Toward returns a traffic split that is closer to target than d by at most step.
func (d Split) Toward(target Split, step Share) Split {
	distance := d.Distance(target)
	if distance <= step {
		return slices.Clone(target)
	}
	f := float64(step) / float64(distance)
	w := map[string]Share{}
	for _, p := range d {
		w[p.Site] = p.Share
	}
	for _, p := range target {
		if _, ok := w[p.Site]; !ok {
			w[p.Site] = 0
		}
	}
	var out Split
	for s, current := range w {
		change := float64(target.Of(s)) - float64(current)
		out = append(out, Part{Site: s, Share: Share(float64(current) + change*f)})
	}
	out = slices.DeleteFunc(out, func(p Part) bool { return p.Share == 0 })
	out.sort()
	out.assignRemainder()
	return out
}

func (d Split) sort() {
	slices.SortFunc(d, func(a, b Part) int { return strings.Compare(a.Site, b.Site) })
}

// assignRemainder adds the remainder of rounding down to the largest part.
func (d Split) assignRemainder() {
	if len(d) == 0 {
		return
	}
	largest := 0
	for i, p := range d {
		if p.Share > d[largest].Share {
			largest = i
		}
	}
	d[largest].Share += Whole - d.Total()
}

// NewChooser returns a Chooser for d.
func NewChooser(d Split) Chooser {
	var c Chooser
	for _, p := range d {
		if p.Share == 0 {
			continue
		}
		c.sites = append(c.sites, p.Site)
		c.hashes = append(c.hashes, hasher.OfString(p.Site))
		c.inverses = append(c.inverses, 1/p.Share.Fraction())
	}
	return c
}

// Choose returns the site of key, or "" if there are no sites. It does not
// allocate.
func (c *Chooser) Choose(key hasher.Hash) string {
	i := c.Index(key)
	if i < 0 {
		return ""
	}
	return c.sites[i]
}

// Index returns the index in Sites of the site of key, or -1 if there are no sites.
func (c *Chooser) Index(key hasher.Hash) int {
	if len(c.sites) <= 1 {
		return len(c.sites) - 1
	}
	best := 0
	nearest := hasher.Distance(key, c.hashes[0], c.inverses[0])
	for i := 1; i < len(c.sites); i++ {
		if d := hasher.Distance(key, c.hashes[i], c.inverses[i]); d < nearest {
			best, nearest = i, d
		}
	}
	return best
}

// Sites returns the sites with a positive share, in order.
func (c *Chooser) Sites() []string {
	return c.sites
}
