package tracker

import (
	"context"
	"net"
	"sync"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Set holds the state of all upstreams. The zero value is ready to use once
// Dial is set.
type Set struct {
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	Clock timekeeper.Clock
	// Counter returns the byte counter of an upstream. Nil means that bytes are
	// not counted.
	Counter func(u *cataloger.Upstream) sender.Counter

	upstreams sync.Map
}

// StateOf returns the state of an upstream and creates it on first use.
func (s *Set) StateOf(u *cataloger.Upstream) *Upstream {
	i := u.Incarnation()
	if v, ok := s.upstreams.Load(i); ok {
		return v.(*Upstream)
	}
	created := &Upstream{
		clock:   s.Clock,
		Direct:  Path{clock: s.Clock},
		Relayed: Path{clock: s.Clock},
	}
	created.Pool = &sender.Pool{Address: u.Address, Dial: created.timedDial(s.Dial), Clock: s.Clock, Count: s.counter(u)}
	v, _ := s.upstreams.LoadOrStore(i, created)
	return v.(*Upstream)
}

func (s *Set) counter(u *cataloger.Upstream) sender.Counter {
	if s.Counter == nil {
		return nil
	}
	return s.Counter(u)
}

// ResetDirect drops what was observed of the upstreams over connections of this VM.
func (s *Set) ResetDirect() {
	s.upstreams.Range(func(_, v any) bool {
		v.(*Upstream).Direct.Reset()
		return true
	})
}

// Sweep closes connections whose keep-alive time is over, and removes the
// upstreams for which keep returns false. A paused one is kept until its pause ends, since its
// entry may return before that.
func (s *Set) Sweep(keep func(cataloger.Incarnation) bool) {
	s.upstreams.Range(func(k, v any) bool {
		u := v.(*Upstream)
		if !keep(k.(cataloger.Incarnation)) && u.PauseLeft() == 0 {
			s.upstreams.Delete(k)
			u.Pool.Close()
			return true
		}
		u.Pool.Sweep()
		return true
	})
}
