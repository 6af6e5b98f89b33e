package quarantiner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// fleet is a set of daemons that share a clock. What a daemon observes waits in its outbox
// until deliver is called.
type fleet struct {
	now     timekeeper.Millis
	daemons []*daemon
}

type daemon struct {
	*quarantiner.Quarantiner
	outbox []quarantiner.Suspect
}

func newFleet(daemons int) *fleet {
	w := &fleet{now: 1000}
	for range daemons {
		d := &daemon{}
		d.Quarantiner = &quarantiner.Quarantiner{
			Clock:    timekeeper.Clock{Monotonic: func() timekeeper.Millis { return w.now }},
			OnChange: func(c quarantiner.Change) { d.outbox = append(d.outbox, c.Now) },
		}
		w.daemons = append(w.daemons, d)
	}
	return w
}

// deliver sends the contents of each outbox to all daemons.
func (w *fleet) deliver() {
	for _, d := range w.daemons {
		for _, o := range w.daemons {
			o.Merge(d.outbox)
		}
		d.outbox = nil
	}
}

func fingerprintOf(n int) quarantiner.Fingerprint {
	return quarantiner.Content{Target: fmt.Sprint("/", n)}.Fingerprint()
}

var crashing = fingerprintOf(0)

// crash runs a request that crashes its upstream, unless the daemon refuses it.
func (d *daemon) crash(f quarantiner.Fingerprint) bool {
	s := d.Check(f, quarantiner.Observation{})
	if s.Refused {
		return false
	}
	d.RecordCrash(s)
	return true
}

func (d *daemon) refused(f quarantiner.Fingerprint) bool {
	return d.Check(f, quarantiner.Observation{}).Refused
}

// TestThirdCrashBarsEverywhere has one crash at each of three daemons, which quarantines the
// request at all.
func TestThirdCrashBarsEverywhere(t *testing.T) {
	is := is.New(t)
	w := newFleet(5)
	for n := range 3 {
		is.True(w.daemons[n].crash(crashing))
		w.deliver()
	}
	for _, d := range w.daemons {
		s := d.Check(crashing, quarantiner.Observation{})
		is.True(s.Refused)
		is.Equal(s.After, 2*timekeeper.Minute)
		is.True(!d.refused(fingerprintOf(1))) // another request
		is.Equal(d.Digest(), w.daemons[0].Digest())
	}
}

// TestRunsAtOnceCountAsOne runs a popular request at six upstreams that terminate at once:
// none of the runs started after another one had crashed.
func TestRunsAtOnceCountAsOne(t *testing.T) {
	is := is.New(t)
	w := newFleet(3)
	for range 4 {
		var begun []quarantiner.Observation
		for n := range 6 {
			begun = append(begun, w.daemons[n%3].Check(crashing, quarantiner.Observation{}))
		}
		for n, s := range begun {
			is.True(!s.Refused)
			w.daemons[n%3].RecordCrash(s)
			w.deliver()
		}
		is.True(!w.daemons[0].refused(crashing))
		w.daemons[1].RecordAnswer(crashing) // an upstream elsewhere responds
		w.deliver()
	}
	is.True(!w.daemons[2].HasSuspects())
}

// TestAnswerClears has one daemon get a response to a suspect after two crashes.
func TestAnswerClears(t *testing.T) {
	is := is.New(t)
	w := newFleet(2)
	for range 2 {
		w.daemons[0].crash(crashing)
	}
	stale := w.daemons[0].Suspects()
	before := w.daemons[0].Check(crashing, quarantiner.Observation{})
	w.deliver()
	w.daemons[1].RecordAnswer(crashing)
	w.deliver()
	is.True(!w.daemons[0].HasSuspects())
	// A daemon that missed the clearing is sent it.
	_, newer := w.daemons[0].Merge(stale)
	is.Equal(len(newer), 1)
	is.True(!w.daemons[0].HasSuspects())
	// A crash of a run that started before the clearing counts as the first one since.
	is.Equal(w.daemons[0].RecordCrash(before).Crashes, uint32(1))
}

