// Package registrar describes the members of a fleet and the roster objects
// that list them. There is one roster per region, which the leader of the region
// writes only when the membership changes.
package registrar
