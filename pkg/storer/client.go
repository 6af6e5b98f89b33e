package storer

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/gullvale/gullvale/pkg/decoder"
	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/pkg/verifier"
)

const (
	// MaxObjectBytes is the maximum size of an object body.
	MaxObjectBytes = 1 << 20

	// DefaultTimeout bounds the time until the response to a call other than a
	// watch begins.
	DefaultTimeout = 2 * timekeeper.Second

	// watchMargin is added to the requested wait of a watch to get its timeout.
	watchMargin = 2 * timekeeper.Second

	// maxResponseBytes limits the size of a response, so that a faulty platform
	// cannot exhaust the memory of a daemon.
	maxResponseBytes = 64 << 20
)

// Errors returned by calls, to be tested with errors.Is.
var (
	ErrNotFound    = eris.New("object not found")
	ErrConflict    = eris.New("object has another revision")
	ErrUnknown     = eris.New("response lost: the write may have taken effect")
	ErrUnreachable = eris.New("platform unreachable")
	ErrRefused     = eris.New("platform refused the call")
	// ErrCompacted means that the changes since the revision of a watch are
	// no longer available, and the caller must list again.
	ErrCompacted = eris.New("change history no longer available")
)

type (
	// Revision numbers all writes of the platform in increasing order. It holds the era above
	// the number that the platform gave out, so each revision of an era is after all of
	// earlier eras.
	Revision uint64

	// Object is a named value.
	Object struct {
		Name     string
		Revision Revision
		Body     []byte
	}

	// Batch is the result of a list or a watch: objects ordered by name (list) or
	// by revision (watch), and the revision up to which they are complete.
	Batch struct {
		Revision Revision
		Objects  []Object
	}

	// Calls counts the calls of a client and the bytes transferred.
	Calls struct {
		Reads   atomic.Uint64
		Writes  atomic.Uint64
		Watches atomic.Uint64
		Bytes   atomic.Uint64
	}

	// Client calls the object API. Address and Token must be set before use;
	// the zero values of the other fields are valid. It is safe for concurrent use.
	Client struct {
		// Address is the base URL, such as "http://10.0.0.5:7000".
		Address string
		Token   string
		// Timeout bounds the time until a response begins; 0 means DefaultTimeout.
		Timeout timekeeper.Millis
		// IdleTimeout bounds the pauses within a response, and MaxTransferTime how much
		// longer than its timeout a call may take in total; 0 means the default.
		IdleTimeout, MaxTransferTime timekeeper.Millis
		// Do sends a request; nil means httpc.DoRequest.
		Do func(*http.Request) (*http.Response, error)
		// OnTimeout is called for each call that timed out: other connections to the
		// platform may be dead as well. It may be nil.
		OnTimeout func()

		calls Calls
		eras  eraObserver
	}
)

// Calls returns the call counters of c.
func (c *Client) Calls() *Calls {
	return &c.calls
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	c.calls.Reads.Add(1)
	q, err := c.Request(ctx, http.MethodGet, objectPath(name), nil)
	if err != nil {
		return Object{}, err
	}
	p, body, e, err := c.read(q, c.timeout())
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Revision: RevisionAt(e, revisionOf(p)), Body: body}, nil
}

// Create writes an object. It returns ErrConflict if the object exists.
func (c *Client) Create(ctx context.Context, name string, body []byte) (Revision, error) {
	return c.CreateIn(ctx, c.Era(), name, body)
}

// CreateIn writes an object that did not exist in an era. It returns ErrConflict if the object
// exists or the platform is in another era.
func (c *Client) CreateIn(ctx context.Context, e Era, name string, body []byte) (Revision, error) {
	return c.write(ctx, http.MethodPut, name, body, condition{e, "If-None-Match", "*"})
}

// Update writes an object. It returns ErrConflict if its revision is not at.
func (c *Client) Update(ctx context.Context, name string, body []byte, at Revision) (Revision, error) {
	return c.write(ctx, http.MethodPut, name, body, condition{at.Era(), "If-Match", etagOf(at)})
}

// Delete deletes an object. It returns ErrConflict if its revision is not at.
func (c *Client) Delete(ctx context.Context, name string, at Revision) error {
	_, err := c.write(ctx, http.MethodDelete, name, nil, condition{at.Era(), "If-Match", etagOf(at)})
	return err
}

// List returns up to limit objects whose names start with prefix and sort
// after the name after. The revision of the batch is that of the whole list.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Batch, error) {
	c.calls.Reads.Add(1)
	v := url.Values{"Prefix": {prefix}, "After": {after}, "Limit": {strconv.Itoa(limit)}}
	q, err := c.Request(ctx, http.MethodGet, "/List?"+v.Encode(), nil)
	if err != nil {
		return Batch{}, err
	}
	_, body, e, err := c.read(q, c.timeout())
	return decodeBatch(q, body, e, err)
}

