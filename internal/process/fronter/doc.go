// Package fronter is an entry that sends straight to upstreams: it takes callers'
// requests, answers look-ups, tells whether it is ready, and stops without
// cutting a request. Where configuration, upstreams and members come from is up
// to whoever fills them in.
package fronter
