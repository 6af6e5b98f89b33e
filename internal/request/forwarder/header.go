package forwarder

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields between callers and entries.
const (
	// HeaderService names the service. If it is absent, the Host header selects the service.
	HeaderService = "Gullvale-Service"
	// HeaderBlock is an address in the caller's client block. The default is the address of
	// the connection.
	HeaderBlock = "Gullvale-Block"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "Gullvale-Deadline-Millis"
	// HeaderOutcome is the outcome of the request.
	HeaderOutcome = "Gullvale-Outcome"
	// HeaderReason is the reason why the request was not answered.
	HeaderReason = "Gullvale-Reason"
	// HeaderUpstream and HeaderEntry name the upstream and entry that served the request.
	HeaderUpstream = "Gullvale-Upstream"
	HeaderEntry    = "Gullvale-Entry"
	// HeaderRetryAfter is how long the caller should wait before it retries, in milliseconds.
	HeaderRetryAfter = "Gullvale-Retry-After-Millis"
)

// hopHeaders are the hop-by-hop header fields.
var hopHeaders = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// ownHeaders are addressed to the entry and not forwarded to the upstream.
var ownHeaders = []string{HeaderService, HeaderBlock, HeaderDeadline, HeaderFirstTry}

// requestHeader returns the header fields to send to the upstream.
func requestHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	RemoveHop(h)
	for _, n := range ownHeaders {
		h.Del(n)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err == nil {
		h["X-Forwarded-For"] = []string{strings.Join(append(h["X-Forwarded-For"], host), ", ")}
	}
	if _, ok := h["User-Agent"]; !ok {
		// Nil keeps the transport from adding a User-Agent of its own.
		h["User-Agent"] = nil
	}
	return h
}

// RemoveHop deletes the hop-by-hop fields, including those that the Connection field names.
func RemoveHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, n := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
}
