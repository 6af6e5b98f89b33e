package registrar

// The distances between two sites.
const (
	SameDomain  Distance = "same domain"
	SameRegion  Distance = "same region"
	OtherRegion Distance = "other region"
	// UnknownDistance is that to a place whose site is not known.
	UnknownDistance Distance = "unknown"
)

// Distance says what bytes between two sites cross: nothing, the bounds of a failure
// domain, or those of a region.
type Distance string

// Distance returns how far s is from o.
func (s Site) Distance(o Site) Distance {
	switch {
	case s == "" || o == "":
		return UnknownDistance
	case s == o:
		return SameDomain
	case s.Region() == o.Region():
		return SameRegion
	}
	return OtherRegion
}
