package estimator_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/estimator"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestRunTimesIgnoreLongRuns records runs of which each thirtieth takes seven times as long.
func TestRunTimesIgnoreLongRuns(t *testing.T) {
	is := is.New(t)
	var e estimator.Estimator
	for i := range 300 {
		ran := timekeeper.Millis(200)
		if i%30 == 29 {
			ran *= 7
		}
		e.Record("s", "r", true, ran, 1)
		e.Record("s", "r", false, 3*ran, 1)
	}
	times, ok := e.RunTimes("s", "r")
	is.True(ok)
	is.True(times.Known > 185 && times.Known < 215)
	is.True(times.First > 555 && times.First < 645)
	is.True(times.Mean > times.Known && times.Mean < times.First)
}

// TestRunTimesAreAtUsualPace checks that runs on a slow host count as what they take elsewhere.
func TestRunTimesAreAtUsualPace(t *testing.T) {
	is := is.New(t)
	var e estimator.Estimator
	for range 50 {
		e.Record("s", "r", true, 500, 2.5)
	}
	times, ok := e.RunTimes("s", "r")
	is.True(ok)
	is.True(times.Known > 185 && times.Known < 215)
	is.Equal(times.First, times.Known) // no first run was seen
}

func TestNoRunTimesAfterFewRuns(t *testing.T) {
	is := is.New(t)
	var e estimator.Estimator
	for range 7 {
		e.Record("s", "r", true, 200, 1)
	}
	_, ok := e.RunTimes("s", "r")
	is.True(!ok)
	_, ok = e.RunTimes("s", "other")
	is.True(!ok)
}

// TestRoutesAreBounded guards against memory that grows with each configuration that names its routes
// anew.
func TestRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	var e estimator.Estimator
	for i := range 5000 {
		for range 8 {
			e.Record("s", fmt.Sprint("r", i), true, 200, 1)
		}
	}
	known := 0
	for i := range 5000 {
		if _, ok := e.RunTimes("s", fmt.Sprint("r", i)); ok {
			known++
		}
	}
	is.True(known <= 1000)
	_, ok := e.RunTimes("s", "r4999")
	is.True(ok)
}
