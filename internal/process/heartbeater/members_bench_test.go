package heartbeater_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// withMembers returns a heartbeater that hears n members in three regions.
func withMembers(n int) *heartbeater.Heartbeater {
	member := func(i int) heartbeater.Member {
		return heartbeater.Member{
			Name: fmt.Sprint("m", i), Site: registrar.Site(fmt.Sprintf("r%d/d%d", i%3, i%9)), Beats: fmt.Sprint("b", i), Ready: true, Reaching: true,
		}
	}
	b := &heartbeater.Heartbeater{
		Self:  func() heartbeater.Member { return member(0) },
		Send:  func(string, []byte) {},
		Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Hour }},
	}
	b.SendHeartbeats(false)
	for i := 1; i < n; i++ {
		b.Receive(fmt.Sprint("b", i), heartbeatOf(member(i)))
	}
	return b
}

// heartbeatOf returns a heartbeat of a member that knows no other.
func heartbeatOf(m heartbeater.Member) (datagram []byte) {
	b := &heartbeater.Heartbeater{
		Self: func() heartbeater.Member { return m }, Seeds: []string{"seed"},
		Send: func(_ string, d []byte) { datagram = d },
	}
	b.SendHeartbeats(false)
	return datagram
}

// bytesPerAlive returns the bytes that are allocated to list n living members while none changes.
func bytesPerAlive(n int) float64 {
	const calls = 100
	b := withMembers(n)
	b.Alive()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		b.Alive()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / calls
}

// TestListOfMembersIsKept guards against a list of all members that is built anew for each lookup and
// each check, although no member has changed.
func TestListOfMembersIsKept(t *testing.T) {
	is := is.New(t)
	is.Equal(len(withMembers(500).Alive()), 500)
	n, twice := bytesPerAlive(500), bytesPerAlive(1000)
	t.Logf("%.0f and %.0f bytes a list", n, twice)
	is.True(twice < 1.2*n+100)
}

// BenchmarkReceive handles the heartbeat of a member whose table is not up to date.
func BenchmarkReceive(b *testing.B) {
	for _, n := range []int{330, 990, 1980} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := withMembers(n)
			d := heartbeatOf(heartbeater.Member{Name: "m3", Site: "r0/d3", Beats: "b3", Ready: true, Reaching: true})
			h.Receive("b3", d)
			for b.Loop() {
				h.Receive("b3", d)
			}
		})
	}
}