// Watch waits until an object under one of the prefixes has a revision above
// since, and returns all such objects. It returns an empty batch if there is none
// within wait, and ErrCompacted if since is of another era than the platform.
func (c *Client) Watch(ctx context.Context, prefixes []string, since Revision, wait timekeeper.Millis) (Batch, error) {
	c.calls.Watches.Add(1)
	v := url.Values{
		"Prefix":     prefixes,
		"Since":      {strconv.FormatUint(since.Number(), 10)},
		"WaitMillis": {strconv.FormatInt(int64(wait), 10)},
	}
	ctx, cancel := c.eras.cancelAfter(ctx, since.Era())
	defer cancel()
	q, err := c.Request(ctx, http.MethodGet, "/Watch?"+v.Encode(), nil)
	if err != nil {
		return Batch{}, err
	}
	_, body, e, err := c.callIn(q, wait+watchMargin, since.Era())
	return decodeBatch(q, body, e, err)
}

// decodeBatch decodes the response to a list or a watch in an era.
func decodeBatch(q *http.Request, body []byte, e Era, err error) (Batch, error) {
	if err != nil {
		return Batch{}, err
	}
	var b Batch
	if err := decoder.Decode(body, &b); err != nil {
		return Batch{}, eris.Wrapf(ErrUnreachable, "invalid response to %s: %v", q.URL.Path, err)
	}
	b.stamp(e)
	return b, nil
}

func (c *Client) write(ctx context.Context, method, name string, body []byte, holds condition) (Revision, error) {
	if len(body) > MaxObjectBytes {
		return 0, eris.Wrapf(ErrRefused, "object %s has %d bytes, the limit is %d", name, len(body), MaxObjectBytes)
	}
	c.calls.Writes.Add(1)
	q, err := c.Request(ctx, method, objectPath(name), body)
	if err != nil {
		return 0, err
	}
	q.Header.Set(holds.field, holds.tag)
	p, _, e, err := c.callIn(q, c.timeout(), holds.era)
	if err != nil {
		return 0, err
	}
	return RevisionAt(e, revisionOf(p)), nil
}

// Request returns a request to be passed to Call. It is exported for platforms
// whose API uses other paths.
func (c *Client) Request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrRefused, "invalid platform address %q: %v", c.Address, err)
	}
	if c.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if body == nil {
		q.Body = http.NoBody
		q.ContentLength = 0
	}
	// Without GetBody the transport never retries a write on its own. A retried
	// create would get a conflict with its own first attempt.
	q.GetBody = nil
	return q, nil
}

// Call sends a request made by Request and returns the response and its body.
// The response must begin within the timeout, which restarts after the last byte of a long
// request body, and must then continue without long pauses. The total time is not bounded
// by the timeout, since it depends on the length and the bandwidth. For a status that is
// not a success, Call returns both the body and an error.
func (c *Client) Call(q *http.Request, timeout timekeeper.Millis) (*http.Response, []byte, error) {
	ctx, progressTimer := c.startProgressTimer(q.Context(), timeout)
	defer progressTimer.stop()
	var wrote atomic.Bool
	q = q.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}))
	idle := cmp.Or(c.IdleTimeout, defaultIdleTimeout).Duration()
	if q.ContentLength > maxUnmonitoredBytes {
		// Bytes that were read from the body may still be in the connection's buffers.
		q.Body = monitoredBody{q.Body, progressTimer, timeout.Duration() + idle}
	}
	do := c.Do
	if do == nil {
		do = httpc.DoRequest
	}
	p, err := verifier.RoundTrip(q, do)
	if err != nil && !wrote.Load() && isDialError(err) {
		return nil, nil, eris.Wrapf(&DialError{Cause: err}, "%s %s", q.Method, q.URL.Path)
	}
	if err != nil {
		return nil, nil, c.requestError(q, err, 0)
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(monitoredBody{p.Body, progressTimer, idle}, maxResponseBytes))
	c.calls.Bytes.Add(uint64(len(body)) + uint64(max(q.ContentLength, 0)))
	if err != nil {
		return nil, nil, c.requestError(q, err, len(body))
	}
	return p, body, statusError(q, p.StatusCode, body)
}

func (c *Client) timeout() timekeeper.Millis {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func statusError(q *http.Request, status int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), 200)]))
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return eris.Wrapf(ErrNotFound, "%s", q.URL.Path)
	case status == http.StatusGone:
		return eris.Wrapf(ErrCompacted, "%s", q.URL.Path)
	case status == http.StatusPreconditionFailed || status == http.StatusConflict:
		return eris.Wrapf(ErrConflict, "%s", q.URL.Path)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return eris.Wrapf(ErrUnreachable, "%s: status %d %s", q.URL.Path, status, text)
	case status >= http.StatusInternalServerError && q.Method != http.MethodGet:
		return eris.Wrapf(ErrUnknown, "%s: status %d %s", q.URL.Path, status, text)
	case status >= http.StatusInternalServerError:
		return eris.Wrapf(ErrUnreachable, "%s: status %d %s", q.URL.Path, status, text)
	}
	return eris.Wrapf(ErrRefused, "%s: status %d %s", q.URL.Path, status, text)
}

func objectPath(name string) string {
	return "/Objects/" + url.PathEscape(name)
}

func etagOf(r Revision) string {
	return strconv.Quote(strconv.FormatUint(r.Number(), 10))
}

// revisionOf returns the number of the revision in a response.
func revisionOf(p *http.Response) uint64 {
	tag, err := strconv.Unquote(p.Header.Get("ETag"))
	if err != nil {
		return 0
	}
	n, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
