// Package relayer hands requests over to other members of the fleet while this VM reaches no
// upstream itself. The member that gets a request is its helper: it sends the request to the
// upstream that it names and passes the response on.
//
// A helper only carries one attempt. The member that the caller is connected to, the entry,
// chooses the upstream, counts the attempt, takes tokens and decides on retries. A helper never
// hands a request on, so there is one hop at most.
//
// Requests are handed over as HTTP/1.1 requests between the members' internal addresses, with
// the header fields of this package, which a helper removes. Each response of a helper states an
// outcome; one without it may come from anything and proves nothing.
package relayer
