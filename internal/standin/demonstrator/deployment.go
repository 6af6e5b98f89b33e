package demonstrator

import (
	"fmt"
	"time"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Names of the two built-in deployments.
const (
	ShapeKegloop = "kegloop"
	ShapeAthath  = "athath"
)

const (
	blocksPerSite = 60
	clientDelay   = 3 * time.Millisecond
	regionDelay   = 35 * time.Millisecond
)

type (
	// deployment describes the sites, services and link delays of a deployment.
	deployment struct {
		name string
		// daemons is the number of daemons at each site.
		daemons []siteDaemons
		// domainDelay is the one-way delay between failure domains of a region.
		domainDelay time.Duration
		services    []serviceSpec
		// The regions of the shift, and the failure domain to drain.
		shiftFrom   string
		shiftTo     string
		drainDomain resolver.Path
	}

	// siteDaemons is the number of daemons at a site.
	siteDaemons struct {
		site  registrar.Site
		count int
	}

	// serviceSpec describes a service and its upstreams. Slots is the number of slots of each
	// upstream; the other fields are as in server.Server.
	serviceSpec struct {
		name          resolver.ServiceName
		class         resolver.Class
		servers       int
		slots         int
		serviceMillis float64
		bytes         int64
		pace          int64
		postFraction  float64
		connMillis    timekeeper.Millis
		probeMillis   timekeeper.Millis
	}
)

func deploymentByName(name string) (deployment, error) {
	switch name {
	case ShapeKegloop:
		return kegloop(), nil
	case ShapeAthath:
		return athath(), nil
	}
	return deployment{}, fmt.Errorf("--shape: %q is neither %s nor %s", name, ShapeKegloop, ShapeAthath)
}

func kegloop() deployment {
	return deployment{
		name: ShapeKegloop,
		daemons: []siteDaemons{
			{"erie/a", 2}, {"erie/b", 2},
			{"michigan/a", 2}, {"michigan/b", 2},
			{"superior/a", 1}, {"superior/b", 1},
		},
		domainDelay: 1500 * time.Microsecond,
		services: []serviceSpec{
			{
				name: "keg-ledger", class: resolver.ClassShort, servers: 24, slots: 6,
				serviceMillis: 50, bytes: 600, postFraction: 0.3, connMillis: 1, probeMillis: 6,
			},
			{
				name: "manifest-depot", class: resolver.ClassExport, servers: 12, slots: 3,
				serviceMillis: 50, bytes: 400 << 10, pace: 800 << 10, connMillis: 1, probeMillis: 6,
			},
		},
		shiftFrom:   "erie",
		shiftTo:     "michigan",
		drainDomain: resolver.Path{Region: "michigan", Domain: "b"},
	}
}

func athath() deployment {
	return deployment{
		name: ShapeAthath,
		daemons: []siteDaemons{
			{"muscat/a", 2}, {"muscat/b", 2},
			{"sohar/a", 2}, {"sohar/b", 2},
			{"salalah/a", 1}, {"salalah/b", 1},
		},
		domainDelay: 500 * time.Microsecond,
		services: []serviceSpec{
			{
				name: "shopdesk", class: resolver.ClassShort, servers: 32, slots: 3,
				serviceMillis: 50, bytes: 600, postFraction: 0.3, connMillis: 1,
			},
			{
				name: "catalogue", class: resolver.ClassExport, servers: 12, slots: 3,
				serviceMillis: 50, bytes: 400 << 10, pace: 800 << 10, connMillis: 1,
			},
		},
		shiftFrom:   "muscat",
		shiftTo:     "sohar",
		drainDomain: resolver.Path{Region: "sohar", Domain: "b"},
	}
}

// slotMillis returns the mean time that a request holds a slot, in milliseconds.
func (s serviceSpec) slotMillis() float64 {
	if s.pace == 0 {
		return s.serviceMillis
	}
	return s.serviceMillis + 1000*float64(s.bytes)/float64(s.pace)
}

// requestRate returns the requests per second that use the given fraction of all slots.
func (s serviceSpec) requestRate(load float64) float64 {
	return load * float64(s.servers*s.slots) / s.slotMillis() * 1000
}

// delay returns the one-way delay between two sites.
func (d deployment) delay(a, b registrar.Site) time.Duration {
	switch {
	case a == b:
		return 0
	case a.Region() == b.Region():
		return d.domainDelay
	}
	return regionDelay
}

// clientDelayTo returns the one-way delay between the callers of a region and a site.
func (d deployment) clientDelayTo(region string, site registrar.Site) time.Duration {
	if site.Region() == region {
		return clientDelay
	}
	return clientDelay + regionDelay
}

func (d deployment) sites() []registrar.Site {
	var out []registrar.Site
	for _, group := range d.daemons {
		out = append(out, group.site)
	}
	return out
}

// clientBlocks returns the client blocks of the n-th site.
func clientBlocks(n int) []string {
	var out []string
	for i := range blocksPerSite {
		out = append(out, fmt.Sprintf("10.%d.%d.0", n+1, i))
	}
	return out
}
