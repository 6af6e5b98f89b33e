// Package prober determines whether this VM reaches upstreams at all. An upstream that does not
// accept connections may have failed, or this VM may be cut off from it; if no other upstream
// accepts connections either, it is this VM that is cut off.
//
// Requests report what they see. After a failure the prober dials a few other upstreams, and
// while none accepts a connection it goes on with one small round after another, so that the end
// of a cut is noticed without requests that wait for a dial.
package prober
