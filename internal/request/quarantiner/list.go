package quarantiner

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Paths under which operators list and clear suspects. A request to lift a quarantine names
// the fingerprint in its query.
const (
	PathList         = "/Quarantine"
	PathLift         = "/Quarantine/Lift"
	FieldFingerprint = "Fingerprint"
)

type (
	// Listing is the list of suspects that operators see, ordered by descending number of
	// crashes.
	Listing struct {
		Suspects []ListedSuspect
	}

	// ListedSuspect is one suspect in a Listing.
	ListedSuspect struct {
		Fingerprint string
		// Crashes counts consecutive runs that terminated their upstreams.
		Crashes     uint32
		Quarantined bool
		// AgeMillis is the time since the last of these crashes was observed.
		AgeMillis timekeeper.Millis
		// LeftMillis is the remaining time in quarantine.
		LeftMillis timekeeper.Millis `json:",omitempty"`
	}

	// Lifted is the response to a request to lift a quarantine.
	Lifted struct {
		Fingerprint string
	}
)

// List returns the suspects as operators see them.
func (q *Quarantiner) List() Listing {
	l := Listing{Suspects: []ListedSuspect{}}
	for _, s := range q.Suspects() {
		x := ListedSuspect{Fingerprint: s.Fingerprint.String(), Crashes: s.Crashes, Quarantined: s.Quarantined(), AgeMillis: s.Age}
		if s.Quarantined() {
			x.LeftMillis = max(s.remaining(), 0)
		}
		l.Suspects = append(l.Suspects, x)
	}
	return l
}

// Lift clears the request whose fingerprint an operator names.
func (q *Quarantiner) Lift(fingerprint string) (Lifted, error) {
	f, err := ParseFingerprint(fingerprint)
	if err != nil {
		return Lifted{}, err
	}
	if !q.Clear(f) {
		return Lifted{}, eris.Errorf("no suspect has the fingerprint %s", f)
	}
	return Lifted{Fingerprint: f.String()}, nil
}

// Handle registers handlers of both paths that require no operator token.
func (q *Quarantiner) Handle(m *http.ServeMux) {
	m.HandleFunc("GET "+PathList, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, q.List()) })
	m.HandleFunc("POST "+PathLift, func(w http.ResponseWriter, r *http.Request) {
		lifted, err := q.Lift(r.URL.Query().Get(FieldFingerprint))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, lifted)
	})
}

func writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here only concerns the operator's connection.
	_ = json.NewEncoder(w).Encode(response)
}
