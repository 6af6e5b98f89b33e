// Package caller generates an open-loop load of callers that use the finder
// library. It checks every response against its request and keeps accounts that
// can be compared with the journals of the stand-in upstreams.
package caller
