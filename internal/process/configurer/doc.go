// Package configurer reads the settings file of a daemon: what a process must
// know before it can reach anybody. Everything else is in the tree of settings.
package configurer
