package resolver

import (
	"slices"

	"github.com/gullvale/gullvale/pkg/registrar"
)

// Numbering assigns numbers to the services and sites of one version of the settings,
// from 1 in the order of their names. Processes with the same version assign the same
// numbers, so they can exchange numbers instead of names. 0 means unknown.
type Numbering struct {
	services []ServiceName
	sites    []registrar.Site
}

// Numbering returns the numbering of r.
func (r *Resolved) Numbering() Numbering {
	return Numbering{services: r.Services, sites: r.Sites}
}

// ServiceNumber returns the number of a service, or 0 if it is unknown.
func (n Numbering) ServiceNumber(s ServiceName) uint32 {
	return numberOf(n.services, s)
}

// SiteNumber returns the number of a site, or 0 if it is unknown.
func (n Numbering) SiteNumber(s registrar.Site) uint32 {
	return numberOf(n.sites, s)
}

// Service returns the service with number i, or "" if there is none.
func (n Numbering) Service(i uint32) ServiceName {
	return nameOf(n.services, i)
}

// Site returns the site with number i, or "" if there is none.
func (n Numbering) Site(i uint32) registrar.Site {
	return nameOf(n.sites, i)
}

func numberOf[T ~string](list []T, name T) uint32 {
	i, ok := slices.BinarySearch(list, name)
	if !ok {
		return 0
	}
	return uint32(i + 1)
}

func nameOf[T ~string](list []T, i uint32) T {
	if i == 0 || int64(i) > int64(len(list)) {
		return ""
	}
	return list[i-1]
}
