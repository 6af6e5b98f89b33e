// Package parser parses TOML into a flat list of settings, each with its file and line,
// so that later checks can report where a problem is.
package parser
