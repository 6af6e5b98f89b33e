package forwarder

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// The headers between callers and entries.
const (
	// HeaderService names the service; without it the Host header does.
	HeaderService = "Gullvale-Service"
	// HeaderBlock is an address in the caller's client block; without it the
	// address of the connection counts.
	HeaderBlock = "Gullvale-Block"
	// HeaderDeadline is the time in milliseconds that the caller will wait.
	HeaderDeadline = "Gullvale-Deadline-Millis"
	// HeaderOutcome says what became of the request.
	HeaderOutcome = "Gullvale-Outcome"
	// HeaderReason says why, when it was not answered.
	HeaderReason = "Gullvale-Reason"
	// HeaderUpstream and HeaderEntry say who served it.
	HeaderUpstream = "Gullvale-Upstream"
	HeaderEntry    = "Gullvale-Entry"
	// HeaderRetryAfter says in milliseconds when to come back.
	HeaderRetryAfter = "Gullvale-Retry-After-Millis"
)

// hopHeaders speak of one connection only.
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

// ownHeaders are for the entry and not for the upstream.
var ownHeaders = []string{HeaderService, HeaderBlock, HeaderDeadline, HeaderFirstTry}

// requestHeader returns the fields that go on to the upstream.
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
		// Nil keeps the transport from adding its own.
		h["User-Agent"] = nil
	}
	return h
}

// RemoveHop deletes the fields of one connection, those that the Connection
// field names included.
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
