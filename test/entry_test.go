package integration_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// routeTable returns a table with one route and two upstreams in two failure domains.
func routeTable(version int, evacuated string, upstreams []string) string {
	return fmt.Sprintf(`Version = %d
Evacuated = [%s]
[Limits]
BodyBytes = 1000
[Route.ledger]
Host = "kegs.example"
Prefix = "/ledger/"
Kind = "once"
TimeoutMillis = 2000
Attempts = 1
Weights.keg-ledger = 1
[Upstream.u1]
Service = "keg-ledger"
Address = %q
Site = "erie/erie-a"
Slots = 6
[Upstream.u2]
Service = "keg-ledger"
Address = %q
Site = "erie/erie-b"
Slots = 6
`, version, evacuated, upstreams[0], upstreams[1])
}

// TestUnknownMechanismsAreRefused starts daemons with unknown names in --without. They must exit
// before they open files or listeners, with an error that names the unknown mechanisms and the
// valid ones.
func TestUnknownMechanismsAreRefused(t *testing.T) {
	for _, args := range [][]string{{"entry", "--table", "none.toml"}, {"platform"}} {
		t.Run(args[0], func(t *testing.T) {
			is := is.New(t)
			d := startProcess(t, "gullvaled", append(args, "--without", "homes,wings,tails")...)
			is.Equal(d.waitExit(), 2)
			for _, part := range []string{"wings", "tails", "saved-homes"} {
				is.True(strings.Contains(d.text(), part))
			}
		})
	}
}

// TestEntryReloadsTable runs an entry from a table file. Routes and limits apply, a changed
// file takes effect, and an invalid or older table is ignored.
func TestEntryReloadsTable(t *testing.T) {
	is := is.New(t)
	upstreams := []string{startUpstream(t), startUpstream(t)}
	file := filepath.Join(t.TempDir(), "table.toml")
	writeTable := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	writeTable(routeTable(1, "", upstreams))
	entry := startProcess(t, "gullvaled", "entry", "--table", file, "--callers", "127.0.0.1:0", "--stop-millis", "1500")
	callers := entry.waitField("listeners")["listeners"].([]any)[0].(string)
	logged := func(msg string, times int) func() bool {
		return func() bool { return strings.Count(entry.text(), msg) >= times }
	}
	token := 0
	sendRequest := func(host, path, body string) (int, http.Header) {
		token++
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s?Bytes=40&Token=t%d", callers, path, token), strings.NewReader(body))
		is.NoErr(err)
		req.Host = host
		req.Header.Set("Gullvale-Key", fmt.Sprint("keg-", token))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, nil
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, resp.Header
	}
	eventually(t, "a request is answered", func() bool {
		status, _ := sendRequest("kegs.example", "/ledger/x", "one keg")
		return status == http.StatusOK
	})
	for range 20 {
		status, _ := sendRequest("kegs.example", "/ledger/x", "one keg")
		is.Equal(status, http.StatusOK)
	}
	runsAt := func(i int) int { return len(upstreamJournals(t, upstreams[i])[0]) }
	is.True(runsAt(0) > 0 && runsAt(1) > 0)
	status, _ := sendRequest("kegs.example", "/other/", "one keg")
	is.Equal(status, http.StatusNotFound)
	status, _ = sendRequest("kegs.example", "/ledger/x", strings.Repeat("k", 1001))
	is.Equal(status, http.StatusRequestEntityTooLarge)

	writeTable(routeTable(2, `"erie-a"`, upstreams))
	eventually(t, "the second table is in force", logged("configuration in force", 2))
	before := runsAt(0)
	for range 20 {
		status, _ := sendRequest("kegs.example", "/ledger/x", "one keg")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(runsAt(0), before)

	writeTable(strings.Replace(routeTable(3, "", upstreams), "Slots = 6", "Slots = many", 1))
	eventually(t, "an invalid table is refused", logged("changed table refused", 1))
	writeTable(routeTable(1, "", upstreams))
	entry.signal(syscall.SIGHUP)
	eventually(t, "an older table is refused", logged("table not newer", 1))
	status, _ = sendRequest("kegs.example", "/ledger/x", "one keg")
	is.Equal(status, http.StatusOK)
	is.Equal(runsAt(0), before)

	writeTable(routeTable(4, `"erie-a", "erie-b"`, upstreams))
	eventually(t, "the fourth table is in force", logged("configuration in force", 3))
	status, header := sendRequest("kegs.example", "/ledger/x", "one keg")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")

	entry.signal(syscall.SIGTERM)
	is.Equal(entry.waitExit(), 0)
}

// TestEntryRequiresKeyOfOrganisation runs an entry whose table has an organisation. Its API key,
// created by the command-line tool, is accepted up to the rate limit; another key is rejected, and
// so is the first one after it has been removed from the table.
func TestEntryRequiresKeyOfOrganisation(t *testing.T) {
	is := is.New(t)
	var created struct{ Key, Digest string }
	is.NoErr(json.Unmarshal([]byte(runCommandWithInput(t, "", "-o", "json", "key")), &created))
	is.Equal(strings.TrimSpace(runCommandWithInput(t, created.Key+"\n", "key", "digest")), created.Digest)

	upstreams := []string{startUpstream(t), startUpstream(t)}
	file := filepath.Join(t.TempDir(), "table.toml")
	tableWithKeys := func(version int, keys string) string {
		return routeTable(version, "", upstreams) + fmt.Sprintf(`[Organisation.brewery]
Keys = [%s]
PerSecond = 0.01
Burst = 12
`, keys)
	}
	writeTable := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	writeTable(tableWithKeys(1, fmt.Sprintf("%q", created.Digest)))
	is.True(strings.Contains(runCommandWithInput(t, "", "organisations", file), "brewery  rank 0, 0.01 a second, burst 12, anywhere, 1 keys"))

	entry := startProcess(t, "gullvaled", "entry", "--table", file, "--callers", "127.0.0.1:0", "--stop-millis", "1500")
	callers := entry.waitField("listeners")["listeners"].([]any)[0].(string)
	token := 0
	sendRequest := func(key string) int {
		token++
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/ledger/x?Bytes=40&Token=o%d", callers, token), strings.NewReader("keg"))
		is.NoErr(err)
		req.Host = "kegs.example"
		req.Header.Set("Gullvale-Credential", key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	eventually(t, "a request is answered", func() bool { return sendRequest(created.Key) == http.StatusOK })
	is.Equal(sendRequest("another"), http.StatusUnauthorized)
	statuses := map[int]int{}
	for range 20 {
		statuses[sendRequest(created.Key)]++
	}
	is.True(statuses[http.StatusOK] <= 12 && statuses[http.StatusTooManyRequests] >= 8)

	writeTable(tableWithKeys(2, ""))
	eventually(t, "the removed key is rejected", func() bool { return sendRequest(created.Key) == http.StatusUnauthorized })
	is.True(!strings.Contains(entry.text(), created.Key))
	entry.signal(syscall.SIGTERM)
	is.Equal(entry.waitExit(), 0)
}

// runCommandWithInput runs the command-line tool with the given standard input and returns its
// standard output.
func runCommandWithInput(t *testing.T, input string, args ...string) string {
	t.Helper()
	c := exec.Command(filepath.Join(binaries, "gullvale"), args...)
	c.Stdin = strings.NewReader(input)
	out, err := c.Output()
	if err != nil {
		t.Fatal(args, ": ", err)
	}
	return string(out)
}
