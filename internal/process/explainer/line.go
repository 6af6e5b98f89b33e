package explainer

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line. Longer lines are an error, since a
// process writes lines of a few hundred bytes.
const maxLineBytes = 1 << 20

// The messages of the log lines that are evaluated.
const (
	msgRequest        = "request"
	msgConfig         = "configuration in force"
	msgUpstream       = "upstream"
	msgUpstreamGone   = "upstream gone"
	msgUpstreams      = "upstreams"
	msgStoreLost      = "store lost"
	msgStoreRegained  = "store regained"
	msgConnectionLost = "connection lost"
	msgQuarantined    = "request quarantined"
	msgReleased       = "request released"
	msgCut            = "no upstream reached"
	msgReached        = "upstreams reached again"
	msgRelayed        = "relayed request"
)

type (
	// Line holds the fields of a log line that are used here.
	Line struct {
		// Source is the origin of the line: the last word before its JSON object, or the
		// name of the file if there is none.
		Source  string    `json:"-"`
		Time    time.Time `json:"time"`
		Message string    `json:"msg"`

		ID      string `json:"id"`
		Route   string `json:"route"`
		Service string `json:"service"`
		Class   string `json:"class"`
		// Organisation is the organisation that sent the request, "" if none was needed.
		Organisation string `json:"organisation"`
		Upstream     string `json:"upstream"`
		Site         string `json:"site"`
		// Placement is why Upstream was chosen. PreviousHome is the home that the key left
		// for it.
		Placement        string `json:"placed"`
		PreviousHome     string `json:"left"`
		PreviousHomeSite string `json:"leftSite"`
		Outcome          string `json:"outcome"`
		// Helper is the VM to which the request was handed over. In the line of that VM, From
		// is the one that did so.
		Helper string `json:"helper"`
		From   string `json:"from"`
		Reason string `json:"reason"`
		Config uint64 `json:"config"`
		// ConfigLag is for how long, in milliseconds, a change that may concern the
		// configuration had been announced but not read.
		ConfigLag     float64 `json:"behind"`
		Status        int     `json:"status"`
		Attempts      int     `json:"tries"`
		ElapsedMillis float64 `json:"ms"`
		Load          float64 `json:"load"`
		OwnRequests   int     `json:"own"`
		// Pace is how much longer than usual work took on the upstream's host, 0 if it does
		// not report that, and Expected the expected time of the response in milliseconds.
		Pace     float64 `json:"pace"`
		Expected float64 `json:"expected"`
		// Objective is the target latency, PipelineWait how long the request waited for
		// others of its connection and SentAfter how long after its arrival it was first
		// sent, all in milliseconds.
		Objective    float64 `json:"objective"`
		PipelineWait float64 `json:"waited"`
		SentAfter    float64 `json:"sentAfter"`

		// Fingerprint identifies the request across retries. Crashes is how many upstreams
		// in a row terminated during it, LastCrashMillis how many milliseconds before the
		// line the last one did. UpstreamState is the state of an upstream that closed a
		// connection.
		Fingerprint     string  `json:"fingerprint"`
		Crashes         uint32  `json:"crashes"`
		LastCrashMillis float64 `json:"seen"`
		UpstreamState   string  `json:"ending"`

		Version    uint64  `json:"version"`
		Leaving    bool    `json:"leaving"`
		ColdMillis float64 `json:"coldFor"`
		Kind       string  `json:"kind"`

		// LeavingUpstreams and GoneUpstreams are the upstreams that a batch of changes
		// reported as leaving and as gone.
		LeavingUpstreams []string `json:"leavingUpstreams"`
		GoneUpstreams    []string `json:"goneUpstreams"`
	}

	// Log holds the log lines of several processes, those of each process in the order in
	// which they were written. The zero value is empty.
	Log struct {
		lines []Line
		// SkippedLines counts lines without a valid JSON object.
		SkippedLines int
	}
)

// Read adds the lines of r. The last word before the JSON object of a line, such as the name
// of a VM added by a log collector, is the line's source; name is the source of other lines.
func (l *Log) Read(r io.Reader, name string) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l.add(s.Text(), name)
	}
	return eris.Wrapf(s.Err(), "read %s", name)
}

func (l *Log) add(text, name string) {
	before, _, found := strings.Cut(text, "{")
	x := Line{Source: name}
	if !found || json.Unmarshal([]byte(text[len(before):]), &x) != nil {
		l.SkippedLines++
		return
	}
	// The last word before the object is the VM. A collector may have put its own
	// timestamp before it.
	if words := strings.Fields(before); len(words) > 0 {
		x.Source = words[len(words)-1]
	}
	l.lines = append(l.lines, x)
}
