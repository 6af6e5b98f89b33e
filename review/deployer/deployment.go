package deployer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gullvale/gullvale/platform/standin"
)

// Host is the host of all routes.
const Host = "ficu95.example"

const (
	// daemonPath is the program of the deploy file, daemonRole its argument.
	daemonPath = "target/gullvaled"
	daemonRole = "platform"

	// firstPort and ports are a range below that of ephemeral ports, networks the number of
	// loopback networks that deployments use.
	firstPort = 12_000
	ports     = 9_000
	networks  = 200

	// exitFailed is the exit code of a case that could not run.
	exitFailed = 2

	// graceTime is how long after SIGTERM a process gets SIGKILL.
	graceTime = 6 * time.Second
)

var (
	// Zones are the zones of the deployment, each in the region before its dash.
	Zones = []string{"erie-a", "erie-b", "michigan-a", "michigan-b", "superior-a", "superior-b"}

	used portSet
)

type (
	// Deployment is a store, and daemons as processes.
	Deployment struct {
		Store  standin.Store
		Record *Record
		// Directory holds the settings files and the output of the daemons.
		Directory string
		// StoreAddress is the address of the store. Start sets it.
		StoreAddress string
		Daemons      []*Daemon

		ports   [5]int
		network int
		servers []*http.Server
	}

	// portSet holds the ports that this process has used.
	portSet struct {
		lock  sync.Mutex
		taken map[int]bool
	}

	// Daemon is one machine, with one process at a time.
	Daemon struct {
		Name  string
		Zone  string
		IP    string
		Front string
		Ready string

		deployment *Deployment
		settings   string
		lock       sync.Mutex
		command    *exec.Cmd
		exited     chan struct{}
	}
)

// Start starts the store.
func (d *Deployment) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: &d.Store}
	d.servers = append(d.servers, s)
	go d.runStore(s, l)
	go d.runSignals()
	d.StoreAddress = l.Addr().String()
	d.network = 1 + os.Getpid()%networks
	for i := range d.ports {
		if d.ports[i], err = freePort(); err != nil {
			return err
		}
	}
	return nil
}

// runStore serves the store until it is closed.
func (d *Deployment) runStore(s *http.Server, l net.Listener) {
	_ = s.Serve(l)
}

// runSignals ends all daemons if this process is asked to end.
func (d *Deployment) runSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	d.Close()
	os.Exit(exitFailed)
}

// freePort returns a port below the ephemeral ones that is free at the time of the call.
func freePort() (int, error) {
	first := firstPort + os.Getpid()%ports
	for p := first; p < first+ports; p++ {
		if !used.take(p) {
			continue
		}
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p)); err == nil {
			_ = l.Close()
			return p, nil
		}
	}
	return 0, errors.New("no free port")
}

// take reports whether a port was not taken before.
func (s *portSet) take(p int) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.taken[p] {
		return false
	}
	if s.taken == nil {
		s.taken = map[int]bool{}
	}
	s.taken[p] = true
	return true
}

// AddDaemon starts a daemon in a zone.
func (d *Deployment) AddDaemon(zone string) (*Daemon, error) {
	n := len(d.Daemons) + 1
	ip := fmt.Sprintf("127.77.%d.%d", d.network, n)
	m := &Daemon{
		Name: fmt.Sprintf("edge-%s-%d", zone, n), Zone: zone, IP: ip,
		Front: fmt.Sprintf("%s:%d", ip, d.ports[0]), Ready: fmt.Sprintf("%s:%d", ip, d.ports[1]),
		deployment: d,
	}
	m.settings = filepath.Join(d.Directory, m.Name+".conf")
	if err := os.WriteFile(m.settings, []byte(d.settings(m)), 0o600); err != nil {
		return nil, err
	}
	d.Daemons = append(d.Daemons, m)
	return m, m.Start()
}

// settings returns the settings file of a daemon.
func (d *Deployment) settings(m *Daemon) string {
	seeds := make([]string, 3)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("127.77.%d.%d:%d", d.network, i+1, d.ports[2])
	}
	return render("settings.tmpl", map[string]any{
		"Name": m.Name, "IP": m.IP, "Zone": m.Zone, "Front": m.Front, "Ready": m.Ready,
		"Control": fmt.Sprintf("%s:%d", m.IP, d.ports[2]), "Directory": fmt.Sprintf("%s:%d", m.IP, d.ports[3]),
		"FirstPort": d.ports[4], "LastPort": d.ports[4] + 15,
		"Seeds": strings.Join(seeds, ","), "Store": d.StoreAddress,
	})
}

func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "-")
	return region
}

// Start starts the process of a daemon.
func (m *Daemon) Start() error {
	out, err := os.OpenFile(filepath.Join(m.deployment.Directory, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(daemonPath, daemonRole)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), Names.SettingsVariable + "=" + m.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	exited := make(chan struct{})
	m.command, m.exited = c, exited
	go m.runWait(c, exited)
	m.deployment.Record.Add("process of %s started", m.Name)
	return nil
}

// runWait waits for the end of a process.
func (m *Daemon) runWait(c *exec.Cmd, exited chan struct{}) {
	_ = c.Wait()
	close(exited)
}

// AwaitReady waits until the daemon says that it is ready.
func (m *Daemon) AwaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + m.Ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.Name, timeout)
}

// Close stops all daemons, by SIGTERM and after the grace time by SIGKILL, and the store.
func (d *Deployment) Close() {
	var stopping sync.WaitGroup
	for _, m := range d.Daemons {
		stopping.Go(m.stop)
	}
	stopping.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func (m *Daemon) stop() {
	m.lock.Lock()
	c, exited := m.command, m.exited
	m.lock.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		_ = c.Process.Kill()
		<-exited
	}
}
