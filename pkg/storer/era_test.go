package storer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const watchWait = 20 * timekeeper.Second

func newStore(t *testing.T, p *platform.Server) (address string, control func(path string)) {
	t.Helper()
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return s.URL, func(path string) {
		resp, err := http.Post(s.URL+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// TestConditionOfFormerEraIsNotMetByAccident guards against a write whose condition holds only
// because the store has given the revision out again.
func TestConditionOfFormerEraIsNotMetByAccident(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address, control := newStore(t, &platform.Server{})
	x, y := &storer.Client{Address: address}, &storer.Client{Address: address}
	_, err := x.Create(ctx, "a", []byte("copied"))
	is.NoErr(err)
	control("/Copy")
	o, err := x.Get(ctx, "a")
	is.NoErr(err)
	lost, err := x.Update(ctx, "a", []byte("lost"), o.Revision)
	is.NoErr(err)
	control("/Restore")
	o, err = y.Get(ctx, "a")
	is.NoErr(err)
	again, err := y.Update(ctx, "a", []byte("present"), o.Revision)
	is.NoErr(err)
	is.Equal(again.Number(), lost.Number())
	is.True(again > lost)

	// x has made no call since the store returned.
	_, err = x.Update(ctx, "a", []byte("accident"), lost)
	is.True(errors.Is(err, storer.ErrConflict))
	var another *storer.EraError
	is.True(errors.As(err, &another))
	is.Equal(another.Present, storer.Era(1))
	is.True(errors.Is(x.Delete(ctx, "a", lost), storer.ErrConflict))
	_, err = x.CreateIn(ctx, 0, "b", nil)
	is.True(errors.Is(err, storer.ErrConflict))
	o, err = x.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(o.Body), "present")
	is.Equal(o.Revision, again)
}

// TestWatchEndsWhenTheStoreReturns guards against a watch that waits beyond the revision of the
// store's copy, both at the store and after any other response has reported the era.
func TestWatchEndsWhenTheStoreReturns(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address, control := newStore(t, &platform.Server{})
	c := &storer.Client{Address: address}
	control("/Copy")
	since, err := c.Create(ctx, "a", nil)
	is.NoErr(err)
	control("/Restore")
	_, err = c.Watch(ctx, []string{""}, since, watchWait)
	is.True(errors.Is(err, storer.ErrCompacted))
	b, err := c.List(ctx, "", "", 10)
	is.NoErr(err)
	is.Equal(len(b.Objects), 0)
	is.Equal(b.Revision, storer.RevisionAt(1, 0))
	_, err = c.Watch(ctx, []string{""}, b.Revision, 0)
	is.NoErr(err)

	ended := make(chan error)
	silent := newSilentServer(t)
	waiting := &storer.Client{Address: silent.URL}
	go func() {
		_, err := waiting.Watch(ctx, []string{""}, 5, watchWait)
		ended <- err
	}()
	silent.waitCall()
	waiting.ObserveEra(1)
	is.True(errors.Is(<-ended, storer.ErrCompacted))
}

// silentServer never responds.
type silentServer struct {
	*httptest.Server
	called chan struct{}
}

func newSilentServer(t *testing.T) *silentServer {
	t.Helper()
	s := &silentServer{called: make(chan struct{}, 1)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.called <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *silentServer) waitCall() { <-s.called }

// TestResponseOfFormerCopyIsNoNews guards against reads and writes that a former copy of the store
// answers after the present one.
func TestResponseOfFormerCopyIsNoNews(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	era := 2
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Era", fmt.Sprint(era))
		w.Header().Set("ETag", `"7"`)
		_, _ = w.Write([]byte(`{"Revision":7}`))
	}))
	defer s.Close()
	c := &storer.Client{Address: s.URL}
	o, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(o.Revision, storer.RevisionAt(2, 7))
	era = 1
	_, err = c.Get(ctx, "a")
	is.True(errors.Is(err, storer.ErrUnreachable))
	_, err = c.List(ctx, "", "", 1)
	is.True(errors.Is(err, storer.ErrUnreachable))
	_, err = c.Update(ctx, "a", nil, o.Revision)
	is.True(errors.Is(err, storer.ErrUnknown))
	is.Equal(c.Era(), storer.Era(2))
}

// TestStoreWithoutErasIsUsedAsBefore checks that revisions of a store that reports no era are bare.
func TestStoreWithoutErasIsUsedAsBefore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address, control := newStore(t, &platform.Server{WithoutEras: true})
	c := &storer.Client{Address: address}
	control("/Copy")
	control("/Restore")
	at, err := c.Create(ctx, "a", nil)
	is.NoErr(err)
	is.Equal(at, storer.Revision(1))
	at, err = c.Update(ctx, "a", []byte("b"), at)
	is.NoErr(err)
	b, err := c.Watch(ctx, []string{""}, 1, 0)
	is.NoErr(err)
	is.Equal(b.Revision, at)
}
