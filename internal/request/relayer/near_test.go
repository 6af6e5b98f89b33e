package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// fleet is a set of members and a manual clock.
type fleet struct {
	now     timekeeper.Millis
	members []heartbeater.Member
}

// newFleet returns 20 weak members and 2 strong ones in each of two domains of a region.
func newFleet() *fleet {
	f := &fleet{now: 1000}
	for _, site := range []registrar.Site{"east/a", "east/b"} {
		for i := range 22 {
			strength := uint32(100)
			if i < 2 {
				strength = 1000
			}
			f.members = append(f.members, heartbeater.Member{
				Name: fmt.Sprint(site, i), Incarnation: uint64(len(f.members) + 1), Site: site,
				Ready: true, Relays: true, Strength: strength, Beats: "127.0.0.1:1",
			})
		}
	}
	return f
}

func (f *fleet) relayer(self string) *relayer.Relayer {
	return &relayer.Relayer{
		Self:    func() heartbeater.Member { return heartbeater.Member{Name: self, Site: "west/a"} },
		Members: func() []heartbeater.Member { return f.members },
		Dial:    func(context.Context, string) (net.Conn, error) { return nil, errors.New("not dialled in this test") },
		Clock:   timekeeper.Clock{Monotonic: func() timekeeper.Millis { return f.now }},
	}
}

// TestNearIsStrong has 400 VMs choose a member near a site. Each keeps to its choice, so that its
// connections stay open, and the strong members share them: a body of 90 KB takes 72 ms over the link
// of a weak one.
func TestNearIsStrong(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	byName := map[string]int{}
	for i := range 400 {
		r := f.relayer(fmt.Sprint("vm", i))
		h := r.Near("east/b")
		is.Equal(h.Site, registrar.Site("east/b"))
		f.now += timekeeper.Second
		is.Equal(r.Near("east/b"), h)
		is.Equal(h.Strength, uint32(1000))
		byName[h.Name]++
	}
	is.Equal(len(byName), 2)
	for _, n := range byName {
		is.True(n > 160 && n < 240)
	}
}

// TestNearPassesOverMembers checks who is not chosen, and that another domain of the region takes
// the place of one without members.
func TestNearPassesOverMembers(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	for i := range f.members {
		m := &f.members[i]
		if m.Site == "east/b" {
			[]func(){
				func() { m.Ready = false }, func() { m.Relays = false }, func() { m.Cut = true }, func() { m.Leaving = true },
			}[i%4]()
		}
	}
	is.Equal(f.relayer("vm").Near("east/b").Site, registrar.Site("east/a"))
	is.Equal(f.relayer("vm").Near("north/a"), nil)
}

// TestSilentHelperGetsNoMore guards against requests that are all handed over to a member that has
// been cut off without a sign.
func TestSilentHelperGetsNoMore(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	r := f.relayer("vm")
	begun := make(chan struct{})
	r.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		close(begun)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	first := r.Near("east/b")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		q := &sender.Request{Method: http.MethodGet, Header: http.Header{}, ConnDeadline: time.Now().Add(time.Minute), DialTimeout: timekeeper.Minute}
		_, _, _ = r.Do(ctx, first, relayer.Call{}, q)
	}()
	<-begun
	f.now += 900
	is.Equal(r.Near("east/b"), first)
	f.now += 200
	is.True(r.Near("east/b") != first)
	cancel()
	<-ended
	is.Equal(r.Near("east/b") != nil, true)
}

// TestLostDomainIsNotTriedMemberByMember guards against requests that each wait for another member of
// a failure domain that was lost.
func TestLostDomainIsNotTriedMemberByMember(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	r := f.relayer("vm")
	is.True(r.Near("east/b") != nil)
	r.AvoidNear("east/b")
	is.Equal(r.Near("east/b"), nil)
	is.True(r.Near("east/a") != nil) // another domain of the region
	f.now += 2900
	is.Equal(r.Near("east/b"), nil)
	f.now += 200
	is.True(r.Near("east/b") != nil)
}
