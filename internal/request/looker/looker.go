package looker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
)

// Path is where look-ups are asked.
const Path = "/Lookup"

type (
	// Looker answers look-ups. Set the exported fields before use.
	Looker struct {
		Snapshot func() *steerer.Snapshot
		Meter    *measurer.Meter
	}

	// Problem is the answer to a look-up that has none.
	Problem struct {
		// Parameter names what is wrong, "" when it is not the question.
		Parameter string `json:",omitempty"`
		Text      string
	}
)

// ServeHTTP answers GET /Lookup?Service=…&Block=….
func (l *Looker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := l.Snapshot()
	if s == nil {
		l.fail(w, http.StatusServiceUnavailable, Problem{Text: "starting: no settings yet"})
		return
	}
	q := r.URL.Query()
	service := resolver.ServiceName(q.Get("Service"))
	if service == "" {
		l.fail(w, http.StatusBadRequest, Problem{"Service", "is missing"})
		return
	}
	if !s.Settings.Knows(service) {
		l.fail(w, http.StatusNotFound, Problem{"Service", fmt.Sprintf("no service %q in the settings", service)})
		return
	}
	block, err := blockOf(q.Get("Block"), r.RemoteAddr)
	if err != nil {
		l.fail(w, http.StatusBadRequest, Problem{"Block", err.Error()})
		return
	}
	answer := s.Answer(service, s.Find(block))
	if answer == nil {
		l.fail(w, http.StatusServiceUnavailable, Problem{"Service", fmt.Sprintf("no entry serves %s now", service)})
		return
	}
	l.Meter.Count("lookups", measurer.Labels{Service: string(service), Kind: "answered"})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// blockOf reads an address or a block, or takes the address of the connection.
func blockOf(text, remote string) (netip.Addr, error) {
	if text == "" {
		a, err := netip.ParseAddrPort(remote)
		return a.Addr(), err
	}
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Addr(), nil
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return a, fmt.Errorf("%q is neither an IP number nor a block", text)
	}
	return a, nil
}

func (l *Looker) fail(w http.ResponseWriter, status int, p Problem) {
	l.Meter.Count("lookups", measurer.Labels{Kind: http.StatusText(status)})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
