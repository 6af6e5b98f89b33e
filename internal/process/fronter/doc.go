// Package fronter implements an entry that sends requests directly to upstreams. It
// accepts callers' requests, answers lookups, reports readiness and shuts down
// gracefully. The embedding process supplies configuration, upstreams and members.
package fronter
