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

	// patience bounds every wait for something that must come. It is no
	// measure: a test that runs into it has failed.
	patience = 60 * time.Second
	glance   = 20 * time.Millisecond

	// dumpTime bounds how long a process of a failed test may take to print its
	// goroutines.
	dumpTime = 5 * time.Second
)

var binaries string

type (
	// process is one process that a test started.
	process struct {
		t      testing.TB
		name   string
		cmd    *exec.Cmd
		lock   sync.Mutex
		output bytes.Buffer
		exited chan struct{}
	}

	// daemon is a gullvaled and its addresses.
	daemon struct {
		*process
		callers   string
		links     string
		operators string
		// linksBound is what links listen on, links what others are told.
		linksBound string
	}

	// daemonOptions is what differs between the daemons of a test.
	daemonOptions struct {
		name     string
		region   string
		domain   string
		platform string
		seeds    []string
		// advertise is the address for links that others are told, "" for
		// the one listened on.
		advertise string
		// callers, links and operators are listened on, "" for any port.
		callers, links, operators string
		// more is further lines of the settings.
		more string
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

// start runs a binary until the test ends.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, name), args...)
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.run()
	t.Cleanup(p.end)
	return p
}

func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) end() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	if p.t.Failed() {
		p.dump()
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	if strings.Contains(p.text(), "DATA RACE") {
		p.t.Errorf("%s has a data race", p.name)
	}
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.name, p.text())
	}
}

// dump has the process print what its goroutines wait for, and end.
func (p *process) dump() {
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-p.exited:
	case <-time.After(dumpTime):
	}
}

// Write collects the output.
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

// exit waits for the process and returns its exit code.
func (p *process) exit() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(patience):
		p.t.Fatalf("%s did not exit", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// field waits for a JSON line that has the field and returns the line.
func (p *process) field(name string) map[string]any {
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

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(patience)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(glance)
	}
}

func startPlatform(t testing.TB) string {
	t.Helper()
	p := start(t, "gullvale-standin", "platform")
	return "http://" + p.field("Address")["Address"].(string)
}

func startUpstream(t testing.TB, args ...string) string {
	t.Helper()
	p := start(t, "gullvale-standin", append([]string{"upstream", "--service-millis", "5"}, args...)...)
	return p.field("Address")["Address"].(string)
}

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
`, o.name, o.region, o.domain, anyPort(o.callers), anyPort(o.links), anyPort(o.operators),
		quoted(o.seeds), advertised(o.advertise), o.more, o.platform, operator.HashToken(token))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{process: start(t, "gullvaled", "--settings", file)}
	line := d.field("callers")
	d.callers = line["callers"].(string)
	d.links = line["links"].(string)
	d.linksBound = line["linksBound"].(string)
	d.operators = line["operators"].(string)
	return d
}

func anyPort(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

func advertised(links string) string {
	if links == "" {
		return ""
	}
	return fmt.Sprintf("Advertise.Links = %q", links)
}

func quoted(list []string) string {
	var out []string
	for _, s := range list {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return strings.Join(out, ", ")
}

// call makes one call of an operator and decodes the answer.
func (d *daemon) call(method, path string, body, answer any) int {
	d.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	q, err := http.NewRequest(method, "http://"+d.operators+path, bytes.NewReader(b))
	if err != nil {
		d.t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		d.t.Fatal(err)
	}
	defer p.Body.Close()
	if answer != nil {
		if err := json.NewDecoder(p.Body).Decode(answer); err != nil {
			d.t.Fatal(err)
		}
	}
	return p.StatusCode
}

// metric returns a counter or gauge of the daemon, added up over its labels.
func (d *daemon) metric(name string) float64 {
	d.t.Helper()
	p, err := http.Get("http://" + d.operators + operator.PathMetrics)
	if err != nil {
		d.t.Fatal(err)
	}
	defer p.Body.Close()
	var sum float64
	s := bufio.NewScanner(p.Body)
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

// ready waits until the daemon is healthy.
func (d *daemon) ready() {
	d.t.Helper()
	eventually(d.t, d.name+" is healthy", func() bool {
		p, err := http.Get("http://" + d.operators + operator.PathHealth)
		if err != nil {
			return false
		}
		p.Body.Close()
		return p.StatusCode == http.StatusOK
	})
}

// apply replaces the whole tree and waits until it is in force everywhere.
func (d *daemon) apply(members int, text string) {
	d.t.Helper()
	is := is.New(d.t)
	d.ready()
	var a operator.ChangeAnswer
	is.Equal(d.call(http.MethodPost, operator.PathChange, operator.ChangeRequest{TOML: text}, &a), http.StatusOK)
	eventually(d.t, "settings are in force on all", func() bool {
		var f operator.InForceAnswer
		path := fmt.Sprintf("%s?Number=%d", operator.PathInForce, a.Number)
		return d.call(http.MethodGet, path, nil, &f) == http.StatusOK && f.Members == members && f.InForce == members
	})
}

// fault sets what goes wrong at a stand-in platform.
func fault(t testing.TB, address string, f platform.Faults) {
	t.Helper()
	b, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	p, err := http.Post(address+"/Faults", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	p.Body.Close()
}

// counts returns what a stand-in upstream did.
func counts(t testing.TB, address string) server.Counts {
	t.Helper()
	p, err := http.Get("http://" + address + "/Journal")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Body.Close()
	var c server.Counts
	if err := json.NewDecoder(p.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c
}

// runs returns how often each token ran, by the journals of all upstreams.
func runs(t testing.TB, upstreams ...string) []map[string]int {
	t.Helper()
	var out []map[string]int
	for _, u := range upstreams {
		out = append(out, counts(t, u).Journal)
	}
	return out
}

// send sends one request to an entry.
func (d *daemon) send(ctx context.Context, method, service, target string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+target, body)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Gullvale-Service", service)
	return http.DefaultClient.Do(q)
}
