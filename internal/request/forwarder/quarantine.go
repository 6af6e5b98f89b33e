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
type prefixReader struct {
	body io.Reader
	// readable tells that the body may be read before a slot is held: that of a call which came
	// over a link arrives only after that.
	readable bool

	lock sync.Mutex
	// buffered is the first part, and unread what of it was read ahead.
	buffered []byte
	unread   []byte
}

// Read keeps what it reads, up to maxBufferedBody bytes.
func (b *prefixReader) Read(p []byte) (int, error) {
	if n := b.takeUnread(p); n > 0 {
		return n, nil
	}
	n, err := b.body.Read(p)
	b.lock.Lock()
	defer b.lock.Unlock()
	if room := maxBufferedBody - len(b.buffered); room > 0 {
		b.buffered = append(b.buffered, p[:min(n, room)]...)
	}
	return n, err
}

func (b *prefixReader) takeUnread(p []byte) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n
}

// Close tells the source of the body that nobody reads it any more.
func (b *prefixReader) Close() error {
	if c, ok := b.body.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// readAhead reads the first part before anybody else does. An error comes again with the next
// read.
func (b *prefixReader) readAhead() {
	if _, whole := b.prefix(); whole || !b.readable {
		return
	}
	head := make([]byte, maxBufferedBody)
	n, _ := io.ReadFull(b.body, head)
	b.lock.Lock()
	defer b.lock.Unlock()
	b.buffered, b.unread = head[:n], head[:n]
}

// prefix returns what was kept, and whether that is the whole first part.
func (b *prefixReader) prefix() ([]byte, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return bytes.Clone(b.buffered), len(b.buffered) == maxBufferedBody
}

// fingerprint returns what stands for a call. The service counts in place of the host, which
// is the entry's own address where a caller names the service. Of a long body its beginning
// and its length count.
func fingerprint(c *exchanger.Call, body []byte) quarantiner.Fingerprint {
	return quarantiner.Content{
		Method: c.Method, Host: string(c.Service), Target: c.Target,
		Caller: quarantiner.CallerCredentials(c.Header), Body: body, Length: c.Length,
	}.Fingerprint()
}

// callFingerprint returns what stands for the call of the try, and reports false for a long body of which
// too little was read to tell.
func (t *attempts) callFingerprint() (quarantiner.Fingerprint, bool) {
	if t.fingerprint != nil {
		return *t.fingerprint, true
	}
	body := t.call.Short
	if t.body != nil {
		first, whole := t.body.prefix()
		if !whole {
			return quarantiner.Fingerprint{}, false
		}
		body = first
	}
	f := fingerprint(t.call, body)
	t.fingerprint = &f
	return f, true
}

// anySuspects tells whether any request is a suspect now: nearly always none is.
func (f *Forwarder) anySuspects() bool {
	return f.Quarantine != nil && f.Quarantine.HasSuspects()
}

// refuseQuarantined refuses a call that is in quarantine.
func (f *Forwarder) refuseQuarantined(t *attempts) (exchanger.Result, bool) {
	if !f.anySuspects() {
		return exchanger.Result{}, false
	}
	if t.body != nil && !t.admitted {
		t.body.readAhead()
	}
	known, ok := t.callFingerprint()
	if !ok {
		return exchanger.Result{}, false
	}
	t.observation = f.Quarantine.Look(known, t.observation)
	return exchanger.Refused(exchanger.ReasonQuarantined, t.observation.After), t.observation.Barred
}

// updateSuspect takes in what a run says of its call.
func (f *Forwarder) updateSuspect(t *attempts, r exchanger.Result) {
	if f.Quarantine == nil {
		return
	}
	ended := r.Reason == exchanger.ReasonUpstreamEnded
	innocent := r.Outcome == exchanger.Answered && r.Whole && t.status < http.StatusInternalServerError
	if !ended && (!innocent || !f.Quarantine.HasSuspects()) {
		return
	}
	known, ok := t.callFingerprint()
	switch {
	case !ok:
	case ended:
		t.observation.Fingerprint = known
		t.isolated = f.Quarantine.Crashed(t.observation).Isolated()
	default:
		f.Quarantine.Answered(known)
	}
}

// Admit refuses a call that came into quarantine while it waited for a slot.
func (f *Forwarder) Admit(c *exchanger.Call) (exchanger.Result, bool) {
	if c.Body != nil || !f.anySuspects() {
		return exchanger.Result{}, false
	}
	left, held := f.Quarantine.Remaining(fingerprint(c, c.Short))
	return exchanger.Refused(exchanger.ReasonQuarantined, left), held
}
