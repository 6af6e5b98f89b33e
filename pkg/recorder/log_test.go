package recorder_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/storer"
)

func newLog(t *testing.T) (*recorder.Log, *platform.Server) {
	t.Helper()
	p := &platform.Server{}
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return &recorder.Log{Store: &storer.Client{Address: s.URL}, Prefix: "Test/"}, p
}

func change(id string) recorder.Change {
	return recorder.Change{ID: recorder.ChangeID(id), Who: "anna", Body: json.RawMessage(`{}`)}
}

func acceptAll(recorder.Change) error { return nil }

// TestConcurrentAppendsGetConsecutiveNumbers runs concurrent writers that accept all earlier
// changes. No number may be skipped or used twice.
func TestConcurrentAppendsGetConsecutiveNumbers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l, p := newLog(t)
	p.SetFaults(platform.Faults{LoseAnswers: 10})
	var done sync.WaitGroup
	for w := range 8 {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := range 5 {
				_, err := l.Append(ctx, change(fmt.Sprintf("%d-%d", w, n)), 0, acceptAll)
				if err != nil {
					t.Error(err)
				}
			}
		}()
	}
	done.Wait()
	all, err := l.Read(ctx, 0)
	is.NoErr(err)
	is.Equal(len(all), 40)
	seen := map[recorder.ChangeID]bool{}
	for i, c := range all {
		is.Equal(c.Number, recorder.Number(i+1))
		is.True(!seen[c.ID])
		seen[c.ID] = true
	}
}

func TestConflictErrorHoldsEarlierChange(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l, _ := newLog(t)
	_, err := l.Append(ctx, change("first"), 0, acceptAll)
	is.NoErr(err)
	_, err = l.Append(ctx, change("second"), 0, func(theirs recorder.Change) error {
		return &recorder.ConflictError{Theirs: theirs}
	})
	var conflict *recorder.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Theirs.ID, recorder.ChangeID("first"))
}

// TestChangeWithSameIDIsRecordedOnce guards against a change that is recorded twice because its
// author retried it after a lost response.
func TestChangeWithSameIDIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l, _ := newLog(t)
	a, err := l.Append(ctx, change("mine"), 0, acceptAll)
	is.NoErr(err)
	b, err := l.Append(ctx, change("mine"), 0, acceptAll)
	is.NoErr(err)
	is.Equal(a.Number, b.Number)
}

// TestErrorOfTimedOutAppend checks the error of an append that times out. It must be
// ErrUnreachable if the platform was down, and ErrUnknown if a write may have arrived.
func TestErrorOfTimedOutAppend(t *testing.T) {
	is := is.New(t)
	l, p := newLog(t)
	p.SetFaults(platform.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := l.Append(ctx, change("x"), 0, acceptAll)
	is.True(errors.Is(err, storer.ErrUnreachable))

	p.SetFaults(platform.Faults{LoseAnswers: 1 << 30})
	ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	l.Store.Timeout = 20
	_, err = l.Append(ctx, change("x"), 7, acceptAll)
	is.True(errors.Is(err, storer.ErrUnknown))
}

func TestOlderSnapshotIsNotSaved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l, _ := newLog(t)
	is.NoErr(l.SaveSnapshot(ctx, recorder.Snapshot{Number: 5, Body: json.RawMessage(`5`)}))
	is.NoErr(l.SaveSnapshot(ctx, recorder.Snapshot{Number: 3, Body: json.RawMessage(`3`)}))
	s, err := l.LoadSnapshot(ctx)
	is.NoErr(err)
	is.Equal(s.Number, recorder.Number(5))
}

// control calls a control path of the stand-in platform.
func control(p *platform.Server, path string) {
	p.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, nil))
}

// TestRestoredChangesKeepTheirNumbers guards against a gap in the log, and against accepted changes
// that lose their numbers, after the store has returned from a copy without them. Two writers that
// know different numbers of changes restore them at once.
func TestRestoredChangesKeepTheirNumbers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l, p := newLog(t)
	var accepted []recorder.Change
	for n := range 6 {
		c, err := l.Append(ctx, change(fmt.Sprint("c", n)), recorder.Number(n), acceptAll)
		is.NoErr(err)
		accepted = append(accepted, c)
		if n == 1 {
			control(p, "/Copy")
		}
	}
	for range 2 {
		control(p, "/Restore")
		_, err := l.Store.List(ctx, "", "", 1)
		is.NoErr(err)
		era := l.Store.Era()
		p.SetFaults(platform.Faults{LoseAnswers: 3})
		var done sync.WaitGroup
		for _, known := range [][]recorder.Change{accepted[:4], accepted[1:]} {
			done.Add(1)
			go func() {
				defer done.Done()
				if _, err := l.Restore(ctx, era, known); err != nil {
					t.Error(err)
				}
			}()
		}
		done.Wait()
		all, err := l.Read(ctx, 0)
		is.NoErr(err)
		is.Equal(all, accepted)
	}
	other := accepted[5]
	other.ID = "other"
	_, err := l.Restore(ctx, l.Store.Era(), []recorder.Change{other})
	var conflict *recorder.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Theirs.ID, accepted[5].ID)
}

// TestAppendOfFormerEraIsRefused guards against a change that gets the number of an accepted one,
// which the store's copy lacks, from a writer that doesn't know of the return.
func TestAppendOfFormerEraIsRefused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l, p := newLog(t)
	control(p, "/Copy")
	_, err := l.Append(ctx, change("lost"), 0, acceptAll)
	is.NoErr(err)
	control(p, "/Restore")
	_, err = l.AppendIn(ctx, 0, change("next"), 0, acceptAll)
	is.True(errors.Is(err, storer.ErrUnreachable))
	all, err := l.Read(ctx, 0)
	is.NoErr(err)
	is.Equal(len(all), 0)
}
