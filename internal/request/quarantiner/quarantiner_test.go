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
	f := &fleet{now: 1000}
	for range daemons {
		d := &daemon{}
		d.Quarantiner = &quarantiner.Quarantiner{
			Clock:    timekeeper.Clock{Monotonic: func() timekeeper.Millis { return f.now }},
			OnChange: func(c quarantiner.Change) { d.outbox = append(d.outbox, c.Now) },
		}
		f.daemons = append(f.daemons, d)
	}
	return f
}

// deliver sends the contents of each outbox to all daemons.
func (f *fleet) deliver() {
	for _, d := range f.daemons {
		for _, o := range f.daemons {
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

// TestThirdCrashQuarantinesAtAllDaemons has one crash at each of three daemons, which
// quarantines the request at every daemon.
func TestThirdCrashQuarantinesAtAllDaemons(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	for n := range 3 {
		is.True(f.daemons[n].crash(crashing))
		f.deliver()
	}
	for _, d := range f.daemons {
		s := d.Check(crashing, quarantiner.Observation{})
		is.True(s.Refused)
		is.Equal(s.After, 2*timekeeper.Minute)
		is.True(!d.refused(fingerprintOf(1))) // another request
		is.Equal(d.Digest(), f.daemons[0].Digest())
	}
}

// TestConcurrentCrashesCountAsOne runs the same request at six upstreams that terminate at the
// same time. No run started after another one had crashed, so they count as one crash.
func TestConcurrentCrashesCountAsOne(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for range 4 {
		var begun []quarantiner.Observation
		for n := range 6 {
			begun = append(begun, f.daemons[n%3].Check(crashing, quarantiner.Observation{}))
		}
		for n, s := range begun {
			is.True(!s.Refused)
			f.daemons[n%3].RecordCrash(s)
			f.deliver()
		}
		is.True(!f.daemons[0].refused(crashing))
		f.daemons[1].RecordAnswer(crashing) // an upstream elsewhere responds
		f.deliver()
	}
	is.True(!f.daemons[2].HasSuspects())
}

// TestAnswerClearsSuspect has one daemon get a response to a suspect after two crashes.
func TestAnswerClearsSuspect(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 2 {
		f.daemons[0].crash(crashing)
	}
	stale := f.daemons[0].Suspects()
	before := f.daemons[0].Check(crashing, quarantiner.Observation{})
	f.deliver()
	f.daemons[1].RecordAnswer(crashing)
	f.deliver()
	is.True(!f.daemons[0].HasSuspects())
	// A daemon that missed the clearing is sent it.
	_, newer := f.daemons[0].Merge(stale)
	is.Equal(len(newer), 1)
	is.True(!f.daemons[0].HasSuspects())
	// A crash of a run that started before the clearing counts as the first one since.
	is.Equal(f.daemons[0].RecordCrash(before).Crashes, uint32(1))
}

// TestOneDaemonRunsTrial lets the quarantine period pass. One daemon lets the request through
// once, and its crash makes the period four times as long for all.
func TestOneDaemonRunsTrial(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n, d := range f.daemons {
		d.AllowTrial = func(quarantiner.Fingerprint, timekeeper.Millis) bool { return n == 1 }
	}
	for range 3 {
		f.daemons[0].crash(crashing)
	}
	f.deliver()
	f.now += 2*timekeeper.Minute - 1
	for _, d := range f.daemons {
		is.True(d.refused(crashing))
	}
	f.now++
	is.True(f.daemons[0].refused(crashing))
	s := f.daemons[1].Check(crashing, quarantiner.Observation{})
	is.True(s.Trial && !s.Refused)
	is.True(f.daemons[1].refused(crashing))           // while the trial is running
	is.True(!f.daemons[1].Check(crashing, s).Refused) // for the request that was let through
	is.Equal(f.daemons[1].RecordCrash(s).Crashes, uint32(4))
	is.True(f.daemons[1].Check(crashing, s).Refused) // not for another attempt
	f.deliver()
	is.Equal(f.daemons[2].Check(crashing, quarantiner.Observation{}).After, 8*timekeeper.Minute)

	f.now += 8 * timekeeper.Minute
	is.True(f.daemons[1].Check(crashing, quarantiner.Observation{}).Trial)
	f.daemons[1].RecordAnswer(crashing)
	f.deliver()
	for _, d := range f.daemons {
		is.True(!d.refused(crashing))
	}
}

// TestSuspectsAreBounded has thousands of requests crash one upstream each, and hundreds crash
// three.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	d := f.daemons[0]
	for range 3 {
		d.crash(crashing)
	}
	for n := range 2000 {
		f.now++
		d.crash(fingerprintOf(n + 1))
	}
	is.True(d.refused(crashing))
	is.Equal(len(d.Suspects()), quarantiner.MaxSuspects/2+1)
	for n := range 600 {
		f.now++
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

// TestSuspectsExpire lets time pass without another crash: a suspect expires after five
// minutes, a quarantined request after six hours.
func TestSuspectsExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	d := f.daemons[0]
	d.crash(fingerprintOf(1))
	for range 3 {
		d.crash(crashing)
	}
	f.now += 5*timekeeper.Minute + 1
	is.Equal(len(d.Suspects()), 1)
	is.True(d.Suspects()[0].Quarantined()) // although its period is over
	f.daemons[1].Merge(d.Suspects())
	f.now += 6 * timekeeper.Hour
	is.Equal(len(d.Suspects()), 0)
	is.True(!f.daemons[1].refused(crashing))
	is.Equal(d.Digest(), uint64(0))
}

// BenchmarkCheck measures Check for a suspect while there are a few others. Without suspects,
// callers call only HasSuspects.
func BenchmarkCheck(b *testing.B) {
	f := newFleet(1)
	for n := range 5 {
		f.daemons[0].crash(fingerprintOf(n))
	}
	for b.Loop() {
		f.daemons[0].Check(crashing, quarantiner.Observation{})
	}
}

// BenchmarkFingerprint measures the fingerprint of a request with a body of 4 KB.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 4<<10)
	for b.Loop() {
		quarantiner.Content{Method: "POST", Host: "a.example", Target: "/path/of/it", Body: body, Length: 4 << 10}.Fingerprint()
	}
}

// TestOneDaemonHasTurnAtATime checks that exactly one of several daemons has a turn at any
// time, and that all get the same number of turns.
func TestOneDaemonHasTurnAtATime(t *testing.T) {
	is := is.New(t)
	all := []string{"a", "b", "c", "d"}
	turns := map[string]int{}
	for over := timekeeper.Millis(0); over < 8*quarantiner.TrialInterval; over += quarantiner.TrialInterval / 2 {
		holders := 0
		for _, name := range all {
			if quarantiner.IsTrialTurn(crashing, over, name, all) {
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
