package server

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/internal/standin/payload"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Response headers of the stand-in: the request was shed without being run, and
// the server is draining.
const (
	HeaderNotRun   = "X-Not-Run"
	HeaderDraining = "X-Draining"
)

const (
	probePath   = "/health"
	loadPath    = "/load"
	journalPath = "/Journal"
	drainPath   = "/Drain"

	maxBodyBytes = 64 << 20

	// maxServiceMultiple caps a random service time, in multiples of the mean.
	maxServiceMultiple = 8

	chunkBytes = 16 << 10
)

type (
	// Server is a stand-in upstream. Set the exported fields before use.
	Server struct {
		Name  string
		Slots int
		// ServiceMillis is the mean service time of a request; service times
		// are exponentially distributed.
		ServiceMillis float64
		// Bytes is the length of a response if the request does not set one.
		Bytes int64
		// Pace limits a response to this many bytes per second; 0 means no limit.
		Pace int64
		// ConnMillis and ProbeMillis are the costs of a new connection and a
		// probe. Connections and probes are handled one at a time.
		ConnMillis  timekeeper.Millis
		ProbeMillis timekeeper.Millis
		// ColdRequests is the number of first requests that take twice as long.
		ColdRequests int64
		// LagMillis is the maximum age of the load reported at /load.
		LagMillis timekeeper.Millis
		Seed      uint64

		cpu            sync.Mutex
		busy           atomic.Int64
		peak           atomic.Int64
		served         atomic.Int64
		shed           atomic.Int64
		probes         atomic.Int64
		conns          atomic.Int64
		draining       atomic.Bool
		drainStartedAt atomic.Int64
		late           atomic.Int64
		// pausedUntil is when a pause ends, in nanoseconds since the Unix epoch.
		pausedUntil atomic.Int64

		lock         sync.Mutex
		random       *rand.Rand
		journal      map[string]int
		reportedLoad int64
		reportedAt   time.Time
	}

	// Counts holds the counters and the journal of a server.
	Counts struct {
		Name   string
		Slots  int
		Peak   int64
		Served int64
		Shed   int64
		Probes int64
		Conns  int64
		// Late counts the requests that arrived later than lateThreshold after the start of
		// a drain.
		Late int64
		// Journal holds how often each token ran.
		Journal map[string]int
	}
)

// HTTP returns an HTTP server for s. The caller sets its address.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s, ConnState: s.connState}
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		s.conns.Add(1)
		s.occupyCPU(s.ConnMillis)
	}
}

// occupyCPU simulates work that is done one at a time.
func (s *Server) occupyCPU(m timekeeper.Millis) {
	if m <= 0 {
		return
	}
	s.cpu.Lock()
	defer s.cpu.Unlock()
	time.Sleep(m.Duration())
}

// Drain starts or ends draining.
func (s *Server) Drain(on bool) {
	s.drainStartedAt.Store(time.Now().UnixNano())
	s.draining.Store(on)
}

// Pause refuses all requests for a time, which the refusals state as Retry-After.
func (s *Server) Pause(m timekeeper.Millis) {
	s.pausedUntil.Store(time.Now().Add(m.Duration()).UnixNano())
}

// Counts returns the counters and a copy of the journal.
func (s *Server) Counts() Counts {
	s.lock.Lock()
	defer s.lock.Unlock()
	c := Counts{
		Name:    s.Name,
		Slots:   s.Slots,
		Peak:    s.peak.Load(),
		Served:  s.served.Load(),
		Shed:    s.shed.Load(),
		Probes:  s.probes.Load(),
		Conns:   s.conns.Load(),
		Late:    s.late.Load(),
		Journal: make(map[string]int, len(s.journal)),
	}
	for k, v := range s.journal {
		c.Journal[k] = v
	}
	return c
}

// Busy returns the number of requests that run now.
func (s *Server) Busy() int64 {
	return s.busy.Load()
}

