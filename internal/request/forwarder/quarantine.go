package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// callerFields are the fields that say who asks.
var callerFields = []string{"Authorization", "Cookie"}

// beginning keeps the first part of a long body, as it passes, so that its request can be
// recognised.
type beginning struct {
	body io.Reader

	lock sync.Mutex
	// kept is the first part, and unread what of it was read ahead.
	kept   []byte
	unread []byte
}

// Read keeps what it reads, up to shortBody bytes.
func (b *beginning) Read(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	n, err := b.body.Read(p)
	if room := shortBody - len(b.kept); room > 0 {
		b.kept = append(b.kept, p[:min(n, room)]...)
	}
	return n, err
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
	b.lock.Lock()
	defer b.lock.Unlock()
	if len(b.kept) > 0 {
		return
	}
	b.kept = make([]byte, shortBody)
	n, _ := io.ReadFull(b.body, b.kept)
	b.kept = b.kept[:n]
	b.unread = b.kept
}

// first returns what was kept.
func (b *beginning) first() []byte {
	b.lock.Lock()
	defer b.lock.Unlock()
	return bytes.Clone(b.kept)
}

// fingerprint returns what stands for a call. The service counts in place of the host, which
// is the entry's own address where a caller names the service. Of a long body its beginning
// and its length count.
func fingerprint(c *exchanger.Call, body []byte) quarantiner.Fingerprint {
	var caller []string
	for _, n := range callerFields {
		caller = append(caller, c.Header[http.CanonicalHeaderKey(n)]...)
	}
	return quarantiner.Content{
		Method: c.Method, Host: string(c.Service), Target: c.Target,
		Caller: caller, Body: body, Length: c.Length,
	}.Fingerprint()
}

// print returns what stands for the call of the try.
func (t *try) print() quarantiner.Fingerprint {
	if t.fingerprint != nil {
		return *t.fingerprint
	}
	body := t.call.Short
	if t.body != nil {
		body = t.body.first()
	}
	f := fingerprint(t.call, body)
	t.fingerprint = &f
	return f
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
	t.sighting = f.Quarantine.Look(t.print(), t.sighting)
	return exchanger.Refused(exchanger.ReasonQuarantined, t.sighting.After), t.sighting.Barred
}

// judge takes in what a run says of its call.
func (f *Forwarder) judge(t *try, r exchanger.Result) {
	switch {
	case f.Quarantine == nil:
	case r.Reason == exchanger.ReasonUpstreamEnded:
		t.sighting.Fingerprint = t.print()
		t.careful = f.Quarantine.Crashed(t.sighting).Careful()
	case r.Outcome == exchanger.Answered && r.Whole && t.status < http.StatusInternalServerError && f.Quarantine.Any():
		f.Quarantine.Answered(t.print())
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
