package placer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// timing is that of a request that has just arrived, on a route that takes 200 ms at an upstream
// that knows its key and 680 ms at another one.
var timing = placer.Timing{Known: 200, First: 680, Mean: 220, Objective: 600, ObjectiveLeft: 600, Left: 4000}

// paced returns an upstream of 4 slots that reports its pace.
func paced(reported, pace float64, knows bool) placer.State {
	return placer.State{Slots: 4, Reported: reported, Pace: pace, Paced: true, KnowsKey: knows}
}

func TestChooseByTime(t *testing.T) {
	late, short := timing, timing
	late.ObjectiveLeft = -200
	short.Left = 150
	tests := []struct {
		name    string
		timing  placer.Timing
		states  []placer.State
		want    int
		verdict placer.Verdict
	}{
		{"home", timing, []placer.State{paced(2, 1, true), paced(0, 1, true)}, 0, placer.Accepts},
		{"slow home, still in time", timing, []placer.State{paced(2, 2.5, true), paced(0, 1, true)}, 0, placer.Accepts},
		{"slow home with a queue, other knows the key", timing, []placer.State{paced(4, 2.5, true), paced(0, 1, true)}, 1, placer.Slow},
		{"slow home with a queue, other does not know the key", timing, []placer.State{paced(4, 2.5, true), paced(0, 1, false)}, 0, placer.Accepts},
		{"slow home with a queue, other slow as well", timing, []placer.State{paced(4, 2.5, true), paced(5, 2.5, true)}, 0, placer.Accepts},
		{"queue in which all would be late", timing, []placer.State{paced(12, 1, true), paced(2, 1, false)}, -1, placer.QueueFull},
		{"the same queue where it is short by count", timing, []placer.State{paced(7, 2.5, true), paced(2, 1, false)}, -1, placer.QueueFull},
		{"past its objective", late, []placer.State{paced(4, 2.5, true), paced(0, 1, true)}, 0, placer.Accepts},
		{"no response before the deadline", short, []placer.State{paced(0, 1, true), paced(0, 1, true)}, -1, placer.TooLate},
		{"no pace reported", short, []placer.State{{Slots: 4, KnowsKey: true}}, 0, placer.Accepts},
		{"far home in time, near one sooner", timing, []placer.State{{Slots: 4, Pace: 1, Paced: true, KnowsKey: true, RoundTrip: 70}, paced(0, 1, true)}, 0, placer.Accepts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			i, verdict, _ := placer.Placer{Timing: tt.timing}.ChooseWithHome(tt.states, true)
			is.Equal(i, tt.want)
			is.Equal(verdict, tt.verdict)
		})
	}
}

// TestLessUrgentWaitShorter checks that only requests of the most urgent rank use the whole queue.
func TestLessUrgentWaitShorter(t *testing.T) {
	is := is.New(t)
	p := placer.Placer{Timing: timing}
	is.Equal(p.Check(paced(9, 1, true), true), placer.Accepts)
	is.Equal(p.Check(paced(9, 1, true), false), placer.QueueFull)
}

// slowHost is an upstream of the simulated load: the times at which its running requests end.
type slowHost struct {
	ends []timekeeper.Millis
	slow bool
}

func (h *slowHost) pace() float64 {
	if h.slow {
		return 2.5
	}
	return 1
}

// begin adds a request at a time and returns when it ends.
func (h *slowHost) begin(now timekeeper.Millis, slots int) timekeeper.Millis {
	start := now
	if n := len(h.ends); n >= slots {
		start = max(now, h.ends[n-slots])
	}
	end := start + timekeeper.Millis(float64(timing.Known)*h.pace())
	h.ends = append(h.ends, end)
	return end
}

func (h *slowHost) load(now timekeeper.Millis) (n float64) {
	for _, e := range h.ends {
		if e > now {
			n++
		}
	}
	return n
}

// shareInTime plays 20 s of 90 requests a second on 6 upstreams of 4 slots. One upstream after the
// other has a host that is 2.5 times slower for 600 ms. Each key has a home, and a former home that
// still knows it. It returns the share of the requests that are answered within their objective.
func shareInTime(byTime bool) float64 {
	const requests, perSecond, slots, slowFor = 1800, 90, 4, 600
	random := rand.New(rand.NewPCG(3, 4))
	hosts := make([]slowHost, 6)
	inTime := 0
	for i := range requests {
		now := timekeeper.Millis(i * 1000 / perSecond)
		for h := range hosts {
			hosts[h].slow = int(now/slowFor)%len(hosts) == h
		}
		home := random.IntN(len(hosts))
		at := []int{home, (home + 1 + random.IntN(len(hosts)-1)) % len(hosts)}
		var states []placer.State
		for _, h := range at {
			states = append(states, paced(hosts[h].load(now), hosts[h].pace(), true))
		}
		p := placer.Placer{}
		if byTime {
			p.Timing = timing
		}
		c, _, _ := p.ChooseWithHome(states, true)
		if c >= 0 && hosts[at[c]].begin(now, slots)-now <= timing.Objective {
			inTime++
		}
	}
	return float64(inTime) / requests
}

// TestMoreAnswersInTimeWithPace guards against queues behind a host that is slow for a moment.
func TestMoreAnswersInTimeWithPace(t *testing.T) {
	is := is.New(t)
	counts, times := shareInTime(false), shareInTime(true)
	t.Logf("answered in time: %.3f by counts, %.3f by times", counts, times)
	is.True(times > counts)
	is.True(times > 0.97)
}
