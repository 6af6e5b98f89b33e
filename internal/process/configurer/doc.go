// Package configurer reads the settings file of a daemon, which holds what a process
// needs before it can reach the platform or other daemons. All other settings are in
// the tree of settings.
package configurer
