package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/standin/server"
)

const (
	token = "a-token-of-the-tests"

	// waitTimeout bounds every wait for an expected condition; a test that reaches it fails.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond

	// dumpTimeout bounds how long a process of a failed test may take to print its goroutines.
	dumpTimeout = 5 * time.Second
)

var binaries string

type (
	// process is a process started by a test.
	process struct {
		t      testing.TB
		name   string
		cmd    *exec.Cmd
		lock   sync.Mutex
		output bytes.Buffer
		exited chan struct{}
	}

	// daemon is a running gullvaled and its addresses.
	daemon struct {
		*process
		callers   string
		links     string
		operators string
		// linksBound is the listen address for links; links is the advertised one.
		linksBound string
	}

	// daemonOptions holds the settings that differ between the daemons of a test.
	daemonOptions struct {
		name     string
		region   string
		domain   string
		platform string
		seeds    []string
		// advertise is the address for links advertised to others; "" means the listen address.
		advertise string
		// callers, links and operators are listen addresses; "" means any port.
		callers, links, operators string
		// extraSettings is appended to the top-level settings.
		extraSettings string
	}
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gullvale-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	args := append([]string{"build"}, buildFlags...)
	build := exec.Command("go", append(args, "-o", dir, "../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startProcess runs a binary until the test ends.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, name), args...)
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.run()
	t.Cleanup(p.kill)
	return p
}

func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

// kill kills the process, even if it is suspended. The test fails if the process reported a data
// race.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	if p.t.Failed() {
		p.dumpGoroutines()
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	if strings.Contains(p.text(), "DATA RACE") {
		p.t.Errorf("%s reported a data race", p.name)
	}
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.name, p.text())
	}
}

// dumpGoroutines makes the process print its goroutines and exit.
func (p *process) dumpGoroutines() {
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-p.exited:
	case <-time.After(dumpTimeout):
	}
}

// Write appends to the collected output.
func (p *process) Write(b []byte) (int, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.output.Write(b)
}

func (p *process) text() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.output.String()
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitExit waits until the process has exited and returns its exit code.
func (p *process) waitExit() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// waitField waits for a JSON output line that contains the field and returns the line.
func (p *process) waitField(name string) map[string]any {
	p.t.Helper()
	var found map[string]any
	eventually(p.t, p.name+" prints "+name, func() bool {
		s := bufio.NewScanner(strings.NewReader(p.text()))
		for s.Scan() {
			var line map[string]any
			if json.Unmarshal(s.Bytes(), &line) == nil && line[name] != nil {
				found = line
				return true
			}
		}
		return false
	})
	return found
}

// eventually polls until condition returns true and fails the test after waitTimeout.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", description)
		}
		time.Sleep(pollInterval)
	}
}

// startPlatform starts a stand-in platform and returns its URL.
func startPlatform(t testing.TB) string {
	t.Helper()
	p := startProcess(t, "gullvale-standin", "platform")
	return "http://" + p.waitField("Address")["Address"].(string)
}

// startUpstream starts a stand-in upstream and returns its address.
func startUpstream(t testing.TB, args ...string) string {
	t.Helper()
	p := startProcess(t, "gullvale-standin", append([]string{"upstream", "--service-millis", "5"}, args...)...)
	return p.waitField("Address")["Address"].(string)
}

// startDaemon starts a daemon and waits until it listens.
func startDaemon(t testing.TB, o daemonOptions) *daemon {
	t.Helper()
	file := filepath.Join(t.TempDir(), o.name+".toml")
	text := fmt.Sprintf(`Name = %q
Region = %q
Domain = %q
Callers = %q
Links = %q
Operators = %q
Seeds = [%s]
%s
%s

[Platform]
Address = %q

[Tokens]
anna = "administer %s"
`, o.name, o.region, o.domain, orAnyPort(o.callers), orAnyPort(o.links), orAnyPort(o.operators),
		quoteList(o.seeds), advertiseSetting(o.advertise), o.extraSettings, o.platform, operator.HashToken(token))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{process: startProcess(t, "gullvaled", "--settings", file)}
	line := d.waitField("callers")
	d.callers = line["callers"].(string)
	d.links = line["links"].(string)
	d.linksBound = line["linksBound"].(string)
	d.operators = line["operators"].(string)
	return d
}

func orAnyPort(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

func advertiseSetting(links string) string {
	if links == "" {
		return ""
	}
	return fmt.Sprintf("Advertise.Links = %q", links)
}

func quoteList(list []string) string {
	var out []string
	for _, s := range list {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return strings.Join(out, ", ")
}

// callOperator sends a request to the operator API and decodes the response.
func (d *daemon) callOperator(method, path string, body, response any) int {
	d.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://"+d.operators+path, bytes.NewReader(b))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	if response != nil {
		if err := json.NewDecoder(resp.Body).Decode(response); err != nil {
			d.t.Fatal(err)
		}
	}
	return resp.StatusCode
}

// metric returns the value of a counter or gauge of the daemon, summed over its labels.
func (d *daemon) metric(name string) float64 {
	d.t.Helper()
	resp, err := http.Get("http://" + d.operators + operator.PathMetrics)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	var sum float64
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		text, ok := strings.CutPrefix(s.Text(), "gullvale_"+name)
		if !ok || !strings.HasPrefix(text, "{") && !strings.HasPrefix(text, " ") {
			continue
		}
		var v float64
		if _, err := fmt.Sscan(text[strings.LastIndex(text, " ")+1:], &v); err == nil {
			sum += v
		}
	}
	return sum
}

// waitReady waits until the daemon reports that it is healthy.
func (d *daemon) waitReady() {
	d.t.Helper()
	eventually(d.t, d.name+" is healthy", func() bool {
		resp, err := http.Get("http://" + d.operators + operator.PathHealth)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// applySettings replaces all settings and waits until they are in force on all members.
func (d *daemon) applySettings(members int, text string) {
	d.t.Helper()
	is := is.New(d.t)
	d.waitReady()
	var accepted operator.ChangeResponse
	is.Equal(d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{TOML: text}, &accepted), http.StatusOK)
	eventually(d.t, "settings are in force on all members", func() bool {
		var status operator.InForceResponse
		path := fmt.Sprintf("%s?Number=%d", operator.PathInForce, accepted.Number)
		return d.callOperator(http.MethodGet, path, nil, &status) == http.StatusOK && status.Members == members && status.InForce == members
	})
}

// setFaults sets the faults of a stand-in platform.
func setFaults(t testing.TB, address string, f platform.Faults) {
	t.Helper()
	b, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(address+"/Faults", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// upstreamCounts returns the counts of a stand-in upstream.
func upstreamCounts(t testing.TB, address string) server.Counts {
	t.Helper()
	resp, err := http.Get("http://" + address + "/Journal")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var c server.Counts
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c
}

// upstreamJournals returns the journal of each upstream: how often each token ran.
func upstreamJournals(t testing.TB, upstreams ...string) []map[string]int {
	t.Helper()
	var out []map[string]int
	for _, u := range upstreams {
		out = append(out, upstreamCounts(t, u).Journal)
	}
	return out
}

// send sends a request to the daemon as a caller.
func (d *daemon) send(ctx context.Context, method, service, target string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+target, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Gullvale-Service", service)
	return http.DefaultClient.Do(req)
}
