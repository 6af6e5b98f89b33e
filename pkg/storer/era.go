package storer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// EraField is the header field of the era, in requests that state a revision and in
	// all responses. An absent field in the first response means era 0.
	EraField = "Era"

	// numberBits is the number of low bits of a revision that hold its number.
	numberBits = 48

	eraBits = 64 - numberBits
)

type (
	// Era counts how often the platform's store has returned from an older copy. The
	// numbers of revisions are given out again in each era.
	Era uint64

	// EraError reports a call whose revision is of another era than the platform.
	EraError struct {
		// Outcome is ErrConflict, ErrCompacted, or ErrUnknown for a write that took
		// effect in another era than that of its condition.
		Outcome error
		Wanted  Era
		Present Era
	}

	// condition is the precondition of a write in an era, as a header field.
	condition struct {
		era        Era
		field, tag string
	}

	// eraObserver keeps the latest era that was reported.
	eraObserver struct {
		lock   sync.Mutex
		latest Era
		// watches holds the functions that cancel calls in progress, and their eras.
		watches map[*context.CancelCauseFunc]Era
	}
)

// RevisionAt returns the revision with a number in an era.
func RevisionAt(e Era, number uint64) Revision {
	return Revision(e)<<numberBits | Revision(number&(1<<numberBits-1))
}

// Era returns the era in which r was given out.
func (r Revision) Era() Era {
	return Era(r >> numberBits)
}

// Number returns the number that the platform gave out, without the era.
func (r Revision) Number() uint64 {
	return uint64(r & (1<<numberBits - 1))
}

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("era %d of the platform, not %d: %v", e.Present, e.Wanted, e.Outcome)
}

// Unwrap returns the outcome.
func (e *EraError) Unwrap() error {
	return e.Outcome
}

// Era returns the latest era that the platform reported.
func (c *Client) Era() Era {
	return c.eras.get()
}

// ObserveEra records an era that another daemon reported. Calls of earlier eras fail from
// then on, and those that wait return.
func (c *Client) ObserveEra(e Era) {
	c.eras.observe(e)
}

func (b *Batch) stamp(e Era) {
	b.Revision = RevisionAt(e, b.Revision.Number())
	for i, o := range b.Objects {
		b.Objects[i].Revision = RevisionAt(e, o.Revision.Number())
	}
}

// read makes a call that states no revision. It returns the era of the response, which is the
// latest one.
func (c *Client) read(q *http.Request, timeout timekeeper.Millis) (*http.Response, []byte, Era, error) {
	p, body, err := c.Call(q, timeout)
	present := c.eraOf(p)
	if known := c.Era(); err == nil && present < known {
		err = eris.Wrapf(ErrUnreachable, "%s: response of era %d after era %d", q.URL.Path, present, known)
	}
	return p, body, present, err
}

// callIn makes a call that states a revision of an era, or that an object did not exist in it.
func (c *Client) callIn(q *http.Request, timeout timekeeper.Millis, wanted Era) (*http.Response, []byte, Era, error) {
	c.eras.observe(wanted)
	if present := c.Era(); present != wanted {
		return nil, nil, present, eraError(q, nil, wanted, present)
	}
	q.Header.Set(EraField, strconv.FormatUint(uint64(wanted), 10))
	p, body, err := c.Call(q, timeout)
	present := c.eraOf(p)
	if present == wanted {
		// A later era may have been reported since the call began.
		present = c.Era()
	}
	switch {
	case present == wanted, p != nil && p.StatusCode >= http.StatusInternalServerError:
		return p, body, present, err
	case p == nil && q.Method != http.MethodGet:
		// The write may have taken effect before the era advanced.
		return p, body, present, err
	}
	// A watch without a response was cancelled when the era advanced.
	return p, body, present, eraError(q, p, wanted, present)
}

// eraError returns the error of a call of another era. p is its response, nil if there is none.
func eraError(q *http.Request, p *http.Response, wanted, present Era) error {
	e := &EraError{Outcome: ErrConflict, Wanted: wanted, Present: present}
	switch {
	case q.Method == http.MethodGet:
		e.Outcome = ErrCompacted
	case p != nil && p.StatusCode < http.StatusMultipleChoices:
		e.Outcome = ErrUnknown
	}
	return eris.Wrapf(e, "%s %s", q.Method, q.URL.Path)
}

// eraOf returns the era of a response, and the latest one if it has none.
func (c *Client) eraOf(p *http.Response) Era {
	if p == nil {
		return c.Era()
	}
	v, err := strconv.ParseUint(p.Header.Get(EraField), 10, eraBits)
	if err != nil {
		return c.Era()
	}
	c.eras.observe(Era(v))
	return Era(v)
}

func (o *eraObserver) get() Era {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.latest
}

func (o *eraObserver) observe(e Era) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if e <= o.latest {
		return
	}
	o.latest = e
	for cancel, era := range o.watches {
		if era < e {
			(*cancel)(eris.New("the platform is in a later era"))
		}
	}
}

// cancelAfter returns a context that ends when a later era than e is observed.
func (o *eraObserver) cancelAfter(ctx context.Context, e Era) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.watches == nil {
		o.watches = map[*context.CancelCauseFunc]Era{}
	}
	o.watches[&cancel] = e
	return ctx, func() {
		o.lock.Lock()
		defer o.lock.Unlock()
		delete(o.watches, &cancel)
		cancel(nil)
	}
}
