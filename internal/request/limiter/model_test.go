package limiter_test

import (
	"fmt"
	"testing"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// steps are the possible steps of the model. Daemons 0 and 1 are leaders; daemon 2 acquires
// tokens from 0.
var steps = []struct {
	name string
	do   func(f *fleet)
}{
	{"requests at 0", func(f *fleet) { f.requestTimes(0, 4) }},
	{"requests at 1", func(f *fleet) { f.requestTimes(1, 4) }},
	{"requests at 2", func(f *fleet) { f.requestTimes(2, 4) }},
	{"first message arrives", func(f *fleet) { f.release(0, true) }},
	{"last message arrives", func(f *fleet) { f.release(len(f.held)-1, true) }},
	{"first message is lost", func(f *fleet) { f.release(0, false) }},
	{"200 ms pass", func(f *fleet) { f.run(f.now + 200) }},
	{"0 is isolated until others notice", func(f *fleet) { f.isolate(0); f.run(f.now + leaderTimeout) }},
	{"0 is killed and starts again", func(f *fleet) { f.kill(0); f.restore(0) }},
	{"0 is back", func(f *fleet) { f.restore(0) }},
}

func (f *fleet) requestTimes(d, n int) {
	for range n {
		f.request(d, 0)
	}
}

// release delivers or drops a held message.
func (f *fleet) release(i int, arrives bool) {
	if i < 0 || i >= len(f.held) {
		return
	}
	do := f.held[i]
	f.held = append(f.held[:i:i], f.held[i+1:]...)
	if arrives {
		do()
	}
}

// smallFleet returns three daemons in two regions that have run for a while.
func smallFleet(all ...*authenticator.Organisation) *fleet {
	f := newFleet(3, 1, all...)
	f.regions, f.tolerance, f.hold = 2, limiter.Tolerance{Window: second, Slack: 4}, true
	f.strategy = newAllocatorStrategy(f)
	f.run(3 * second)
	return f
}

// playSteps runs a sequence of steps and returns the excess over the limit.
func playSteps(order []int, all ...*authenticator.Organisation) float64 {
	f := smallFleet(all...)
	for _, i := range order {
		steps[i].do(f)
	}
	return f.maxExcess(0)
}

func stepNames(order []int) (names []string) {
	for _, i := range order {
		names = append(names, steps[i].name)
	}
	return names
}

// TestAllInterleavings runs all sequences of a few steps: requests, messages that are
// reordered or lost, elapsing time, and a leader that is isolated, killed or restored.
func TestAllInterleavings(t *testing.T) {
	depth := 5
	if testing.Short() {
		depth = 4
	}
	all := normalized(&authenticator.Organisation{Name: "o", Limit: authenticator.Limit{PerSecond: 4, Burst: 4}})
	order := make([]int, depth)
	for {
		if excess := playSteps(order, all...); excess > 0 {
			t.Fatal("above the limit by ", excess, ": ", stepNames(order))
		}
		i := 0
		for i < depth {
			if order[i]++; order[i] < len(steps) {
				break
			}
			order[i] = 0
			i++
		}
		if i == depth {
			return
		}
	}
}

// FuzzInterleavings runs longer sequences of the same steps with other limits.
func FuzzInterleavings(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 6, 7, 1, 2, 3, 4, 9, 0, 2, 6, 3}, byte(4), byte(4))
	f.Add([]byte{2, 2, 3, 2, 3, 6, 8, 2, 5, 0, 1, 2, 6, 6, 9}, byte(20), byte(0))
	f.Fuzz(func(t *testing.T, order []byte, perSecond, burst byte) {
		limit := authenticator.Limit{PerSecond: 1 + float64(perSecond%40), Burst: float64(burst % 40)}
		all := normalized(&authenticator.Organisation{Name: "o", Limit: limit})
		var sequence []int
		for _, b := range order[:min(len(order), 200)] {
			sequence = append(sequence, int(b)%len(steps))
		}
		if excess := playSteps(sequence, all...); excess > 0 {
			t.Fatal("above the limit of ", fmt.Sprint(limit), " by ", excess, ": ", stepNames(sequence))
		}
	})
}

// BenchmarkTake measures the cost of a request at a daemon that has tokens, with 10,000
// organisations.
func BenchmarkTake(b *testing.B) {
	var list []*authenticator.Organisation
	for i := range 10_000 {
		list = append(list, &authenticator.Organisation{Name: authenticator.Name(fmt.Sprint(i)), Limit: authenticator.Limit{PerSecond: 1e9, Burst: 1e9}})
	}
	list = normalized(list...)
	core := &limiter.Core{Tolerance: tolerance}
	core.Observe(0, limiter.FleetView{Known: 1, Reachable: 1, IsAllocator: true})
	now := 10 * second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		var t limiter.Ticket
		core.Take(now+timekeeper.Millis(i/1000), list[i%len(list)], &t)
	}
}
