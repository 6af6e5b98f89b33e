// Package applier applies the log of changes to the tree of settings. It applies each
// change once and in order; the number of the state never decreases.
package applier
