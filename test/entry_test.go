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

// routeTable is a table of one route and two upstreams in two failure domains.
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

// TestUnknownMechanismsAreRefused starts daemons with names that there are not: they say
// so, with what there is, before they open anything.
func TestUnknownMechanismsAreRefused(t *testing.T) {
	for _, args := range [][]string{{"entry", "--table", "none.toml"}, {"platform"}} {
		t.Run(args[0], func(t *testing.T) {
			is := is.New(t)
			d := startProcess(t, "gullvaled", append(args, "--without", "homes,wings,tails")...)
			is.Equal(d.waitExit(), 2)
			for _, part := range []string{"wings", "tails", "saved-homes"} {
				is.True(strings.Contains(d.logText(), part))
			}
		})
	}
}

// TestEntryFollowsItsTable runs an entry from a file: routes and limits hold, a
// changed file is in force soon, and one that is wrong or not newer changes nothing.
func TestEntryFollowsItsTable(t *testing.T) {
	is := is.New(t)
	upstreams := []string{startUpstream(t), startUpstream(t)}
	file := filepath.Join(t.TempDir(), "table.toml")
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(routeTable(1, "", upstreams))
	entry := startProcess(t, "gullvaled", "entry", "--table", file, "--callers", "127.0.0.1:0", "--stop-millis", "1500")
	callers := entry.waitField("listeners")["listeners"].([]any)[0].(string)
	says := func(msg string, times int) func() bool {
		return func() bool { return strings.Count(entry.logText(), msg) >= times }
	}
	token := 0
	ask := func(host, path, body string) (int, http.Header) {
		token++
		q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s?Bytes=40&Token=t%d", callers, path, token), strings.NewReader(body))
		is.NoErr(err)
		q.Host = host
		q.Header.Set("Gullvale-Key", fmt.Sprint("keg-", token))
		p, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, nil
		}
		defer p.Body.Close()
		_, _ = io.Copy(io.Discard, p.Body)
		return p.StatusCode, p.Header
	}
	eventually(t, "a request is answered", func() bool {
		status, _ := ask("kegs.example", "/ledger/x", "one keg")
		return status == http.StatusOK
	})
	for range 20 {
		status, _ := ask("kegs.example", "/ledger/x", "one keg")
		is.Equal(status, http.StatusOK)
	}
	ran := func(i int) int { return len(upstreamJournals(t, upstreams[i])[0]) }
	is.True(ran(0) > 0 && ran(1) > 0)
	status, _ := ask("kegs.example", "/other/", "one keg")
	is.Equal(status, http.StatusNotFound)
	status, _ = ask("kegs.example", "/ledger/x", strings.Repeat("k", 1001))
	is.Equal(status, http.StatusRequestEntityTooLarge)

	write(routeTable(2, `"erie-a"`, upstreams))
	eventually(t, "the second table is in force", says("configuration in force", 2))
	before := ran(0)
	for range 20 {
		status, _ := ask("kegs.example", "/ledger/x", "one keg")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(ran(0), before)

	write(strings.Replace(routeTable(3, "", upstreams), "Slots = 6", "Slots = many", 1))
	eventually(t, "a wrong table is refused", says("changed table refused", 1))
	write(routeTable(1, "", upstreams))
	entry.signal(syscall.SIGHUP)
	eventually(t, "an older table is refused", says("table not newer", 1))
	status, _ = ask("kegs.example", "/ledger/x", "one keg")
	is.Equal(status, http.StatusOK)
	is.Equal(ran(0), before)

	write(routeTable(4, `"erie-a", "erie-b"`, upstreams))
	eventually(t, "the fourth table is in force", says("configuration in force", 3))
	status, header := ask("kegs.example", "/ledger/x", "one keg")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")

	entry.signal(syscall.SIGTERM)
	is.Equal(entry.waitExit(), 0)
}

// TestEntryAsksWhoseRequestsAre runs an entry whose table has an organisation: its key is
// made by the command line, its limit holds, and a key that is taken away counts no more.
func TestEntryAsksWhoseRequestsAre(t *testing.T) {
	is := is.New(t)
	var made struct{ Key, Digest string }
	is.NoErr(json.Unmarshal([]byte(runCommandWithInput(t, "", "-o", "json", "key")), &made))
	is.Equal(strings.TrimSpace(runCommandWithInput(t, made.Key+"\n", "key", "digest")), made.Digest)

	upstreams := []string{startUpstream(t), startUpstream(t)}
	file := filepath.Join(t.TempDir(), "table.toml")
	organisation := func(version int, keys string) string {
		return routeTable(version, "", upstreams) + fmt.Sprintf(`[Organisation.brewery]
Keys = [%s]
PerSecond = 0.01
Burst = 12
`, keys)
	}
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(organisation(1, fmt.Sprintf("%q", made.Digest)))
	is.True(strings.Contains(runCommandWithInput(t, "", "organisations", file), "brewery  rank 0, 0.01 a second, burst 12, anywhere, 1 keys"))

	entry := startProcess(t, "gullvaled", "entry", "--table", file, "--callers", "127.0.0.1:0", "--stop-millis", "1500")
	callers := entry.waitField("listeners")["listeners"].([]any)[0].(string)
	token := 0
	ask := func(key string) int {
		token++
		q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/ledger/x?Bytes=40&Token=o%d", callers, token), strings.NewReader("keg"))
		is.NoErr(err)
		q.Host = "kegs.example"
		q.Header.Set("Gullvale-Credential", key)
		p, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0
		}
		defer p.Body.Close()
		_, _ = io.Copy(io.Discard, p.Body)
		return p.StatusCode
	}
	eventually(t, "a request is answered", func() bool { return ask(made.Key) == http.StatusOK })
	is.Equal(ask("another"), http.StatusUnauthorized)
	statuses := map[int]int{}
	for range 20 {
		statuses[ask(made.Key)]++
	}
	is.True(statuses[http.StatusOK] <= 12 && statuses[http.StatusTooManyRequests] >= 8)

	write(organisation(2, ""))
	eventually(t, "the key counts no more", func() bool { return ask(made.Key) == http.StatusUnauthorized })
	is.True(!strings.Contains(entry.logText(), made.Key))
	entry.signal(syscall.SIGTERM)
	is.Equal(entry.waitExit(), 0)
}

// runCommandWithInput runs the command line with a text on standard input and returns what it
// prints.
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
