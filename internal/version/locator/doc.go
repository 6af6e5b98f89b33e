// Package locator maps caller addresses to client blocks and their failure domains by
// longest prefix match.
//
// A table of all blocks is stored on the platform as compressed parts. A table never
// changes once built: a new version is stored under a new name.
package locator
