// Package resolver implements the tree of settings: root, regions, failure domains and
// services, each of which inherits from the levels above.
//
// A Tree holds only the values that operators have set. Resolve computes the effective
// settings of every service at every site, and Explain reports the level at which each
// value is set. Before a change is accepted, the whole resulting tree is checked and
// all problems are reported together.
package resolver
