package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// prefixReader keeps the first part of a streamed body as it is read, so that the request can
// be fingerprinted.
type prefixReader struct {
	body io.Reader
	// readable means that the body may be read before a slot is held. The body of a call that
	// came over a link arrives only once a slot is held.
	readable bool

	lock sync.Mutex
	// buffered is the first part of the body, and unread the part of it that was read ahead
	// but not consumed yet.
	buffered []byte
	unread   []byte
}

// Read reads from the body and keeps up to maxBufferedBody bytes.
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

// Close closes the source of the body if it can be closed.
func (b *prefixReader) Close() error {
	if c, ok := b.body.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// readAhead reads the first part of the body before it is consumed. An error is returned by
// the next Read.
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

// fingerprint returns the fingerprint of a call. It uses the service in place of the host,
// since the host is the entry's own address if the caller names the service in a header. Of a
// streamed body it uses the beginning and the length.
func fingerprint(c *exchanger.Call, body []byte) quarantiner.Fingerprint {
	return quarantiner.Content{
		Method: c.Method, Host: string(c.Service), Target: c.Target,
		Caller: quarantiner.CallerCredentials(c.Header), Body: body, Length: c.Length,
	}.Fingerprint()
}

// callFingerprint returns the fingerprint of the call, and reports false if too little of a
// streamed body was read to compute it.
func (t *attempts) callFingerprint() (quarantiner.Fingerprint, bool) {
	if t.fingerprint != nil {
		return *t.fingerprint, true
	}
	body := t.call.ShortBody
	if t.body != nil {
		prefix, whole := t.body.prefix()
		if !whole {
			return quarantiner.Fingerprint{}, false
		}
		body = prefix
	}
	f := fingerprint(t.call, body)
	t.fingerprint = &f
	return f, true
}

// anySuspects reports whether any request is currently a suspect. Usually none is.
func (f *Forwarder) anySuspects() bool {
	return f.Quarantine != nil && f.Quarantine.HasSuspects()
}

// quarantined returns a refusal for a call, and whether the call is in quarantine.
func (f *Forwarder) quarantined(t *attempts) (exchanger.Result, bool) {
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
	t.observation = f.Quarantine.Check(known, t.observation)
	return exchanger.Refused(exchanger.ReasonQuarantined, t.observation.After), t.observation.Refused
}

// updateSuspect records a crash if the upstream terminated while it ran the call, and clears
// the call after a complete response other than a server error.
func (f *Forwarder) updateSuspect(t *attempts, r exchanger.Result) {
	if f.Quarantine == nil {
		return
	}
	crashed := r.Reason == exchanger.ReasonUpstreamTerminated
	innocent := r.Outcome == exchanger.Answered && r.Whole && t.status < http.StatusInternalServerError
	if !crashed && (!innocent || !f.Quarantine.HasSuspects()) {
		return
	}
	known, ok := t.callFingerprint()
	switch {
	case !ok:
	case crashed:
		t.observation.Fingerprint = known
		t.isolated = f.Quarantine.RecordCrash(t.observation).Isolated()
	default:
		f.Quarantine.RecordAnswer(known)
	}
}

// RefuseQuarantined refuses a call that was quarantined while it waited for a slot.
func (f *Forwarder) RefuseQuarantined(c *exchanger.Call) (exchanger.Result, bool) {
	if c.Body != nil || !f.anySuspects() {
		return exchanger.Result{}, false
	}
	remaining, held := f.Quarantine.Remaining(fingerprint(c, c.ShortBody))
	return exchanger.Refused(exchanger.ReasonQuarantined, remaining), held
}
