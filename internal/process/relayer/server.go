package relayer

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
)

const (
	// Path is where missed changes are.
	Path = "/Missed"

	// maxAnswers bounds the answers under way: each takes a copy of what it sends, up to
	// answerBytes or one change. All members of a region fetch at the same moment, and
	// 500 daemons in 7 regions are 71 members in each. More read the store.
	maxAnswers = 96

	// maxConnections bounds the descriptors of the listener, idle and broken connections
	// included. Further ones wait, and their members read the store.
	maxConnections = 2 * maxAnswers

	// answerBytes is after how many bytes an answer ends, with the change that reaches it,
	// so that a member that missed many large changes keeps what it has when the rest does
	// not come: 0.2 s of a link of 10 Mbit/s.
	answerBytes = 256 << 10

	// headerTimeout and answerTimeout end connections whose member is gone or stands
	// still. A member waits for less than a second.
	headerTimeout = 1 * time.Second
	answerTimeout = 3 * time.Second

	// maxHeaderBytes is far more than a member sends.
	maxHeaderBytes = 4 << 10

	kindField = "Kind"
	fromField = "From"
)

// Server serves the changes that members of the region missed. Missed must be set before
// use. It is safe for concurrent use.
type Server struct {
	// Missed returns what this process knows of the changes of a kind after a revision,
	// in order and without a gap, nothing if it does not know.
	Missed func(kind string, from uint64) []heartbeater.Changes

	once    sync.Once
	server  *http.Server
	answers chan struct{}
}

// Serve answers on a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	s.once.Do(s.prepare)
	return s.server.Serve(netutil.LimitListener(l, maxConnections))
}

// Close ends all answers: members read the store instead.
func (s *Server) Close() error {
	s.once.Do(s.prepare)
	return s.server.Close()
}

// ServeHTTP answers one member.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.prepare)
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if r.URL.Path != Path {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get(fromField), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.answers <- struct{}{}:
		defer func() { <-s.answers }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.answer(w, q.Get(kindField), from)
}

func (s *Server) answer(w http.ResponseWriter, kind string, from uint64) {
	all := firstBytes(s.Missed(kind, from), answerBytes)
	if len(all) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	b := bufio.NewWriter(w)
	if err := heartbeater.WriteChanges(b, all); err != nil {
		// The member is gone, or sees that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	if err := b.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) prepare() {
	s.answers = make(chan struct{}, maxAnswers)
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.server.SetKeepAlivesEnabled(false)
}

// firstBytes returns the first changes until they have so many bytes.
func firstBytes(all []heartbeater.Changes, enough int) []heartbeater.Changes {
	n := 0
	for i, c := range all {
		n += len(c.Body)
		if n >= enough {
			return all[:i+1]
		}
	}
	return all
}
