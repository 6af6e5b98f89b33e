// Package director chooses which entries a look-up names: those that take
// requests, nearest to the caller first.
package director
