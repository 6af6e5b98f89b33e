package integration_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/platform"
)

// runCommand runs the command-line tool against the given operator addresses and returns its
// exit code and combined output.
func runCommand(t *testing.T, operators string, args ...string) (int, string) {
	t.Helper()
	c := exec.Command(filepath.Join(binaries, "gullvale"), args...)
	c.Env = append(os.Environ(), "GULLVALE_OPERATORS="+operators, "GULLVALE_TOKEN="+token, "HOME="+t.TempDir())
	out, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), string(out)
}

// TestCommandLine runs the operator commands in a realistic order and checks the exit code and
// output of each.
func TestCommandLine(t *testing.T) {
	address := startPlatform(t)
	a := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	b := startDaemon(t, daemonOptions{name: "michigan-1", region: "michigan", domain: "a", platform: address})
	dir := t.TempDir()
	settingsFile := filepath.Join(dir, "tree.toml")
	settings := fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\n[Region.michigan.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\n",
		startUpstream(t), startUpstream(t))
	badSettings := filepath.Join(dir, "bad.toml")
	blocksFile := filepath.Join(dir, "blocks.txt")
	logFile := filepath.Join(dir, "erie-1.log")
	request := `{"time":"2026-01-11T05:37:30.000Z","msg":"request","id":"aa01","outcome":"not-run","reason":"line","status":503}` + "\n"
	tableFile := filepath.Join(dir, "table.toml")
	badTable := filepath.Join(dir, "wrong.toml")
	routes := routeTable(7, `"erie-b"`, []string{"10.0.0.1:80", "10.0.0.2:80"})
	for name, text := range map[string]string{tableFile: routes, badTable: "Version = 0\nRoute.r.Host = 7\n", settingsFile: settings, badSettings: "Slots = 0\nlimit = \"1%\"\n", blocksFile: "10.1.0.0/16 erie/a\n10.2.0.0/16 michigan/a\n", logFile: request} {
		if err := writeFile(name, text); err != nil {
			t.Fatal(err)
		}
	}
	a.waitReady()
	b.waitReady()
	eventually(t, "both are members", func() bool {
		code, out := runCommand(t, a.operators, "status", "-o", "json")
		return code == 0 && strings.Contains(out, `"Members": 2`)
	})
	const unreachable = "127.0.0.1:1"
	both := unreachable + "," + a.operators + "," + b.operators
	for _, c := range []struct {
		operators, args string
		code            int
		want            string
	}{
		{both, "settings check " + settingsFile, 0, "ok"},
		{unreachable, "routes " + tableFile, 0, "ok: version 7, 1 routes, 1 services, 2 upstreams, evacuated [erie-b]"},
		{unreachable, "routes " + tableFile + " kegs.example /ledger/7", 0, "route ledger to keg-ledger, once, at most 2000 ms and 1 attempts"},
		{unreachable, "routes " + tableFile + " kegs.example /other/ -o json", 1, "no route for kegs.example/other/"},
		{unreachable, "routes " + badTable, 2, "wrong.toml:2: Route.r.Host: is no text"},
		{unreachable, "routes " + tableFile + " kegs.example", 2, "FILE HOST PATH"},
		{unreachable, "explain aa01 " + logFile, 0, "too many requests waited"},
		{unreachable, "explain aa01 -o json " + logFile, 0, `"Cause": "too many`},
		{unreachable, "explain bb02 " + logFile, 1, "no line about request bb02"},
		{unreachable, "explain aa01 " + logFile + ".1", 2, "no such file"},
		{both, "settings check " + badSettings, 2, badSettings + ":1: / Slots: 0 is outside 1 to 100000\n" + badSettings + ":2: / limit: unknown setting; did you mean Limit?"},
		{both, "settings apply " + badSettings, 2, "did you mean Limit?"},
		{both, "settings apply " + settingsFile, 0, "change 1 accepted, in force on 2 of 2 after"},
		{both, "settings apply " + settingsFile, 2, "already so"},
		{both, "s set michigan:keg-ledger Slots=3 -m slow", 0, "change 2 accepted, in force on 2 of 2"},
		{both, "s show michigan/a:keg-ledger", 0, "michigan:keg-ledger"},
		{both, "s set michigan Slots=none", 2, `michigan Slots: "none" is not a whole number`},
		{both, "s set nowhere", 2, "at least 2 arg"},
		{both, "s log", 0, `"slow"`},
		{both, "s undo 2", 0, "michigan:keg-ledger Slots unset"},
		{both, "s undo 2", 3, "anna was faster with change 3"},
		{both, "s undo 99", 2, "not among the changes"},
		{both, "shift keg-ledger --from erie --to michigan --share 30% --cap 5%/min -n", 0, "dry run: nothing changed"},
		{both, "shift keg-ledger --from erie --to superior --share 30% --cap 5%/min", 2, "no upstreams in region \"superior\""},
		{both, "shift keg-ledger --from erie --to michigan --share 30% --cap 5%/min", 0, "change 4 accepted"},
		{both, "status", 0, "shift keg-ledger erie → michigan"},
		{both, "unshift keg-ledger --from erie", 0, "change 5 accepted"},
		{both, "drain erie/a --for 2h", 0, "DrainUntil = "},
		{both, "status", 0, "drained: erie/a"},
		{both, "undrain erie/a", 0, "change 7 accepted"},
		{both, "status", 0, "headroom erie keg-ledger: 100%"},
		{both, "st", 0, "any one domain or region may be lost"},
		{both, "blocks load one " + blocksFile, 0, "stored 2 blocks"},
		{both, "blocks load one " + blocksFile, 2, "another revision"},
		{both, "s set / BlockTable=one", 0, "change 8 accepted"},
		{both, "lookup keg-ledger 10.1.2.3", 0, a.callers},
		{both, "lookup keg-ledger home", 2, "neither an IP number nor a block"},
		{both, "lookup other", 2, "no service"},
		{both, "version", 0, "gullvale 0"},
		{both, "status -o xml", 2, "neither text nor json"},
		{both, "completion bash", 0, "gullvale"},
		{both, "nonsense", 2, "unknown command"},
		{unreachable, "status", 5, "connection refused"},
		{"here", "status", 2, `"here" is not an IP number with a port`},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			code, out := runCommand(t, c.operators, strings.Fields(c.args)...)
			if code != c.code || !strings.Contains(out, c.want) {
				t.Logf("exit %d: %s", code, out)
			}
			is.Equal(code, c.code)
			is.True(strings.Contains(out, c.want))
		})
	}
	t.Run("outcome unknown", func(t *testing.T) {
		is := is.New(t)
		setFaults(t, address, platform.Faults{LoseAnswers: 1, LosePrefix: "Settings/", DownAfterLoss: true})
		code, out := runCommand(t, both, "s", "set", "erie", "Limit=50%")
		is.Equal(code, 4)
		is.True(strings.Contains(out, "look for change id"))
		setFaults(t, address, platform.Faults{Down: true})
		code, _ = runCommand(t, both, "s", "set", "erie", "Limit=51%")
		is.Equal(code, 5)
		setFaults(t, address, platform.Faults{})
		code, out = runCommand(t, both, "s", "log", "-o", "json")
		is.Equal(code, 0)
		var l struct{ Changes []json.RawMessage }
		is.NoErr(json.Unmarshal([]byte(out), &l))
		is.Equal(len(l.Changes), 9) // the change with the unknown outcome took effect
	})
}
