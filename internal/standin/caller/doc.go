// Package caller is an open-loop load of callers over the finder library. It
// checks every answer against its own request and keeps accounts that can be
// compared with the journals of the stand-in upstreams.
package caller
