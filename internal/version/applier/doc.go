// Package applier turns the log of changes into the tree of settings in force.
// It applies each change once and in order; its number never goes down.
package applier
