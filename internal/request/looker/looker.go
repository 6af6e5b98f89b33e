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

// Path is the URL path of lookups.
const Path = "/Lookup"

type (
	// Handler serves lookups. Set the exported fields before use.
	Handler struct {
		Snapshot func() *steerer.Snapshot
		Meter    *measurer.Meter
	}

	// ErrorBody is the response to a failed lookup.
	ErrorBody struct {
		// Parameter is the invalid query parameter, "" if the query is not at fault.
		Parameter string `json:",omitempty"`
		Text      string
	}
)

// ServeHTTP serves GET /Lookup?Service=…&Block=….
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := h.Snapshot()
	if s == nil {
		h.writeError(w, http.StatusServiceUnavailable, ErrorBody{Text: "starting: no settings yet"})
		return
	}
	q := r.URL.Query()
	service := resolver.ServiceName(q.Get("Service"))
	if service == "" {
		h.writeError(w, http.StatusBadRequest, ErrorBody{"Service", "is missing"})
		return
	}
	if !s.Settings.HasService(service) {
		h.writeError(w, http.StatusNotFound, ErrorBody{"Service", fmt.Sprintf("no service %q in the settings", service)})
		return
	}
	block, err := parseBlock(q.Get("Block"), r.RemoteAddr)
	if err != nil {
		h.writeError(w, http.StatusBadRequest, ErrorBody{"Block", err.Error()})
		return
	}
	response := s.Response(service, s.BlockOf(block))
	if response == nil {
		h.writeError(w, http.StatusServiceUnavailable, ErrorBody{"Service", fmt.Sprintf("no entry serves %s now", service)})
		return
	}
	h.Meter.Count("lookups", measurer.Labels{Service: string(service), Kind: "answered"})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response)
}

// parseBlock returns the address in text, which is an address or a prefix. If text is empty,
// it returns the remote address of the connection.
func parseBlock(text, remote string) (netip.Addr, error) {
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

func (h *Handler) writeError(w http.ResponseWriter, status int, body ErrorBody) {
	h.Meter.Count("lookups", measurer.Labels{Kind: http.StatusText(status)})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
