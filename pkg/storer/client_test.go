package storer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// A slow path is simulated by chunks with pauses between them: 20 chunks take far
	// longer than timeout, with pauses far shorter than any idle timeout.
	chunk   = 1 << 10
	chunks  = 20
	pause   = 20 * time.Millisecond
	timeout = 100 * timekeeper.Millis(1)
)

func call(t *testing.T, method, url string, body []byte) ([]byte, error) {
	t.Helper()
	return callWith(t, &storer.Client{Address: url}, method, body)
}

func callWith(t *testing.T, c *storer.Client, method string, body []byte) ([]byte, error) {
	t.Helper()
	q, err := c.Request(context.Background(), method, "/", body)
	if err != nil {
		t.Fatal(err)
	}
	_, response, err := c.Call(q, timeout)
	return response, err
}

// TestSlowAnswerIsReadWhole guards against a timeout during a response that begins in time
// and takes four times the timeout to arrive.
func TestSlowAnswerIsReadWhole(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range chunks {
			_, _ = w.Write(make([]byte, chunk))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}))
	defer s.Close()

	response, err := call(t, http.MethodGet, s.URL, nil)
	is.NoErr(err)
	is.Equal(len(response), chunks*chunk)
}

// TestSlowBodyIsSentWhole guards against a timeout while a request body is sent that takes
// longer to send than the timeout for the response to begin.
func TestSlowBodyIsSentWhole(t *testing.T) {
	is := is.New(t)
	const length = 8 << 20
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := 0
		for b := make([]byte, length/chunks); ; time.Sleep(pause) {
			n, err := io.ReadFull(r.Body, b)
			received += n
			if err != nil {
				break
			}
		}
		if received != length {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	s.Config.ConnState = func(c net.Conn, _ http.ConnState) {
		// Large kernel buffers would hide the slow path.
		if c, ok := c.(*net.TCPConn); ok {
			_ = c.SetReadBuffer(64 << 10)
		}
	}
	s.Start()
	defer s.Close()

	_, err := call(t, http.MethodPut, s.URL, bytes.Repeat([]byte("x"), length))
	is.NoErr(err)
}

// TestCallWithoutProgressTimesOut checks that a call times out if its response never begins or
// stops midway.
func TestCallWithoutProgressTimesOut(t *testing.T) {
	tests := []struct {
		name string
		send int
	}{
		{"no response", 0},
		{"part of a response", chunk},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server notices a closed connection only after it has read the body.
				_, _ = io.Copy(io.Discard, r.Body)
				if x.send > 0 {
					w.Header().Set("Content-Length", "100000")
					_, _ = w.Write(make([]byte, x.send))
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
			}))
			defer s.Close()

			c := &storer.Client{Address: s.URL, IdleTimeout: 2 * timeout}
			_, err := callWith(t, c, http.MethodGet, nil)
			var timedOut *storer.TimeoutError
			is.True(errors.As(err, &timedOut))
			is.Equal(timedOut.Read, x.send)
			is.True(errors.Is(err, storer.ErrUnreachable))
			is.Equal(storer.Outcome(err), "timeout")

			_, err = callWith(t, c, http.MethodPut, []byte("x"))
			is.True(errors.Is(err, storer.ErrUnknown)) // the write may have taken effect
		})
	}
}

// TestTransferTimeIsLimited checks that a response that arrives slowly and never ends is
// aborted after MaxTransferTime.
func TestTransferTimeIsLimited(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, chunk))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}))
	defer s.Close()
	timeouts := 0
	c := &storer.Client{Address: s.URL, MaxTransferTime: 2 * timeout, OnTimeout: func() { timeouts++ }}

	_, err := callWith(t, c, http.MethodGet, nil)
	var timedOut *storer.TimeoutError
	is.True(errors.As(err, &timedOut))
	is.True(timedOut.Read > chunk) // reading went on beyond the timeout
	is.Equal(timeouts, 1)
}
