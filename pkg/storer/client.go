package storer

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// MaxObjectBytes is the largest body the platform holds.
	MaxObjectBytes = 1 << 20

	// DefaultTimeout bounds one call other than a watch.
	DefaultTimeout = 2 * timekeeper.Second

	// watchSlack is what a watch may take beyond the wait it asked for.
	watchSlack = 2 * timekeeper.Second

	// maxAnswerBytes bounds what a list or watch may return, so that a
	// platform gone wrong cannot exhaust the memory of a daemon.
	maxAnswerBytes = 64 << 20
)

// The outcomes of a call, to be tested with errors.Is.
var (
	ErrNotFound    = eris.New("object not found")
	ErrConflict    = eris.New("object has another revision")
	ErrUnknown     = eris.New("answer lost: the write may have taken effect")
	ErrUnreachable = eris.New("platform unreachable")
	ErrRefused     = eris.New("platform refused the call")
	// ErrCompacted means that the changes since the revision of a watch are
	// not kept any more: list again.
	ErrCompacted = eris.New("history of the platform is gone")
)

type (
	// Revision numbers the writes of the whole platform. It only grows.
	Revision uint64

	// Object is one named value.
	Object struct {
		Name     string
		Revision Revision
		Body     []byte
	}

	// Batch is the answer to a list or a watch: objects in order of revision
	// (watch) or of name (list), and the revision up to which it is complete.
	Batch struct {
		Revision Revision
		Objects  []Object
	}

	// Calls counts what a client asked of the platform.
	Calls struct {
		Reads   atomic.Uint64
		Writes  atomic.Uint64
		Watches atomic.Uint64
		Bytes   atomic.Uint64
	}

	// Client calls the object API. Address and Token must be set before use;
	// the other fields have useful zero values. It is safe for concurrent use.
	Client struct {
		// Address is the base URL, such as "http://10.0.0.5:7000".
		Address string
		Token   string
		// Timeout bounds the time until an answer begins; 0 means DefaultTimeout.
		Timeout timekeeper.Millis
		// Silence bounds how long nothing may come of an answer that has begun, and
		// LongestTransfer how much longer than its timeout a call may take in all; 0
		// means the usual ones.
		Silence, LongestTransfer timekeeper.Millis
		// Do sends a request; nil means httpc.DoRequest.
		Do func(*http.Request) (*http.Response, error)
		// TimedOut is told of each call that was given up: other connections to the
		// platform may be as dead as the one that it used. Nil means nobody wants to know.
		TimedOut func()

		calls Calls
	}
)

// Calls returns the counters of c.
func (c *Client) Calls() *Calls {
	return &c.calls
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	c.calls.Reads.Add(1)
	q, err := c.Request(ctx, http.MethodGet, objectPath(name), nil)
	if err != nil {
		return Object{}, err
	}
	p, body, err := c.Call(q, c.timeout())
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Revision: revisionOf(p), Body: body}, nil
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, name string, body []byte) (Revision, error) {
	return c.write(ctx, http.MethodPut, name, body, "If-None-Match", "*")
}

// Update writes an object that must still have the revision at.
func (c *Client) Update(ctx context.Context, name string, body []byte, at Revision) (Revision, error) {
	return c.write(ctx, http.MethodPut, name, body, "If-Match", tagOf(at))
}

// Delete removes an object that must still have the revision at.
func (c *Client) Delete(ctx context.Context, name string, at Revision) error {
	_, err := c.write(ctx, http.MethodDelete, name, nil, "If-Match", tagOf(at))
	return err
}

// List returns up to limit objects whose names start with prefix and sort
// behind after. The revision of the batch is that of the whole list.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Batch, error) {
	c.calls.Reads.Add(1)
	v := url.Values{"Prefix": {prefix}, "After": {after}, "Limit": {strconv.Itoa(limit)}}
	return c.batch(ctx, "/List?"+v.Encode(), c.timeout())
}

// Watch waits until an object under one of the prefixes has a revision above
// since, and returns all such; after wait it returns an empty batch.
func (c *Client) Watch(ctx context.Context, prefixes []string, since Revision, wait timekeeper.Millis) (Batch, error) {
	c.calls.Watches.Add(1)
	v := url.Values{
		"Prefix":     prefixes,
		"Since":      {strconv.FormatUint(uint64(since), 10)},
		"WaitMillis": {strconv.FormatInt(int64(wait), 10)},
	}
	return c.batch(ctx, "/Watch?"+v.Encode(), wait+watchSlack)
}

func (c *Client) batch(ctx context.Context, path string, timeout timekeeper.Millis) (Batch, error) {
	q, err := c.Request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return Batch{}, err
	}
	_, body, err := c.Call(q, timeout)
	if err != nil {
		return Batch{}, err
	}
	var b Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return Batch{}, eris.Wrapf(ErrUnreachable, "bad answer to %s: %v", path, err)
	}
	return b, nil
}

func (c *Client) write(ctx context.Context, method, name string, body []byte, condition, tag string) (Revision, error) {
	if len(body) > MaxObjectBytes {
		return 0, eris.Wrapf(ErrRefused, "object %s has %d bytes, the most is %d", name, len(body), MaxObjectBytes)
	}
	c.calls.Writes.Add(1)
	q, err := c.Request(ctx, method, objectPath(name), body)
	if err != nil {
		return 0, err
	}
	q.Header.Set(condition, tag)
	p, _, err := c.Call(q, c.timeout())
	if err != nil {
		return 0, err
	}
	return revisionOf(p), nil
}

// Request builds a call of the platform, for APIs that spell theirs otherwise.
func (c *Client) Request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrRefused, "platform address %q: %v", c.Address, err)
	}
	if c.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if body == nil {
		q.Body = http.NoBody
		q.ContentLength = 0
	}
	// Without GetBody the transport never repeats a write on its own: a
	// repeated create would see its own first try as a conflict.
	q.GetBody = nil
	return q, nil
}

// Call makes a call that Request built and returns its answer with the body read.
// The answer must begin within the timeout, counted anew after the last byte of a long body,
// and go on without long silence after that: how long the whole takes depends on its length
// and the path. An answer that is no success is an error, beside which the body is returned.
func (c *Client) Call(q *http.Request, timeout timekeeper.Millis) (*http.Response, []byte, error) {
	ctx, patience := c.patience(q.Context(), timeout)
	defer patience.stop()
	var wrote atomic.Bool
	q = q.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}))
	rest := cmp.Or(c.Silence, silence).Duration()
	if q.ContentLength > shortBody {
		// What is read of a body may yet wait in the buffers of the connection.
		q.Body = watched{q.Body, patience, timeout.Duration() + rest}
	}
	do := c.Do
	if do == nil {
		do = httpc.DoRequest
	}
	p, err := do(q)
	if err != nil && !wrote.Load() && isDial(err) {
		return nil, nil, eris.Wrapf(&DialError{Cause: err}, "%s %s", q.Method, q.URL.Path)
	}
	if err != nil {
		return nil, nil, c.failure(q, err, 0)
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(watched{p.Body, patience, rest}, maxAnswerBytes))
	c.calls.Bytes.Add(uint64(len(body)) + uint64(max(q.ContentLength, 0)))
	if err != nil {
		return nil, nil, c.failure(q, err, len(body))
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

func tagOf(r Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(r), 10))
}

func revisionOf(p *http.Response) Revision {
	tag, err := strconv.Unquote(p.Header.Get("ETag"))
	if err != nil {
		return 0
	}
	n, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		return 0
	}
	return Revision(n)
}
