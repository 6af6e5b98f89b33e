// Package quarantiner recognises requests that crash the upstreams that run them, by what
// they are and not by their ids, and keeps them from upstreams.
//
// A request becomes a suspect when an upstream ended while it ran there, and is cleared by a
// whole answer from any upstream. What counts is how many runs in a row ended their
// upstreams, each begun by a daemon that knew of the one before. Runs at the same time count
// as one, since the loss of a failure domain ends innocent requests at many upstreams at once.
// With the third the request is in quarantine: it is refused for a time that grows with each
// crash, after which one daemon lets it through once.
//
// What is known of a request is a pair of counters of which the larger wins, so daemons may
// tell each other in any order and as often as they like.
package quarantiner
