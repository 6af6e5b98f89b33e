package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/process/configurer"
	"github.com/gullvale/gullvale/internal/process/logger"
	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/process/runner"
	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/internal/standin/delayer"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/standin/server"
	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/finder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
)

const (
	demoToken      = "demo"
	blockTableName = "demo"
	loopback       = "127.0.0.1:0"

	readyTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

type (
	// fleet is a running deployment.
	fleet struct {
		deployment deployment
		log        *logrus.Logger
		platform   *platform.Server
		address    string
		servers    []*upstream
		daemons    []*runner.Daemon
		closers    []func()

		lock  sync.RWMutex
		sites map[string]registrar.Site
	}

	upstream struct {
		*server.Server
		service resolver.ServiceName
		site    registrar.Site
		address string
	}
)

// startFleet starts all processes and waits until the settings are in force.
func startFleet(ctx context.Context, d deployment) (*fleet, error) {
	f := &fleet{
		deployment: d,
		log:        logger.New(io.Discard, logrus.ErrorLevel),
		platform:   &platform.Server{},
		sites:      map[string]registrar.Site{},
	}
	address, err := f.serve(&http.Server{Handler: f.platform})
	if err != nil {
		return f, err
	}
	f.address = "http://" + address
	if err := f.startServers(); err != nil {
		return f, err
	}
	if err := f.saveBlocks(ctx); err != nil {
		return f, err
	}
	for _, c := range d.daemons {
		for n := range c.count {
			if err := f.startDaemon(c.site, n); err != nil {
				return f, err
			}
		}
	}
	return f, f.applySettings(ctx)
}

// serve starts an HTTP server on a loopback port and returns its address.
func (f *fleet) serve(s *http.Server) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	go f.runServer(s, l)
	f.closers = append(f.closers, func() { s.Close() })
	return l.Addr().String(), nil
}

func (f *fleet) runServer(s *http.Server, l net.Listener) {
	_ = s.Serve(l)
}

// startServers starts the upstreams of each service, spread evenly over the sites.
func (f *fleet) startServers() error {
	sites := f.deployment.sites()
	for _, v := range f.deployment.services {
		for n := range v.servers {
			u := &upstream{
				Server: &server.Server{
					Name:          fmt.Sprintf("%s-%d", v.name, n),
					Slots:         v.slots,
					ServiceMillis: v.serviceMillis,
					Bytes:         v.bytes,
					Pace:          v.pace,
					ConnMillis:    v.connMillis,
					ProbeMillis:   v.probeMillis,
					Seed:          uint64(len(f.servers) + 1),
				},
				service: v.name,
				site:    sites[n%len(sites)],
			}
			var err error
			if u.address, err = f.serve(u.HTTP()); err != nil {
				return err
			}
			f.servers = append(f.servers, u)
		}
	}
	return nil
}

// saveBlocks writes the block table, which maps the client blocks to sites, to the platform.
func (f *fleet) saveBlocks(ctx context.Context) error {
	var b strings.Builder
	for n, site := range f.deployment.sites() {
		for _, block := range clientBlocks(n) {
			fmt.Fprintf(&b, "%s/24 %s\n", block, site)
		}
	}
	_, err := locator.Save(ctx, &storer.Client{Address: f.address}, blockTableName, strings.NewReader(b.String()))
	return err
}

func (f *fleet) startDaemon(site registrar.Site, n int) error {
	text := fmt.Sprintf(`Name = "%s-%s-%d"
Region = %q
Domain = %q
Callers = %q
Links = %q
Operators = %q
Platform.Address = %q
Tokens.demo = "administer %s"
`, site.Region(), site.Domain(), n+1, site.Region(), site.Domain(), loopback, loopback, loopback, f.address, operator.HashToken(demoToken))
	config, problems := configurer.Read("demo", []byte(text))
	if len(problems) > 0 {
		return problems
	}
	d, err := runner.New(runner.Options{Config: config, Log: f.log, Dial: f.linkDial(site)})
	if err != nil {
		return err
	}
	m := d.Self()
	f.lock.Lock()
	f.sites[m.Links] = site
	f.sites[m.Callers] = site
	f.lock.Unlock()
	f.daemons = append(f.daemons, d)
	return d.Start()
}

