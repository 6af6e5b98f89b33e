// Package parser reads TOML into a flat list of settings, each with the file
// and line it stands on, so that every later check can say where the fault is.
package parser
