// Package director chooses the entries that a lookup returns: ready ones, in the caller's
// region if it has any.
package director
