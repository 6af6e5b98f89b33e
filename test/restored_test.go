package integration_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/platform"
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
