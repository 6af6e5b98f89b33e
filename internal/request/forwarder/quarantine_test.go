package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// A daemon that chooses the owner for another entry must not read a body ahead to fingerprint
// the request while another request is a suspect: the entry sends the body only once a slot is
// held, so both would wait until the deadline.
func TestLinkedBodyIsNotReadAhead(t *testing.T) {
	is := is.New(t)
	var got atomic.Int64
	f := newForwarder(t, func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		got.Store(n)
	})
	f.Quarantine = &quarantiner.Quarantiner{}
	f.Quarantine.RecordCrash(quarantiner.Observation{Suspect: quarantiner.Suspect{Fingerprint: quarantiner.Fingerprint{1}}})
	reader, writer := io.Pipe()
	c := call(http.MethodPut)
	c.Body, c.Length = reader, 40_000
	c.Admitted = func() {
		go func() {
			_, _ = writer.Write(bytes.Repeat([]byte("x"), 40_000))
			_ = writer.Close()
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := f.RunLinked(ctx, c, true)
	is.Equal(r.Outcome, exchanger.Answered)
	is.Equal(got.Load(), int64(40_000))
}

// TestLongBodyIsIdentifiedByPrefixAndLength quarantines a request with a long body. A request
// with the same beginning and length is refused; one with another beginning or length is not.
func TestLongBodyIsIdentifiedByPrefixAndLength(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	f.Quarantine = &quarantiner.Quarantiner{}
	run := func(body string) exchanger.Result {
		c := call(http.MethodPut)
		c.Body, c.Length, c.BodyReady = bytes.NewReader([]byte(body)), int64(len(body)), true
		return f.RunLinked(context.Background(), c, true)
	}
	long := string(bytes.Repeat([]byte("long"), 10_000))
	content := quarantiner.Content{Method: http.MethodPut, Host: string(service), Target: "/x", Body: []byte(long[:16<<10]), Length: int64(len(long))}
	f.Quarantine.Merge([]quarantiner.Suspect{{Fingerprint: content.Fingerprint(), Crashes: 3}})
	barred := run(long)
	is.Equal(barred.Outcome, exchanger.NotRun)
	is.Equal(barred.Reason, exchanger.ReasonQuarantined)
	is.True(barred.RetryAfter > 0)
	is.Equal(run(long+"er").Outcome, exchanger.Answered)
	is.Equal(run("b"+long[1:]).Outcome, exchanger.Answered)
	is.Equal(run(long[:20_000]).Outcome, exchanger.Answered)
}
