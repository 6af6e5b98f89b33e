package dispatcher_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// newHarnessWithKeys returns a harness whose requests need an API key.
func newHarnessWithKeys(t *testing.T, kind matcher.Kind, list ...authenticator.Organisation) *harness {
	s := newHarness(t, kind)
	s.Fields.Credential, s.Fields.Organisation = "X-Credential", "X-Organisation"
	d, err := authenticator.New(list)
	if err != nil {
		t.Fatal(err)
	}
	s.Config().SetOrganisations(d)
	return s
}

func withKey(key string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Credential", key) }
}

func keyOf(name, key string) authenticator.Organisation {
	return authenticator.Organisation{Name: authenticator.Name(name), Keys: []authenticator.Digest{authenticator.DigestOf(key)}}
}

// TestUnknownKeyWhileConfigIsBehind sends a key that is not in the configuration in force
// while an unread change is known: the change may contain the key.
func TestUnknownKeyWhileConfigIsBehind(t *testing.T) {
	is := is.New(t)
	s := newHarnessWithKeys(t, matcher.Idempotent, keyOf("a", "k"))
	s.add(t, "u", succeeds)
	lag := timekeeper.Millis(0)
	s.ConfigLag = func() timekeeper.Millis { return lag }

	p, _ := s.do(http.MethodGet, "known", withKey("k"))
	is.Equal(p.StatusCode, http.StatusOK)
	p, _ = s.do(http.MethodGet, "unknown", withKey("new"))
	is.Equal(p.StatusCode, http.StatusUnauthorized)

	lag = 10
	p, _ = s.do(http.MethodGet, "behind", withKey("new"))
	is.Equal(p.StatusCode, http.StatusServiceUnavailable)
	is.True(p.Header.Get("Retry-After") != "")
	p, _ = s.do(http.MethodGet, "none", nil)
	is.Equal(p.StatusCode, http.StatusServiceUnavailable) // the route may be public by now
	lag = 0
	p, _ = s.do(http.MethodGet, "none", nil)
	is.Equal(p.StatusCode, http.StatusUnauthorized)
	is.Equal(s.ran("unknown")+s.ran("behind")+s.ran("none"), 0)
}

// TestKeyRevokedBetweenAttempts revokes a key between the two attempts of a request. The
// configuration is consulted before each attempt.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	is := is.New(t)
	s := newHarnessWithKeys(t, matcher.Idempotent, keyOf("a", "k"))
	without := *s.Config()
	without.SetOrganisations(&authenticator.Directory{})
	var config atomic.Pointer[matcher.Config]
	config.Store(s.Config())
	s.Config = config.Load
	for _, id := range []string{"u", "v"} {
		s.add(t, id, func(w http.ResponseWriter, r *http.Request) {
			config.Store(&without)
			refuses(w, r)
		})
	}
	p, _ := s.do(http.MethodGet, "waits", withKey("k"))
	is.Equal(p.StatusCode, http.StatusUnauthorized)
	is.Equal(s.ran("waits"), 1) // the upstream that revoked the key and refused the request
}

// TestNoRegionInCommon refuses a request whose organisation and route allow no region in
// common.
func TestNoRegionInCommon(t *testing.T) {
	is := is.New(t)
	o := keyOf("a", "k")
	o.Regions = []string{"west"}
	s := newHarnessWithKeys(t, matcher.Idempotent, o)
	s.Config().Match("h.example", "/").Regions = []string{"east"}
	s.add(t, "u", succeeds)
	p, _ := s.do(http.MethodGet, "id", withKey("k"))
	is.Equal(p.StatusCode, http.StatusForbidden)
	is.Equal(s.ran("id"), 0)
}
