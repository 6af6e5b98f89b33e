package dispatcher

import (
	"sync"
	"sync/atomic"

	"github.com/gullvale/gullvale/internal/version/authenticator"
)

const (
	// maxOrganisationLabels bounds the organisations that have a metric label of their own.
	maxOrganisationLabels = 100

	// otherOrganisations is the label shared by all other organisations.
	otherOrganisations = "others"
)

// organisationLabels assigns metric labels to organisations, first come, first served. The
// zero value is ready to use.
type organisationLabels struct {
	labelled sync.Map
	count    atomic.Int64
}

// label returns the metric label of an organisation.
func (l *organisationLabels) label(name authenticator.Name) string {
	if _, ok := l.labelled.Load(name); ok {
		return string(name)
	}
	if l.count.Load() >= maxOrganisationLabels {
		return otherOrganisations
	}
	if _, ok := l.labelled.LoadOrStore(name, true); !ok {
		l.count.Add(1)
	}
	return string(name)
}