// TestQuarantineIsTriedByOne lets the quarantine period pass. One daemon lets the request
// through once, and its crash makes the period four times as long for all.
func TestQuarantineIsTriedByOne(t *testing.T) {
	is := is.New(t)
	w := newFleet(3)
	for n, d := range w.daemons {
		d.AllowTrial = func(quarantiner.Fingerprint, timekeeper.Millis) bool { return n == 1 }
	}
	for range 3 {
		w.daemons[0].crash(crashing)
	}
	w.deliver()
	w.now += 2*timekeeper.Minute - 1
	for _, d := range w.daemons {
		is.True(d.refused(crashing))
	}
	w.now++
	is.True(w.daemons[0].refused(crashing))
	s := w.daemons[1].Check(crashing, quarantiner.Observation{})
	is.True(s.Trial && !s.Refused)
	is.True(w.daemons[1].refused(crashing))           // while the trial is running
	is.True(!w.daemons[1].Check(crashing, s).Refused) // for the request that was let through
	is.Equal(w.daemons[1].RecordCrash(s).Crashes, uint32(4))
	is.True(w.daemons[1].Check(crashing, s).Refused) // not for another attempt
	w.deliver()
	is.Equal(w.daemons[2].Check(crashing, quarantiner.Observation{}).After, 8*timekeeper.Minute)

	w.now += 8 * timekeeper.Minute
	is.True(w.daemons[1].Check(crashing, quarantiner.Observation{}).Trial)
	w.daemons[1].RecordAnswer(crashing)
	w.deliver()
	for _, d := range w.daemons {
		is.True(!d.refused(crashing))
	}
}

// TestSuspectsAreBounded has thousands of requests crash one upstream each, and hundreds crash
// three.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newFleet(1)
	d := w.daemons[0]
	for range 3 {
		d.crash(crashing)
	}
	for n := range 2000 {
		w.now++
		d.crash(fingerprintOf(n + 1))
	}
	is.True(d.refused(crashing))
	is.Equal(len(d.Suspects()), quarantiner.MaxSuspects/2+1)
	for n := range 600 {
		w.now++
		for range 3 {
			d.crash(fingerprintOf(n + 5000))
		}
	}
	held := 0
	for _, s := range d.Suspects() {
		if s.Quarantined() {
			held++
		}
	}
	is.Equal(held, quarantiner.MaxSuspects/2)
	is.True(len(d.Suspects()) <= quarantiner.MaxSuspects)
	is.True(!d.refused(crashing)) // the oldest
	is.True(d.refused(fingerprintOf(5599)))
	is.True(d.crash(fingerprintOf(9999))) // there is room for new suspects
	is.Equal(d.Check(fingerprintOf(9999), quarantiner.Observation{}).Crashes, uint32(1))
}

// TestSuspectsExpire lets time pass without another crash.
func TestSuspectsExpire(t *testing.T) {
	is := is.New(t)
	w := newFleet(2)
	d := w.daemons[0]
	d.crash(fingerprintOf(1))
	for range 3 {
		d.crash(crashing)
	}
	w.now += 5*timekeeper.Minute + 1
	is.Equal(len(d.Suspects()), 1)
	is.True(d.Suspects()[0].Quarantined()) // although its period is over
	w.daemons[1].Merge(d.Suspects())
	w.now += 6 * timekeeper.Hour
	is.Equal(len(d.Suspects()), 0)
	is.True(!w.daemons[1].refused(crashing))
	is.Equal(d.Digest(), uint64(0))
}

// BenchmarkLook measures a request beside a few suspects. Without suspects, only HasSuspects
// is called.
func BenchmarkLook(b *testing.B) {
	w := newFleet(1)
	for n := range 5 {
		w.daemons[0].crash(fingerprintOf(n))
	}
	for b.Loop() {
		w.daemons[0].Check(crashing, quarantiner.Observation{})
	}
}

// BenchmarkFingerprint measures a request with a body of 4 KB.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 4<<10)
	for b.Loop() {
		quarantiner.Content{Method: "POST", Host: "a.example", Target: "/path/of/it", Body: body, Length: 4 << 10}.Fingerprint()
	}
}

// TestTurn checks that exactly one of several daemons has a turn at any time, and that all get
// the same number of turns.
func TestTurn(t *testing.T) {
	is := is.New(t)
	all := []string{"a", "b", "c", "d"}
	turns := map[string]int{}
	for over := timekeeper.Millis(0); over < 8*quarantiner.TrialInterval; over += quarantiner.TrialInterval / 2 {
		holders := 0
		for _, name := range all {
			if quarantiner.IsTurn(crashing, over, name, all) {
				turns[name]++
				holders++
			}
		}
		is.Equal(holders, 1)
	}
	for _, name := range all {
		is.Equal(turns[name], 4)
	}
}
