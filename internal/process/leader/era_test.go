package leader_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/replicator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/lister"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
)

// pollTimeout bounds the waits of the tests.
const pollTimeout = 20 * time.Second

// fixture is a leader of the region erie, with the store that it uses.
type fixture struct {
	t       *testing.T
	address string
	client  *storer.Client
	leader  *leader.Leader
	self    registrar.Member
}

func newFixture(t *testing.T, name registrar.Incarnation, address string) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{t: t, address: address, client: &storer.Client{Address: address}}
	f.self = registrar.Member{Incarnation: name, Name: string(name), Site: "erie/a"}
	replica := &replicator.Replica{}
	f.leader = &leader.Leader{
		Log:      logrus.NewEntry(log),
		Region:   "erie",
		Store:    f.client,
		Lease:    &leaser.Lease{Store: f.client, Name: "Lease/Lead/erie", Holder: string(name)},
		Links:    &linker.Manager{Self: func() registrar.Member { return f.self }},
		Replica:  replica,
		Settings: func() (*resolver.Resolved, recorder.Number) { return nil, 0 },
	}
	f.leader.List = f.list
	f.leader.Start()
	return f
}

// list reads all objects into the replica.
func (f *fixture) list(ctx context.Context) error {
	b, err := f.client.List(ctx, "", "", 1000)
	if err == nil {
		f.leader.Replica.Put(b)
	}
	return err
}

// lead acquires the lease and starts the leader's duties, until the test ends.
func (f *fixture) lead() {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.leader.Lease.Step(ctx)
	fence, held := f.leader.Lease.Held()
	if !held {
		f.t.Fatal("lease not held")
	}
	go f.runLease(ctx)
	f.leader.SetLeading(ctx, fence, true)
}

func (f *fixture) runLease(ctx context.Context) {
	f.leader.Lease.Run(ctx, nil)
}

func (f *fixture) eventually(what string, done func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(pollTimeout)
	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func startStore(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(&platform.Server{})
	t.Cleanup(s.Close)
	return s.URL
}

// control calls a control path of the stand-in platform.
func control(t *testing.T, address, path string) {
	t.Helper()
	resp, err := http.Post(address+path, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestLeaderFollowsTheStoreAfterItsReturn guards against a leader whose watch stands beyond the
// revision of the store's copy, after one return and after another.
func TestLeaderFollowsTheStoreAfterItsReturn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address := startStore(t)
	other := &storer.Client{Address: address}
	f := newFixture(t, "i1", address)
	f.lead()
	for era := range storer.Era(3) {
		if era > 0 {
			control(t, address, "/Restore")
		}
		body, err := json.Marshal(lister.List{VMs: []lister.VM{{Address: "10.0.0.1", Leaving: era > 0}}})
		is.NoErr(err)
		_, err = other.List(ctx, "", "", 1)
		is.NoErr(err)
		if era == 0 {
			control(t, address, "/Copy")
		}
		at, err := other.Create(ctx, lister.ObjectName, body)
		is.NoErr(err)
		is.Equal(at.Era(), era)
		f.eventually("the leader has the new object", func() bool {
			o, _ := f.leader.Replica.Get(lister.ObjectName)
			return o.Revision == at
		})
		for range 20 {
			// The copy gives out the numbers of these revisions again.
			at, err = other.Update(ctx, lister.ObjectName, body, at)
			is.NoErr(err)
		}
	}
}
