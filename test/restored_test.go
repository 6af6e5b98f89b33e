package integration_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
)

// settingsBound is how long after its acceptance a change of settings must be in force everywhere.
const settingsBound = 4 * time.Second

// control calls a control path of the stand-in platform.
func control(t *testing.T, address, path string) {
	t.Helper()
	resp, err := http.Post(address+path, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestSettingsAfterThePlatformReturnsFromACopy guards against daemons that stop following the
// settings, or can't start, after the platform has returned from a copy that lacks the latest
// accepted changes, and against taking those back.
func TestSettingsAfterThePlatformReturnsFromACopy(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	all, _ := startThreeOwners(t, address)
	all[0].setAndWait(3, "31")
	control(t, address, "/Copy")
	all[0].setAndWait(3, "32")
	lost := all[0].setAndWait(3, "33")
	setFaults(t, address, platform.Faults{Down: true})
	time.Sleep(700 * time.Millisecond)
	control(t, address, "/Restore")
	setFaults(t, address, platform.Faults{})

	began := time.Now()
	number := all[1].setAndWait(3, "34")
	is.True(time.Since(began) < settingsBound)
	is.True(number > lost) // the accepted changes keep their numbers
	newcomer := startDaemon(t, daemonOptions{name: "erie-9", region: "erie", domain: "a", platform: address})
	newcomer.waitReady()
	is.True(newcomer.setAndWait(4, "35") > number)
}

// postChange makes a change of settings through a daemon and returns its number, 0 if it was not
// accepted.
func (d *daemon) postChange(value resolver.Value) recorder.Number {
	d.t.Helper()
	var accepted operator.ChangeResponse
	if d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
		Edits: []resolver.Edit{{Path: "/", Key: resolver.KeyQueueLength, Value: value}},
	}, &accepted) != http.StatusOK {
		return 0
	}
	return accepted.Number
}

// TestChangeKnownToOneDaemonOutlastsTheReturn guards against an accepted change that is lost because
// the leader, which had it, ends, and the store returns from a copy without it, before the third
// daemon has heard of it.
func TestChangeKnownToOneDaemonOutlastsTheReturn(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	all, _ := startThreeOwners(t, address)
	current, others := waitLeader(t, all...)
	control(t, address, "/Copy")
	current.signal(syscall.SIGSTOP)
	others[1].signal(syscall.SIGSTOP)
	lost := others[0].postChange("41")
	is.True(lost > 0)
	current.signal(syscall.SIGKILL)
	control(t, address, "/Restore")
	others[1].signal(syscall.SIGCONT)

	number := others[1].setAndWait(2, "42")
	is.Equal(number, lost+1)
	is.Equal(others[0].metric("invariants_broken")+others[1].metric("invariants_broken"), 0.0)
}

// TestDaemonPausedDuringTwoReturns guards against a daemon that follows a former copy of the store
// after it has stood still while the store returned twice.
func TestDaemonPausedDuringTwoReturns(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	all, _ := startThreeOwners(t, address)
	_, others := waitLeader(t, all...)
	control(t, address, "/Copy")
	before := others[1].setAndWait(3, "51")
	others[0].signal(syscall.SIGSTOP)
	control(t, address, "/Restore")
	control(t, address, "/Restore")
	time.Sleep(700 * time.Millisecond)
	others[0].signal(syscall.SIGCONT)
	between := others[0].setAndWait(3, "52")
	is.True(between > before)
	control(t, address, "/Restore")
	is.True(others[1].setAndWait(3, "53") > between)
}
