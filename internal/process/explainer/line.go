package explainer

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine is the longest line of a log that is read, in bytes. Longer ones are an
// error: a process writes lines of some hundred.
const maxLine = 1 << 20

// The messages that are read.
const (
	msgRequest       = "request"
	msgConfig        = "configuration in force"
	msgUpstream      = "upstream"
	msgUpstreamGone  = "upstream gone"
	msgUpstreams     = "upstreams"
	msgStoreLost     = "store lost"
	msgStoreRegained = "store regained"
	msgLost          = "connection lost"
	msgQuarantined   = "request quarantined"
	msgReleased      = "request released"
)

type (
	// Line is one line of a process's log, as far as it is used here.
	Line struct {
		// Source is where the line came from: the text before its object, or the
		// name of the file if there is none.
		Source  string    `json:"-"`
		Time    time.Time `json:"time"`
		Message string    `json:"msg"`

		ID      string `json:"id"`
		Route   string `json:"route"`
		Service string `json:"service"`
		Class   string `json:"class"`
		// Organisation is whose request it was, "" if it need not say.
		Organisation string `json:"organisation"`
		Upstream     string `json:"upstream"`
		Site         string `json:"site"`
		// Placed is why Upstream was the choice, Left the home that the key left for it.
		Placed   string `json:"placed"`
		Left     string `json:"left"`
		LeftSite string `json:"leftSite"`
		Outcome  string `json:"outcome"`
		Reason   string `json:"reason"`
		Config   uint64 `json:"config"`
		// Behind is for how many milliseconds a change had been known of, maybe one of
		// the configuration, that had not been read.
		Behind float64 `json:"behind"`
		Status int     `json:"status"`
		Tries  int     `json:"tries"`
		Millis float64 `json:"ms"`
		Load   float64 `json:"load"`
		Own    int     `json:"own"`
		// Objective is in milliseconds; Waited is how long the request waited for others
		// of its connection, SentAfter when it was first sent.
		Objective float64 `json:"objective"`
		Waited    float64 `json:"waited"`
		SentAfter float64 `json:"sentAfter"`

		// Fingerprint stands for the request in all its repeats, Crashes is how many upstreams
		// in a row ended under it, and Seen how many milliseconds before the last one did.
		// Ending is what became of an upstream that closed a connection.
		Fingerprint string  `json:"fingerprint"`
		Crashes     uint32  `json:"crashes"`
		Seen        float64 `json:"seen"`
		Ending      string  `json:"ending"`

		Version uint64  `json:"version"`
		Leaving bool    `json:"leaving"`
		ColdFor float64 `json:"coldFor"`
		Kind    string  `json:"kind"`

		// LeavingUpstreams and GoneUpstreams are what a batch of changes said of several.
		LeavingUpstreams []string `json:"leavingUpstreams"`
		GoneUpstreams    []string `json:"goneUpstreams"`
	}

	// Log is the lines of several processes, those of each in the order in which
	// they were written. The zero value is empty.
	Log struct {
		lines []Line
		// Skipped counts lines that are no objects.
		Skipped int
	}
)

// Read adds the lines of a reader. What stands before the object of a line, such as
// the name of a VM that a collector put there, is its source.
func (l *Log) Read(r io.Reader, name string) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l.add(s.Text(), name)
	}
	return eris.Wrapf(s.Err(), "read %s", name)
}

func (l *Log) add(text, name string) {
	before, _, found := strings.Cut(text, "{")
	x := Line{Source: name}
	if !found || json.Unmarshal([]byte(text[len(before):]), &x) != nil {
		l.Skipped++
		return
	}
	// The last word before the object is the VM; a collector may have put its own
	// time before it.
	if words := strings.Fields(before); len(words) > 0 {
		x.Source = words[len(words)-1]
	}
	l.lines = append(l.lines, x)
}
