package pipeliner

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// skipped are the fields that are written by the connection and not the handler.
var skipped = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Content-Length": true}

// writeHead writes the head of the answer, whose turn it is.
func (a *answer) writeHead() {
	a.began = true
	w := a.conn.writer
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(a.status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(a.status))
	_, _ = w.WriteString("\r\n")
	ends := a.writeFraming()
	if a.closes(ends) {
		_, _ = w.WriteString("Connection: close\r\n")
	} else if a.request != nil && !a.request.ProtoAtLeast(1, 1) {
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
	if _, ok := a.fields["Date"]; !ok {
		_, _ = w.WriteString("Date: ")
		_, _ = w.WriteString(date(a.conn.server.Clock))
		_, _ = w.WriteString("\r\n")
	}
	_ = a.fields.WriteSubset(w, a.skipped())
	_, _ = w.WriteString("\r\n")
}

// writeFraming says where the body ends, and reports true if it ends with the
// connection.
func (a *answer) writeFraming() (ends bool) {
	w := a.conn.writer
	switch {
	case a.status == http.StatusNoContent:
	case a.length >= 0:
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(a.length, 10))
		_, _ = w.WriteString("\r\n")
	case a.bare:
	case a.request != nil && a.request.ProtoAtLeast(1, 1):
		a.chunked = true
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		return true
	}
	return false
}

// closes tells whether the connection ends with this answer. An answer that would end
// it lets those pass that were begun behind it: the last of them ends it.
func (a *answer) closes(ends bool) bool {
	c := a.conn
	ends = ends || a.last || httpguts.HeaderValuesContainsToken(a.fields["Connection"], "close") || c.server.leaving()
	read := a.body == nil || a.body.settle()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.unread = c.unread || !read
	c.closing = c.closing || ends || !read
	return c.closing && len(c.pending) == 1
}

// skipped are the fields that the handler's header does not write.
func (a *answer) skipped() map[string]bool {
	isTrailer := func(n string) bool { return strings.HasPrefix(n, http.TrailerPrefix) }
	names := slices.DeleteFunc(slices.Collect(maps.Keys(a.fields)), func(n string) bool { return !isTrailer(n) })
	if len(names) == 0 {
		return skipped
	}
	all := maps.Clone(skipped)
	for _, n := range names {
		all[n] = true
	}
	return all
}

// writeTrailer ends a body in chunks, with the fields that the handler set behind it.
func (a *answer) writeTrailer() {
	w := a.conn.writer
	_, _ = w.WriteString("0\r\n")
	t := http.Header{}
	for n, v := range a.header {
		if name, ok := strings.CutPrefix(n, http.TrailerPrefix); ok {
			t[name] = v
		}
	}
	_ = t.Write(w)
	_, _ = w.WriteString("\r\n")
}
