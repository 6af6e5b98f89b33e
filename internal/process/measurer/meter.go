package measurer

import (
	"io"
	"net/http"
	"sync"
	"time"

	registerer "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	namespace     = "gullvale"
	flushInterval = time.Second
)

// latencyBuckets range from lookups that take microseconds to exports that take an hour.
var latencyBuckets = tally.DurationBuckets{
	0,
	500 * time.Microsecond,
	1 * time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	35 * time.Millisecond,
	50 * time.Millisecond,
	75 * time.Millisecond,
	100 * time.Millisecond,
	150 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2500 * time.Millisecond,
	5 * time.Second,
	10 * time.Second,
	time.Minute,
	time.Hour,
}

type (
	// Meter holds the metrics of one daemon. Create it with New.
	Meter struct {
		scope    tally.Scope
		reporter prometheus.Reporter
		closer   io.Closer

		counters   sync.Map
		histograms sync.Map
	}

	// Labels distinguish metrics with the same name.
	Labels struct {
		Service string
		Class   string
		// Kind is the outcome, the reason, or another dimension specific to the
		// metric.
		Kind string
	}

	metricKey struct {
		name   string
		labels Labels
	}
)

// New returns a meter with its own Prometheus registry.
func New() *Meter {
	// A separate registry allows several daemons in one process.
	registry := registerer.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         namespace,
		CachedReporter: r,
		Separator:      prometheus.DefaultSeparator,
	}, flushInterval)
	return &Meter{scope: scope, reporter: r, closer: closer}
}

// Close flushes and stops the meter.
func (m *Meter) Close() {
	_ = m.closer.Close()
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Count adds one to a counter.
func (m *Meter) Count(name string, l Labels) {
	m.Add(name, l, 1)
}

// Add adds n to a counter.
func (m *Meter) Add(name string, l Labels, n int64) {
	m.counter(name, l).Inc(n)
}

// Adder returns a function that adds to a counter. Callers that count often should use it,
// since looking up the counter takes longer than adding to it.
func (m *Meter) Adder(name string, l Labels) func(n int64) {
	return m.counter(name, l).Inc
}

// Observe adds a duration to a histogram.
func (m *Meter) Observe(name string, l Labels, d time.Duration) {
	k := metricKey{name, l}
	h, ok := m.histograms.Load(k)
	if !ok {
		h, _ = m.histograms.LoadOrStore(k, m.taggedScope(l).Histogram(name, latencyBuckets))
	}
	h.(tally.Histogram).RecordDuration(d)
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, l Labels, v float64) {
	m.taggedScope(l).Gauge(name).Update(v)
}

func (m *Meter) counter(name string, l Labels) tally.Counter {
	k := metricKey{name, l}
	c, ok := m.counters.Load(k)
	if !ok {
		c, _ = m.counters.LoadOrStore(k, m.taggedScope(l).Counter(name))
	}
	return c.(tally.Counter)
}

// taggedScope returns the scope for l. It always sets all labels, since all metrics of
// one name must have the same label names.
func (m *Meter) taggedScope(l Labels) tally.Scope {
	return m.scope.Tagged(map[string]string{
		"service": labelValue(l.Service),
		"class":   labelValue(l.Class),
		"kind":    labelValue(l.Kind),
	})
}

func labelValue(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
