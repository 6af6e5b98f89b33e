package joiner_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/process/joiner"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

func noPlatform(*http.Request) (*http.Response, error) {
	return nil, errors.New("no platform")
}

// TestMethodsMayBeCalledDuringStart calls a joiner while it starts, as the operators' listener does
// in a daemon without settings. Under -race it fails if Start writes a field that
// another method reads.
func TestMethodsMayBeCalledDuringStart(t *testing.T) {
	is := is.New(t)
	clock := timekeeper.Clock{}
	j := &joiner.Joiner{
		Clock:         clock,
		Self:          func() registrar.Member { return registrar.Member{Incarnation: "a"} },
		Lease:         &leaser.Lease{Clock: clock, Store: &storer.Client{Do: noPlatform}},
		FillHeartbeat: func(*framer.Heartbeat) {},
		AvoidLeading:  func() bool { return true },
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var w sync.WaitGroup
	for range 4 {
		w.Go(func() {
			is.True(!j.Valid())
			is.True(!j.LeaderHealthy())
			j.TriggerHeartbeat()
			j.HandleAck(&framer.Ack{Sequence: 1, Lead: true, Known: true})
		})
	}
	j.Start(ctx)
	w.Wait()
	is.True(!j.Valid())
}
