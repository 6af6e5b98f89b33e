package dispatcher

import (
	"sync"
	"sync/atomic"

	"github.com/gullvale/gullvale/internal/version/authenticator"
)

const (
	// maxOrganisationLabels is how many organisations have metrics of their own.
	maxOrganisationLabels = 100

	// otherOrganisations is the label of all others.
	otherOrganisations = "others"
)

// organisationLabels gives organisations the labels of their metrics, in the order in which
// they come. The zero value has given none.
type organisationLabels struct {
	given  sync.Map
	number atomic.Int64
}

// label returns the organisation's label.
func (l *organisationLabels) label(name authenticator.Name) string {
	if _, ok := l.given.Load(name); ok {
		return string(name)
	}
	if l.number.Load() >= maxOrganisationLabels {
		return otherOrganisations
	}
	if _, ok := l.given.LoadOrStore(name, true); !ok {
		l.number.Add(1)
	}
	return string(name)
}
