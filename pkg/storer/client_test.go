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
	// piece and pause are how a slow path passes a body on: 20 pieces take far longer
	// than timeout, with pauses far shorter than any silence that ends a call.
	piece   = 1 << 10
	pieces  = 20
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
	_, answer, err := c.Call(q, timeout)
	return answer, err
}

// TestSlowAnswerIsReadWhole has an answer take four times the time that it has to begin.
func TestSlowAnswerIsReadWhole(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range pieces {
			_, _ = w.Write(make([]byte, piece))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}))
	defer s.Close()

	answer, err := call(t, http.MethodGet, s.URL, nil)
	is.NoErr(err)
	is.Equal(len(answer), pieces*piece)
}

// TestSlowBodyIsSentWhole has a body that takes longer to send than its answer has to begin.
func TestSlowBodyIsSentWhole(t *testing.T) {
	is := is.New(t)
	const length = 8 << 20
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := 0
		for b := make([]byte, length/pieces); ; time.Sleep(pause) {
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
		// What the kernel buffers would hide the slow path.
		if c, ok := c.(*net.TCPConn); ok {
			_ = c.SetReadBuffer(64 << 10)
		}
	}
	s.Start()
	defer s.Close()

	_, err := call(t, http.MethodPut, s.URL, bytes.Repeat([]byte("x"), length))
	is.NoErr(err)
}

// TestSilenceEndsACall has an answer that never begins, and one that stops midway.
func TestSilenceEndsACall(t *testing.T) {
	tests := []struct {
		name string
		send int
	}{
		{"no answer", 0},
		{"half an answer", piece},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server sees a caller leave only once it has read the body.
				_, _ = io.Copy(io.Discard, r.Body)
				if x.send > 0 {
					w.Header().Set("Content-Length", "100000")
					_, _ = w.Write(make([]byte, x.send))
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
			}))
			defer s.Close()

			c := &storer.Client{Address: s.URL, Silence: 2 * timeout}
			_, err := callWith(t, c, http.MethodGet, nil)
			var given *storer.TimeoutError
			is.True(errors.As(err, &given))
			is.Equal(given.Read, x.send)
			is.True(errors.Is(err, storer.ErrUnreachable))
			is.Equal(storer.Outcome(err), "timeout")

			_, err = callWith(t, c, http.MethodPut, []byte("x"))
			is.True(errors.Is(err, storer.ErrUnknown)) // it may have taken effect
		})
	}
}

// TestTrickleEnds has an answer whose bytes never stop coming.
func TestTrickleEnds(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, piece))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}))
	defer s.Close()
	told := 0
	c := &storer.Client{Address: s.URL, LongestTransfer: 2 * timeout, TimedOut: func() { told++ }}

	_, err := callWith(t, c, http.MethodGet, nil)
	var given *storer.TimeoutError
	is.True(errors.As(err, &given))
	is.True(given.Read > piece) // it was read for longer than it had to begin
	is.Equal(told, 1)
}
