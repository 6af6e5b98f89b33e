// Package matcher holds one accepted configuration of routes and finds the route of a
// request: by host, and among the routes of a host by the longest path prefix. A Config
// is immutable; a new version is a new Config.
package matcher
