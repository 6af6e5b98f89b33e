package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// beginning keeps the first part of a long body, as it passes, so that its request can be
// recognised.
type beginning struct {
	body io.Reader
	// ready tells that the body may be read before a slot is held: that of a call which came
	// over a link arrives only after that.
	ready bool

	lock sync.Mutex
	// kept is the first part, and unread what of it was read ahead.
	kept   []byte
	unread []byte
}

// Read keeps what it reads, up to shortBody bytes.
func (b *beginning) Read(p []byte) (int, error) {
	if n := b.takeUnread(p); n > 0 {
		return n, nil
	}
	n, err := b.body.Read(p)
	b.lock.Lock()
	defer b.lock.Unlock()
	if room := shortBody - len(b.kept); room > 0 {
		b.kept = append(b.kept, p[:min(n, room)]...)
	}
	return n, err
}

func (b *beginning) takeUnread(p []byte) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n
}

// Close tells the source of the body that nobody reads it any more.
func (b *beginning) Close() error {
	if c, ok := b.body.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// ahead reads the first part before anybody else does. An error comes again with the next
// read.
func (b *beginning) ahead() {
	if _, whole := b.first(); whole || !b.ready {
		return
	}
	head := make([]byte, shortBody)
	n, _ := io.ReadFull(b.body, head)
	b.lock.Lock()
	defer b.lock.Unlock()
	b.kept, b.unread = head[:n], head[:n]
}

// first returns what was kept, and whether that is the whole first part.
func (b *beginning) first() ([]byte, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return bytes.Clone(b.kept), len(b.kept) == shortBody
}

// fingerprint returns what stands for a call. The service counts in place of the host, which
// is the entry's own address where a caller names the service. Of a long body its beginning
// and its length count.
func fingerprint(c *exchanger.Call, body []byte) quarantiner.Fingerprint {
	return quarantiner.Content{
		Method: c.Method, Host: string(c.Service), Target: c.Target,
		Caller: quarantiner.Caller(c.Header), Body: body, Length: c.Length,
	}.Fingerprint()
}

// print returns what stands for the call of the try, and reports false for a long body of which
// too little was read to tell.
func (t *try) print() (quarantiner.Fingerprint, bool) {
	if t.fingerprint != nil {
		return *t.fingerprint, true
	}
	body := t.call.Short
	if t.body != nil {
		first, whole := t.body.first()
		if !whole {
			return quarantiner.Fingerprint{}, false
		}
		body = first
	}
	f := fingerprint(t.call, body)
	t.fingerprint = &f
	return f, true
}

// suspected tells whether any request is a suspect now: nearly always none is.
func (f *Forwarder) suspected() bool {
	return f.Quarantine != nil && f.Quarantine.Any()
}

// barred refuses a call that is in quarantine.
func (f *Forwarder) barred(t *try) (exchanger.Result, bool) {
	if !f.suspected() {
		return exchanger.Result{}, false
	}
	if t.body != nil && !t.admitted {
		t.body.ahead()
	}
	known, ok := t.print()
	if !ok {
		return exchanger.Result{}, false
	}
	t.sighting = f.Quarantine.Look(known, t.sighting)
	return exchanger.Refused(exchanger.ReasonQuarantined, t.sighting.After), t.sighting.Barred
}

// judge takes in what a run says of its call.
func (f *Forwarder) judge(t *try, r exchanger.Result) {
	if f.Quarantine == nil {
		return
	}
	ended := r.Reason == exchanger.ReasonUpstreamEnded
	innocent := r.Outcome == exchanger.Answered && r.Whole && t.status < http.StatusInternalServerError
	if !ended && (!innocent || !f.Quarantine.Any()) {
		return
	}
	known, ok := t.print()
	switch {
	case !ok:
	case ended:
		t.sighting.Fingerprint = known
		t.careful = f.Quarantine.Crashed(t.sighting).Careful()
	default:
		f.Quarantine.Answered(known)
	}
}

// Admit refuses a call that came into quarantine while it waited for a slot.
func (f *Forwarder) Admit(c *exchanger.Call) (exchanger.Result, bool) {
	if c.Body != nil || !f.suspected() {
		return exchanger.Result{}, false
	}
	left, held := f.Quarantine.Holds(fingerprint(c, c.Short))
	return exchanger.Refused(exchanger.ReasonQuarantined, left), held
}
