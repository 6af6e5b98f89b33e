// Package locator maps the addresses of callers to client blocks and their
// failure domains, by longest prefix.
//
// A table of all blocks is kept in the platform's store as compressed parts, and
// is replaced whole under a new name. It is never changed once built.
package locator
