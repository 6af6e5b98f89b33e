// Package resolver is the tree of settings: root, regions, failure domains and
// services, each inheriting from the level above.
//
// A Tree holds only what operators set. Resolve turns it into the effective
// settings of every service at every site, and Explain says from which level a
// value comes. A tree is checked as a whole, and all problems are reported
// together, before any change to it is accepted.
package resolver