// ServeHTTP serves requests, probes, and the control paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case probePath:
		s.serveProbe(w)
	case loadPath:
		writeJSON(w, s.delayedLoad())
	case journalPath:
		writeJSON(w, s.Counts())
	case drainPath:
		s.Drain(r.URL.Query().Get("On") != "false")
	default:
		s.serve(w, r)
	}
}

func (s *Server) serveProbe(w http.ResponseWriter) {
	s.probes.Add(1)
	s.occupyCPU(s.ProbeMillis)
	s.setDrainHeader(w)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) setDrainHeader(w http.ResponseWriter) {
	if s.draining.Load() {
		w.Header().Set(HeaderDraining, "1")
	}
}

// delayedLoad returns the number of busy slots, updated every LagMillis.
func (s *Server) delayedLoad() int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	if time.Since(s.reportedAt) >= s.LagMillis.Duration() {
		s.reportedLoad = s.busy.Load()
		s.reportedAt = time.Now()
	}
	return s.reportedLoad
}

// lateThreshold is the time after the start of a drain from which new requests count as late.
const lateThreshold = 2 * time.Second

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() && time.Now().UnixNano()-s.drainStartedAt.Load() > int64(lateThreshold) {
		s.late.Add(1)
	}
	if left := s.pausedUntil.Load() - time.Now().UnixNano(); left > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(time.Duration(left).Seconds(), 'f', -1, 64))
		s.refuse(w)
		return
	}
	if n := s.busy.Add(1); n > int64(s.Slots) {
		s.busy.Add(-1)
		s.refuse(w)
		return
	}
	var once sync.Once
	release := func() { once.Do(func() { s.busy.Add(-1) }) }
	defer release()
	s.updatePeak()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		// A request whose body is incomplete is not run.
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token := r.URL.Query().Get(payload.ParamToken)
	s.recordRun(token)
	if !s.simulateWork(r) {
		return
	}
	s.writeResponse(w, r, token, body, release)
}

// refuse responds that the request is not run.
func (s *Server) refuse(w http.ResponseWriter) {
	s.shed.Add(1)
	s.setDrainHeader(w)
	w.Header().Set(HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// updatePeak raises the peak to the number of busy slots.
func (s *Server) updatePeak() {
	for {
		n := s.busy.Load()
		p := s.peak.Load()
		if n <= p || s.peak.CompareAndSwap(p, n) {
			return
		}
	}
}

// recordRun records in the journal that a request ran.
func (s *Server) recordRun(token string) {
	s.served.Add(1)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.journal == nil {
		s.journal = map[string]int{}
	}
	s.journal[token]++
}

// simulateWork waits for the service time. It returns false if the caller gave up.
func (s *Server) simulateWork(r *http.Request) bool {
	select {
	case <-time.After(s.drawServiceTime()):
		return true
	case <-r.Context().Done():
		return false
	}
}

// drawServiceTime returns the service time of the next request, which is twice as long during the
// cold start.
func (s *Server) drawServiceTime() time.Duration {
	s.lock.Lock()
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	}
	factor := min(s.random.ExpFloat64(), maxServiceMultiple)
	s.lock.Unlock()
	if s.served.Load() <= s.ColdRequests {
		factor *= 2
	}
	return time.Duration(factor * s.ServiceMillis * float64(time.Millisecond))
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, token string, body []byte, release func()) {
	length := s.Bytes
	if n, err := strconv.ParseInt(r.URL.Query().Get(payload.ParamBytes), 10, 64); err == nil {
		length = n
	}
	s.setDrainHeader(w)
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	stream := payload.New(token, body, length)
	chunk := make([]byte, min(chunkBytes, max(length, 1)))
	began := time.Now()
	var sent int64
	for {
		n, err := stream.Read(chunk)
		if err != nil {
			return
		}
		sent += int64(n)
		if sent == length {
			// The slot must be free before the caller sees the end of the response.
			release()
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		if s.Pace > 0 {
			due := time.Duration(float64(sent) / float64(s.Pace) * float64(time.Second))
			time.Sleep(due - time.Since(began))
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
