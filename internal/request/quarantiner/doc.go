// Package quarantiner identifies requests that crash the upstreams that run them, by their
// content rather than by their IDs, and keeps them from upstreams.
//
// A request becomes a suspect when an upstream terminated while running it, and is cleared by
// a complete response from any upstream. What counts is the number of consecutive runs that
// terminated their upstreams, each started by a daemon that knew of the previous one.
// Concurrent runs count as one, since the loss of a failure domain terminates innocent
// requests at many upstreams at once. At the third crash the request is quarantined: it is
// refused for a period that grows with each further crash, after which one daemon lets it
// through once as a trial.
//
// What is known of a request is a pair of counters: how often it was cleared, and its crashes
// since. Of two pairs, the one with more clearings wins and, if these are equal, the one with
// more crashes, so daemons may exchange them in any order and any number of times.
package quarantiner
