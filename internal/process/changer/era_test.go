package changer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/changer"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/applier"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/storer"
)

// TestNoChangeIsAcceptedBeforeTheLogIsRestored guards against a change that gets the number of an
// accepted one, because it comes between the store's return from a copy and the restoration of the
// log, and against an era that a daemon reports while it may still accept a change in a former one.
func TestNoChangeIsAcceptedBeforeTheLogIsRestored(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var p platform.Server
	var c *changer.Changer
	var eras []storer.Era
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			// The return becomes known while the change is being recorded.
			c.Log.Store.ObserveEra(c.Log.Store.Era() + 1)
			eras = append(eras, c.LatestEra())
		}
		p.ServeHTTP(w, r)
	}))
	defer s.Close()
	restored := errors.New("not restored")
	var read []recorder.Change
	c = &changer.Changer{
		Log:     &recorder.Log{Store: &storer.Client{Address: s.URL}, Prefix: "Settings/"},
		Applier: &applier.Applier{},
		RestoredEra: func(context.Context) (storer.Era, error) {
			return 0, restored
		},
		OnRead: func(x recorder.Change) { read = append(read, x) },
	}
	request := changer.Request{ID: "first", Edits: []resolver.Edit{{Path: "/", Key: resolver.KeyQueueLength, Value: "3"}}}
	_, err := c.Change(ctx, request)
	is.True(errors.Is(err, restored))
	is.Equal(len(eras), 0)

	restored = nil
	_, err = c.Change(ctx, request)
	is.True(errors.Is(err, storer.ErrUnknown)) // the former era answered
	is.Equal(eras, []storer.Era{0})
	is.Equal(c.LatestEra(), storer.Era(1))
	_, number := c.Applier.State()
	is.Equal(number, recorder.Number(0))
	is.Equal(len(read), 0)
}