func (f *fleet) siteOf(address string) registrar.Site {
	f.lock.RLock()
	defer f.lock.RUnlock()
	return f.sites[address]
}

// linkDial returns a dialer for the links of a daemon at a site, with the delay
// to the peer's site.
func (f *fleet) linkDial(from registrar.Site) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialDelayed(ctx, address, f.deployment.delay(from, f.siteOf(address)))
	}
}

// dialDelayed opens a connection with a one-way delay.
func dialDelayed(ctx context.Context, address string, delay time.Duration) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	// The TCP handshake takes a round trip.
	time.Sleep(2 * delay)
	return delayer.Wrap(c, delay), nil
}

// finders returns a finder for the callers of each region.
func (f *fleet) finders() map[string]*finder.Finder {
	var seeds []string
	for _, d := range f.daemons {
		seeds = append(seeds, d.Self().Callers)
	}
	out := map[string]*finder.Finder{}
	for _, site := range f.deployment.sites() {
		region := site.Region()
		if out[region] != nil {
			continue
		}
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialDelayed(ctx, address, f.deployment.clientDelayTo(region, f.siteOf(address)))
		}
		out[region] = &finder.Finder{Seeds: seeds, HTTP: caller.NewClient(dial)}
	}
	return out
}

// settings returns the settings of the deployment as TOML.
func (f *fleet) settings() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "BlockTable = %q\n", blockTableName)
	for _, v := range f.deployment.services {
		fmt.Fprintf(&b, "[Service.%s]\nSlots = %d\nClass = %q\nRefusalHeader = %q\nDrainHeader = %q\n",
			v.name, v.slots, v.class, server.HeaderNotRun, server.HeaderDraining)
	}
	for _, site := range f.deployment.sites() {
		for _, v := range f.deployment.services {
			var list []string
			for _, u := range f.servers {
				if u.site == site && u.service == v.name {
					list = append(list, fmt.Sprintf("%q", u.address))
				}
			}
			fmt.Fprintf(&b, "[Region.%s.Domain.%s.Service.%s]\nUpstreams = [%s]\n",
				site.Region(), site.Domain(), v.name, strings.Join(list, ", "))
		}
	}
	return b.String()
}

// applySettings applies the settings and waits until all slots are owned.
func (f *fleet) applySettings(ctx context.Context) error {
	o := f.operator()
	if err := f.await(ctx, "daemons are up", func() bool {
		s, err := o.status(ctx)
		return err == nil && s.Members == len(f.daemons)
	}); err != nil {
		return err
	}
	if _, err := o.change(ctx, operator.ChangeRequest{TOML: f.settings(), File: "demo"}); err != nil {
		return err
	}
	total := 0
	for _, v := range f.deployment.services {
		total += v.servers * v.slots
	}
	return f.await(ctx, "all slots are owned", func() bool {
		s, err := o.status(ctx)
		if err != nil || s.InForce != len(f.daemons) || s.Plan == 0 || s.Blocks == 0 {
			return false
		}
		owned := 0
		for _, r := range s.Regions {
			for _, v := range r.Services {
				owned += int(v.Slots)
			}
		}
		return owned == total
	})
}

func (f *fleet) await(ctx context.Context, description string, condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not ready after %s: %s", readyTimeout, description)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// stop stops the daemons and then everything else.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.Kill()
	}
	for _, c := range f.closers {
		c()
	}
}

// journals returns the journal of each upstream.
func (f *fleet) journals() []map[string]int {
	var out []map[string]int
	for _, u := range f.servers {
		out = append(out, u.Counts().Journal)
	}
	return out
}
