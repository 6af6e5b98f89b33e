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

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/planner"
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
	// settings are in force at the leader; it plans nothing while they are nil.
	settings *resolver.Resolved
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
		Settings: func() (*resolver.Resolved, recorder.Number) { return f.settings, 1 },
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
func (f *fixture) lead() (stop func()) {
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
	return cancel
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

// heartbeat sends the leader a heartbeat of a member.
func (f *fixture) heartbeat(m registrar.Member) {
	f.leader.HandleHeartbeat(m, nil, &framer.Heartbeat{Settings: 1, Plan: 1 << 20})
}

// stored returns an object of the store, the zero one if there is none.
func (f *fixture) stored(name string) storer.Object {
	o, _ := f.client.Get(context.Background(), name)
	return o
}

func (f *fixture) storedRoster() registrar.Roster {
	r, _ := registrar.Decode(f.stored(registrar.ObjectName("erie")).Body)
	return r
}

func (f *fixture) storedPlan() planner.Plan {
	p, _ := planner.Decode(f.stored(planner.ObjectName).Body)
	return p
}

func (f *fixture) storedMembers() int {
	s, _ := leader.DecodeSummary(f.stored(leader.SummaryPrefix + "erie").Body)
	n, _ := s.Members()
	return n
}

func oneSite(t *testing.T) *resolver.Resolved {
	t.Helper()
	tree, problems := resolver.Tree{}.Apply([]resolver.Edit{
		{Path: "erie/a:pay", Key: resolver.KeyUpstreams, Value: "10.0.0.1:80"},
	})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return tree.Resolve()
}

// TestLeaderWritesAgainWhatTheCopyLacks guards against a roster, a plan or a summary that is missing
// or older in the store since its return, and against numbers of theirs that are given again. The
// store returns twice, the second time to a leader that begins then and knows what is in force.
func TestLeaderWritesAgainWhatTheCopyLacks(t *testing.T) {
	address := startStore(t)
	f := newFixture(t, "i1", address)
	other := registrar.Member{Incarnation: "i2", Name: "i2", Site: "erie/a", Links: "10.0.0.2:1"}
	f.settings = oneSite(t)
	var known registrar.Roster
	var plan planner.Plan
	inForce := func(members int) func() bool {
		return func() bool {
			r, p := f.storedRoster(), f.storedPlan()
			ok := len(r.Members) == members && r.Version > known.Version && p.Number > plan.Number && f.storedMembers() == members
			if ok {
				known, plan = r, p
			}
			return ok
		}
	}
	stop := f.lead()
	control(t, address, "/Copy")
	f.heartbeat(f.self)
	f.eventually("roster, plan and summary are written", inForce(1))
	f.heartbeat(other)
	f.eventually("the roster has both members", func() bool { return len(f.storedRoster().Members) == 2 })
	f.eventually("the summary has both members", func() bool { return f.storedMembers() == 2 })
	known = f.storedRoster()

	control(t, address, "/Restore")
	f.heartbeat(f.self)
	f.heartbeat(other)
	f.eventually("they are written again", inForce(2))
	stop()

	control(t, address, "/Restore")
	f = newFixture(t, "i3", address)
	f.settings = oneSite(t)
	f.leader.KnownRoster = func() registrar.Roster { return known }
	f.leader.KnownPlan = func() planner.Plan { return plan }
	beforeReturn := plan
	f.eventually("another daemon leads", func() bool {
		f.leader.Lease.Step(context.Background())
		_, held := f.leader.Lease.Held()
		return held
	})
	f.lead()
	f.heartbeat(f.self)
	f.eventually("the new leader writes the roster again", func() bool {
		r := f.storedRoster()
		_, listed := r.Find("i2")
		return listed && r.Version > known.Version
	})
	f.eventually("the new leader writes the plan again", func() bool { return f.storedPlan().Number > beforeReturn.Number })
}

// TestRegionConfirmsItsChangesWhenAllMembersHaveReported guards against changes of settings that are
// accepted after the store's return before those that only one member knows are written again.
func TestRegionConfirmsItsChangesWhenAllMembersHaveReported(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address := startStore(t)
	f := newFixture(t, "i1", address)
	log := &recorder.Log{Store: f.client, Prefix: "Settings/"}
	f.leader.Records = log
	other := registrar.Member{Incarnation: "i2", Name: "i2", Site: "erie/a", Links: "10.0.0.2:1"}
	f.lead()
	control(t, address, "/Copy")
	known, err := log.Append(ctx, recorder.Change{ID: "known", Body: json.RawMessage("{}")}, 0, nil)
	is.NoErr(err)
	f.eventually("the leader knows the first change", func() bool {
		_, ok := f.leader.Replica.Get(log.Name(1))
		return ok
	})
	report := func(m registrar.Member, e, changes uint64) {
		f.leader.HandleHeartbeat(m, nil, &framer.Heartbeat{Era: &e, LatestEra: e, Changes: changes})
	}
	report(f.self, 0, 1)
	report(other, 0, 2)
	control(t, address, "/Restore")
	f.eventually("the leader has listed the copy", func() bool { return f.leader.Replica.Revision().Era() == 1 })
	report(f.self, 1, 1)
	report(other, 1, 2)
	f.eventually("the roster is written again", func() bool { return len(f.storedRoster().Members) == 2 })
	is.Equal(f.storedRoster().Era, storer.Era(0))
	all, err := log.Read(ctx, 0)
	is.NoErr(err)
	is.Equal(len(all), 0)

	// The member's objects arrive, as it was asked for them.
	second := recorder.Change{Number: 2, ID: "second", Body: json.RawMessage("{}")}
	body, err := json.Marshal(second)
	is.NoErr(err)
	f.leader.Replica.Put(storer.Batch{Objects: []storer.Object{{Name: log.Name(2), Revision: 1, Body: body}}})
	f.eventually("the region confirms the era", func() bool { return f.storedRoster().Era == 1 })
	all, err = log.Read(ctx, 0)
	is.NoErr(err)
	is.Equal(all, []recorder.Change{known, second})
}

// TestSnapshotThatTheCopyLacksIsWrittenAgain guards against a region that never confirms an era,
// because its members know their last change from a snapshot only, and against a log that neither
// has that change nor the snapshot.
func TestSnapshotThatTheCopyLacksIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address := startStore(t)
	f := newFixture(t, "i1", address)
	log := &recorder.Log{Store: f.client, Prefix: "Settings/"}
	f.leader.Records = log
	f.lead()
	control(t, address, "/Copy")
	is.NoErr(log.SaveSnapshot(ctx, recorder.Snapshot{Number: 200, Body: json.RawMessage("[]")}))
	f.eventually("the leader knows the snapshot", func() bool {
		_, ok := f.leader.Replica.Get(log.Prefix + recorder.SnapshotName)
		return ok
	})
	control(t, address, "/Restore")
	f.eventually("the leader has listed the copy", func() bool { return f.leader.Replica.Revision().Era() == 1 })
	era := uint64(1)
	f.leader.HandleHeartbeat(f.self, nil, &framer.Heartbeat{Era: &era, LatestEra: era, Changes: 200})
	f.eventually("the region confirms the era", func() bool { return f.storedRoster().Era == 1 })
	s, err := log.LoadSnapshot(ctx)
	is.NoErr(err)
	is.Equal(s.Number, recorder.Number(200))
}
