package quarantiner

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The paths under which operators see and lift what is known of requests. A request to lift
// names its fingerprint in the query.
const (
	PathList         = "/Quarantine"
	PathLift         = "/Quarantine/Lift"
	FieldFingerprint = "Fingerprint"
)

type (
	// Listing is what operators see, first the requests with most crashes.
	Listing struct {
		Suspects []ListedSuspect
	}

	// ListedSuspect is one suspect.
	ListedSuspect struct {
		Fingerprint string
		// Crashes counts runs in a row that ended their upstreams.
		Crashes     uint32
		Quarantined bool
		// AgeMillis is how long ago the last of them was seen.
		AgeMillis timekeeper.Millis
		// LeftMillis is how much longer the request is in quarantine.
		LeftMillis timekeeper.Millis `json:",omitempty"`
	}

	// Lifted answers a request to lift.
	Lifted struct {
		Fingerprint string
	}
)

// List returns what is known for operators.
func (q *Quarantiner) List() Listing {
	l := Listing{Suspects: []ListedSuspect{}}
	for _, s := range q.All() {
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

// Handle serves both paths to operators who need no token.
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

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// What fails here is the operator's connection.
	_ = json.NewEncoder(w).Encode(answer)
}
