// Package registrar describes the members of a fleet and the roster objects
// that list them, one roster a region, written by the region's lead when the
// membership changes and at no other time.
package registrar
