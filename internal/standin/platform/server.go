package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const objectsPath = "/Objects/"

type (
	// Faults are the faults to inject. The zero value injects none.
	Faults struct {
		// Down makes every call fail with status 503.
		Down bool
		// SlowMillis delays every call.
		SlowMillis timekeeper.Millis
		// LoseAnswers is the number of next writes that take effect but whose
		// connection is closed without a response.
		LoseAnswers int
		// LosePrefix restricts LoseAnswers to objects whose names have this prefix.
		LosePrefix string
		// DownAfterLoss sets Down once a response has been lost.
		DownAfterLoss bool
	}

	// Counts is the number of calls by kind, and of watches that wait now.
	Counts struct {
		Reads   uint64
		Writes  uint64
		Watches uint64
		Waiting int
	}

	// Server serves the object API over HTTP. The zero value has an empty store and
	// accepts any caller; a non-empty Token is required as a bearer token.
	Server struct {
		Store Store
		Token string
		// WithoutEras makes the server neither report nor check the era of the store.
		WithoutEras bool

		lock   sync.Mutex
		faults Faults
		counts Counts
		// copied is the copy that /Restore returns to.
		copied storeCopy
	}
)

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = f
}

// Counts returns the number of calls so far.
func (s *Server) Counts() Counts {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.counts
}

func (s *Server) setCopied(c storeCopy) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.copied = c
}

func (s *Server) getCopied() storeCopy {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.copied
}

// ServeHTTP serves the API, and the control paths /Faults, /Counts, /Copy and /Restore. /Copy keeps
// a copy of the store, and /Restore returns to it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/Faults":
		s.serveFaults(w, r)
		return
	case "/Counts":
		writeJSON(w, s.Counts())
		return
	case "/Copy":
		s.setCopied(s.Store.copy())
		return
	case "/Restore":
		s.Store.restore(s.getCopied())
		return
	}
	if s.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.Token {
		http.Error(w, "unknown token", http.StatusUnauthorized)
		return
	}
	if !s.admit(w, r) {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, objectsPath):
		s.serveObject(w, r, strings.TrimPrefix(r.URL.Path, objectsPath))
	case r.URL.Path == "/List":
		s.serveList(w, r)
	case r.URL.Path == "/Watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// admit counts a call, delays it, and reports whether it may proceed.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.lock.Lock()
	f := s.faults
	switch {
	case r.URL.Path == "/Watch":
		s.counts.Watches++
	case r.Method == http.MethodGet:
		s.counts.Reads++
	default:
		s.counts.Writes++
	}
	s.lock.Unlock()
	if f.SlowMillis > 0 {
		select {
		case <-time.After(f.SlowMillis.Duration()):
		case <-r.Context().Done():
			return false
		}
	}
	if f.Down {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, name string) {
	switch r.Method {
	case http.MethodGet:
		o, era, ok := s.Store.get(name)
		s.setEra(w, era)
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("ETag", etag(o.Revision))
		_, _ = w.Write(o.Body)
	case http.MethodPut, http.MethodDelete:
		s.serveWrite(w, r, name)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, storer.MaxObjectBytes+1))
	if err != nil {
		return
	}
	if len(body) > storer.MaxObjectBytes {
		http.Error(w, "object too large", http.StatusRequestEntityTooLarge)
		return
	}
	c, ok := parseCondition(r)
	if !ok {
		http.Error(w, "a write needs If-Match or If-None-Match", http.StatusBadRequest)
		return
	}
	revision, era, written := s.applyWrite(r.Method, name, body, c)
	if s.dropResponse(name) {
		panic(http.ErrAbortHandler)
	}
	s.setEra(w, era)
	if !written {
		http.Error(w, "another revision", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", etag(revision))
}

func (s *Server) applyWrite(method, name string, body []byte, c condition) (storer.Revision, storer.Era, bool) {
	if s.WithoutEras {
		c.anyEra = true
	}
	if method == http.MethodDelete {
		era, ok := s.Store.remove(name, c)
		return 0, era, ok
	}
	return s.Store.put(name, body, c)
}

func (s *Server) setEra(w http.ResponseWriter, e storer.Era) {
	if !s.WithoutEras {
		w.Header().Set(storer.EraField, strconv.FormatUint(uint64(e), 10))
	}
}

// wantedEra returns the era that a request states, and whether it states one.
func wantedEra(r *http.Request) (storer.Era, bool) {
	n, err := strconv.ParseUint(r.Header.Get(storer.EraField), 10, 64)
	return storer.Era(n), err == nil
}

// dropResponse reports whether the response to a write of an object is to be lost.
func (s *Server) dropResponse(name string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.faults.LoseAnswers == 0 || !strings.HasPrefix(name, s.faults.LosePrefix) {
		return false
	}
	s.faults.LoseAnswers--
	s.faults.Down = s.faults.Down || s.faults.DownAfterLoss
	return true
}

// parseCondition returns the condition in the header of a write. It reports false if there is no
// valid one.
func parseCondition(r *http.Request) (condition, bool) {
	era, stated := wantedEra(r)
	if r.Header.Get("If-None-Match") == "*" {
		return condition{absent: true, era: era, anyEra: !stated}, true
	}
	text, err := strconv.Unquote(r.Header.Get("If-Match"))
	if err != nil {
		return condition{}, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return condition{expected: storer.Revision(n), era: era, anyEra: !stated}, err == nil
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	b, era := s.Store.list(q.Get("Prefix"), q.Get("After"), limit)
	s.setEra(w, era)
	writeJSON(w, b)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("Since"), 10, 64)
	waitMillis, _ := strconv.ParseInt(q.Get("WaitMillis"), 10, 64)
	s.addWaiting(1)
	defer s.addWaiting(-1)
	timeout := time.NewTimer(timekeeper.Millis(waitMillis).Duration())
	defer timeout.Stop()
	wanted, stated := wantedEra(r)
	for {
		b, era, changed := s.Store.changedSince(q["Prefix"], storer.Revision(since))
		if stated && !s.WithoutEras && era != wanted {
			s.setEra(w, era)
			http.Error(w, "the store returned from a copy", http.StatusGone)
			return
		}
		if len(b.Objects) > 0 {
			s.setEra(w, era)
			writeJSON(w, b)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.setEra(w, era)
			writeJSON(w, b)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) addWaiting(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counts.Waiting += n
}

func etag(r storer.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(r), 10))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
