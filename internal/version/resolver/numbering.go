package resolver

import (
	"slices"

	"github.com/gullvale/gullvale/pkg/registrar"
)

// Numbering numbers the services and sites of one version of the settings, from 1
// up in the order of their names. Two processes that run the same version number
// them alike, so that they need not send names. 0 stands for what is unknown.
type Numbering struct {
	services []ServiceName
	sites    []registrar.Site
}

// Numbering returns the numbers of r.
func (r *Resolved) Numbering() Numbering {
	return Numbering{services: r.Services, sites: r.Sites}
}

// ServiceNumber returns the number of a service.
func (n Numbering) ServiceNumber(s ServiceName) uint32 {
	return numberOf(n.services, s)
}

// SiteNumber returns the number of a site.
func (n Numbering) SiteNumber(s registrar.Site) uint32 {
	return numberOf(n.sites, s)
}

// Service returns the service of a number, "" for none.
func (n Numbering) Service(i uint32) ServiceName {
	return nameOf(n.services, i)
}

// Site returns the site of a number, "" for none.
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
