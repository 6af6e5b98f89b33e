package quarantiner_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestOperatorsListAndLift lists a quarantined request and a suspect for an operator, and
// lifts the quarantine.
func TestOperatorsListAndLift(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	d := f.daemons[0]
	d.crash(fingerprintOf(1))
	for range 3 {
		d.crash(crashing)
	}
	f.deliver()
	f.now += timekeeper.Minute
	m := http.NewServeMux()
	d.Handle(m)
	ask := func(method, path string) *httptest.ResponseRecorder {
		p := httptest.NewRecorder()
		m.ServeHTTP(p, httptest.NewRequest(method, path, nil))
		return p
	}
	var l quarantiner.Listing
	is.NoErr(json.Unmarshal(ask(http.MethodGet, quarantiner.PathList).Body.Bytes(), &l))
	is.Equal(l.Suspects, []quarantiner.ListedSuspect{
		{Fingerprint: crashing.String(), Crashes: 3, Quarantined: true, AgeMillis: timekeeper.Minute, LeftMillis: timekeeper.Minute},
		{Fingerprint: fingerprintOf(1).String(), Crashes: 1, AgeMillis: timekeeper.Minute},
	})
	lift := quarantiner.PathLift + "?" + quarantiner.FieldFingerprint + "="
	is.Equal(ask(http.MethodPost, lift+"xyz").Code, http.StatusBadRequest)
	is.Equal(ask(http.MethodPost, lift+fingerprintOf(9).String()).Code, http.StatusBadRequest)
	is.Equal(ask(http.MethodPost, lift+crashing.String()).Code, http.StatusOK)
	f.deliver()
	for _, d := range f.daemons {
		is.True(!d.refused(crashing))
	}
}
