package pipeliner

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// excludedFields are the header fields that the connection writes itself.
var excludedFields = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Content-Length": true}

// writeHead writes the head of the response, which must be the first of pending.
func (p *response) writeHead() {
	p.headWritten = true
	w := p.conn.writer
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(p.status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(p.status))
	_, _ = w.WriteString("\r\n")
	mustClose := p.writeFraming()
	if p.closesAfter(mustClose) {
		_, _ = w.WriteString("Connection: close\r\n")
	} else if p.request != nil && !p.request.ProtoAtLeast(1, 1) {
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
	if _, ok := p.sentHeader["Date"]; !ok {
		_, _ = w.WriteString("Date: ")
		_, _ = w.WriteString(date(p.conn.server.Clock))
		_, _ = w.WriteString("\r\n")
	}
	_ = p.sentHeader.WriteSubset(w, p.excludedFields())
	_, _ = w.WriteString("\r\n")
}

// writeFraming writes the header field that determines where the body ends. It reports
// whether the connection must be closed after the response, since only that ends the body.
func (p *response) writeFraming() (mustClose bool) {
	w := p.conn.writer
	switch {
	case p.status == http.StatusNoContent:
	case p.length >= 0:
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(p.length, 10))
		_, _ = w.WriteString("\r\n")
	case p.bodiless:
	case p.request != nil && p.request.ProtoAtLeast(1, 1):
		p.chunked = true
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		return true
	}
	return false
}

// closesAfter reports whether the connection is closed after this response. If later
// requests have been started, the last of their responses closes it instead. mustClose is
// the result of writeFraming.
func (p *response) closesAfter(mustClose bool) bool {
	c := p.conn
	mustClose = mustClose || p.last || httpguts.HeaderValuesContainsToken(p.sentHeader["Connection"], "close") || c.server.isDraining()
	read := p.discardBody()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closing = c.closing || mustClose || !read
	return c.closing && len(c.pending) == 1
}

// discardBody discards the rest of the request's body if the response is whole, and reports whether
// the body was read to its end. Until then the handler may read it, to send it to where the
// response comes from.
func (p *response) discardBody() bool {
	switch {
	case p.body == nil:
		return true
	case p.isWhole():
		return p.body.discardRest()
	}
	p.body.refuseContinue()
	return p.body.isFullyRead()
}

// excludedFields returns the fields of the handler's header that are not written in the
// head: those of the connection, and trailers.
func (p *response) excludedFields() map[string]bool {
	isTrailer := func(n string) bool { return strings.HasPrefix(n, http.TrailerPrefix) }
	names := slices.DeleteFunc(slices.Collect(maps.Keys(p.sentHeader)), func(n string) bool { return !isTrailer(n) })
	if len(names) == 0 {
		return excludedFields
	}
	all := maps.Clone(excludedFields)
	for _, n := range names {
		all[n] = true
	}
	return all
}

// writeTrailer ends a chunked body, with the trailer fields that the handler set.
func (p *response) writeTrailer() {
	w := p.conn.writer
	_, _ = w.WriteString("0\r\n")
	t := http.Header{}
	for n, v := range p.header {
		if name, ok := strings.CutPrefix(n, http.TrailerPrefix); ok {
			t[name] = v
		}
	}
	_ = t.Write(w)
	_, _ = w.WriteString("\r\n")
}
