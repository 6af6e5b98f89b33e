package registrar

// Distances between two sites.
const (
	SameDomain  Distance = "same domain"
	SameRegion  Distance = "same region"
	OtherRegion Distance = "other region"
	// UnknownDistance applies if either site is unknown.
	UnknownDistance Distance = "unknown"
)

// Distance is the boundary that traffic between two sites crosses: none, that of a
// failure domain or that of a region.
type Distance string

// Distance returns the distance between s and o.
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
