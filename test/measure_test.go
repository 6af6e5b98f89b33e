package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/resolver"
)

// The measurements here start real processes and take real time. They run only
// on request: go test -run xxx -bench . ./test/

const (
	ticksPerSecond = 100
	pageKB         = 4
)

// cpuTime returns the processor time that a process has used.
func (p *process) cpuTime() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentKB returns the resident memory of a process in KB.
func (p *process) residentKB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(b))[1])
	return float64(pages * pageKB)
}

// idleDuration is how long an idle fleet is watched.
const idleDuration = 15 * time.Second

func startFleet(b *testing.B, platform string, n int, regions ...string) []*daemon {
	b.Helper()
	if len(regions) == 0 {
		regions = []string{"erie", "michigan", "superior"}
	}
	var all []*daemon
	for i := range n {
		all = append(all, startDaemon(b, daemonOptions{
			name:     fmt.Sprintf("d-%d", i),
			region:   regions[i%len(regions)],
			domain:   []string{"a", "b"}[i/len(regions)%2],
			platform: platform,
		}))
	}
	return all
}

// fleetSettings has one upstream of keg-ledger in each failure domain.
func fleetSettings(b *testing.B, upstream func() string) string {
	b.Helper()
	text := ""
	for _, r := range []string{"erie", "michigan", "superior"} {
		for _, d := range []string{"a", "b"} {
			text += fmt.Sprintf("[Region.%s.Domain.%s.Service.keg-ledger]\nUpstreams = [%q]\n", r, d, upstream())
		}
	}
	return text
}

// BenchmarkIdle tells what a daemon spends on control while nothing happens.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			address := startPlatform(b)
			all := startFleet(b, address, n)
			upstream := startUpstream(b)
			ports := 0
			all[0].applySettings(n, fleetSettings(b, func() string {
				ports++
				if ports == 1 {
					return upstream
				}
				return fmt.Sprintf("127.0.0.1:%d", ports)
			}))
			for b.Loop() {
				reportIdle(b, all)
			}
		})
	}
}

// reportIdle watches a fleet and reports what one daemon spends, and what all
// together ask of the platform.
func reportIdle(b *testing.B, all []*daemon) {
	b.Helper()
	before := measureUsage(all)
	time.Sleep(idleDuration)
	after := measureUsage(all)
	n := float64(len(all))
	report := func(name string, x, y, by float64) {
		b.ReportMetric((y-x)/idleDuration.Seconds()/by, name)
	}
	report("link-B/s", before.link, after.link, n)
	report("wire-B/s", before.wire, after.wire, n)
	report("pings/s", before.pings, after.pings, n)
	var most float64
	for i := range all {
		most = max(most, after.links[i]-before.links[i])
	}
	b.ReportMetric(most/idleDuration.Seconds(), "most-link-B/s")
	report("platform-B/s", before.platform, after.platform, n)
	report("cpu-ms/s", before.cpu, after.cpu, n)
	// Asking for the status before cost one call of each daemon.
	report("calls/s", before.calls+n, after.calls, 1)
	report("writes/s", before.writes, after.writes, 1)
	b.ReportMetric(after.rss/n, "rss-KB")
}

// BenchmarkLead tells what a lead hears and says as its region grows: most-link-B/s
// is the lead's.
func BenchmarkLead(b *testing.B) {
	for _, n := range []int{10, 20, 40, 71} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := startFleet(b, startPlatform(b), n, "erie")
			all[0].applySettings(n, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
			for b.Loop() {
				reportIdle(b, all)
			}
		})
	}
}

// BenchmarkLoaded tells what control costs while requests pass: reports of loads,
// and the free slots that owners tell the daemons of their site.
func BenchmarkLoaded(b *testing.B) {
	for _, rate := range []float64{100, 300, 900} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			all := startFleet(b, startPlatform(b), 12)
			all[0].applySettings(12, fleetSettings(b, func() string { return startUpstream(b) }))
			x := startTraffic(b, rate, all...)
			x.waitProgress()
			for b.Loop() {
				handed := forwardedRequests(all)
				reportIdle(b, all)
				b.ReportMetric((forwardedRequests(all)-handed)/idleDuration.Seconds(), "handed/s")
			}
			x.cancel()
			x.done.Wait()
		})
	}
}

// BenchmarkReturn takes the platform away for longer than any lease, and tells what
// all daemons ask of it in each of the first seconds when it is back.
func BenchmarkReturn(b *testing.B) {
	for _, n := range []int{10, 20, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			address := startPlatform(b)
			all := startFleet(b, address, n)
			all[0].applySettings(n, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
			for b.Loop() {
				setFaults(b, address, platform.Faults{Down: true})
				time.Sleep(20 * time.Second)
				before := platformCalls(b, address)
				setFaults(b, address, platform.Faults{})
				var most uint64
				for range 5 {
					time.Sleep(time.Second)
					now := platformCalls(b, address)
					most = max(most, now-before)
					before = now
				}
				b.ReportMetric(float64(most), "most-calls/s")
			}
		})
	}
}

func platformCalls(b *testing.B, address string) uint64 {
	b.Helper()
	p, err := http.Get(address + "/Counts")
	if err != nil {
		b.Fatal(err)
	}
	defer p.Body.Close()
	var c platform.Counts
	if err := json.NewDecoder(p.Body).Decode(&c); err != nil {
		b.Fatal(err)
	}
	return c.Reads + c.Writes + c.Watches
}

// forwardedRequests counts the requests that daemons handed to others.
func forwardedRequests(all []*daemon) float64 {
	var n float64
	for _, d := range all {
		n += float64(d.status().Control.RequestsHanded)
	}
	return n
}

// BenchmarkRegions tells how the calls to the platform grow with regions.
func BenchmarkRegions(b *testing.B) {
	names := []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6"}
	for _, n := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := startFleet(b, startPlatform(b), 14, names[:n]...)
			all[0].applySettings(14, "Limit = \"80%\"\n")
			for b.Loop() {
				reportIdle(b, all)
			}
		})
	}
}

// spending is what all daemons spent; links holds the link bytes of each.
type resourceUsage struct {
	link, wire, pings, platform, calls, writes, cpu, rss float64

	links []float64
}

func measureUsage(all []*daemon) resourceUsage {
	var s resourceUsage
	for _, d := range all {
		var st operator.Status
		d.callOperator(http.MethodGet, operator.PathStatus, nil, &st)
		c := st.Control
		s.link += float64(c.LinkBytesIn + c.LinkBytesOut)
		s.links = append(s.links, float64(c.LinkBytesIn+c.LinkBytesOut))
		s.wire += float64(c.WireBytesIn + c.WireBytesOut)
		s.pings += float64(c.Pings)
		s.platform += float64(c.PlatformBytes)
		s.calls += float64(c.PlatformReads + c.PlatformWrites + c.PlatformWatches)
		s.writes += float64(c.PlatformWrites)
		s.cpu += float64(d.cpuTime().Milliseconds())
		s.rss += d.residentKB()
	}
	return s
}

// BenchmarkInForce makes changes and times each until all daemons run it.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			address := startPlatform(b)
			all := startFleet(b, address, n)
			all[0].applySettings(n, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
			const changes = 100
			for b.Loop() {
				var took []time.Duration
				for i := range changes {
					began := time.Now()
					var a operator.ChangeAnswer
					all[i%n].callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
						Edits: []resolver.Edit{{Path: "/", Key: resolver.KeySlots, Value: resolver.Value(fmt.Sprint(i%7 + 1))}},
					}, &a)
					for {
						var f operator.InForceAnswer
						all[i%n].callOperator(http.MethodGet, fmt.Sprintf("%s?Number=%d", operator.PathInForce, a.Number), nil, &f)
						if f.InForce == n {
							break
						}
						time.Sleep(2 * time.Millisecond)
					}
					took = append(took, time.Since(began))
				}
				reportQuantiles(b, "inforce", took)
			}
		})
	}
}

func reportQuantiles(b *testing.B, name string, took []time.Duration) {
	b.Helper()
	slices.Sort(took)
	at := func(q float64) float64 {
		return float64(took[min(int(q*float64(len(took))), len(took)-1)].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), name+"-p50-ms")
	b.ReportMetric(at(0.99), name+"-p99-ms")
	b.ReportMetric(at(1), name+"-max-ms")
}

// BenchmarkEntry compares requests through an entry with requests straight to
// the stand-in upstream, in the same run and alternating, and tells what an
// entry takes of a processor.
func BenchmarkEntry(b *testing.B) {
	address := startPlatform(b)
	upstream := startUpstream(b, "--service-millis", "0", "--slots", "1000")
	d := startDaemon(b, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 1000\n", upstream))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	get := func(to string, n int) time.Duration {
		q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/x?Token=t%d&Bytes=600", to, n), nil)
		if err != nil {
			b.Fatal(err)
		}
		q.Header.Set("Gullvale-Service", "keg-ledger")
		began := time.Now()
		p, err := client.Do(q)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, p.Body)
		p.Body.Close()
		return time.Since(began)
	}
	time.Sleep(5 * time.Second) // the ramp of the upstream
	b.Run("latency", func(b *testing.B) {
		var direct, entry []time.Duration
		for n := 0; b.Loop(); n++ {
			direct = append(direct, get(upstream, n))
			entry = append(entry, get(d.callers, n))
		}
		slices.Sort(direct)
		slices.Sort(entry)
		for _, q := range []float64{0.5, 0.99} {
			i := int(q * float64(len(direct)-1))
			b.ReportMetric(float64(entry[i])/float64(direct[i]), fmt.Sprintf("p%g-ratio", 100*q))
			b.ReportMetric(float64((entry[i] - direct[i]).Microseconds()), fmt.Sprintf("p%g-added-us", 100*q))
		}
	})
	b.Run("throughput", func(b *testing.B) {
		reportThroughput(b, d, func(n int) { get(d.callers, n) })
	})
	b.Run("lookups", func(b *testing.B) {
		reportThroughput(b, d, func(int) {
			p, err := client.Get("http://" + d.callers + "/Lookup?Service=keg-ledger&Block=10.1.2.3")
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, p.Body)
			p.Body.Close()
		})
	})
}

// reportThroughput has many callers at once and tells what a daemon takes of a
// processor.
func reportThroughput(b *testing.B, d *daemon, ask func(n int)) {
	b.Helper()
	const workers = 32
	cpu, began := d.cpuTime(), time.Now()
	var done sync.WaitGroup
	for w := range workers {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := range b.N/workers + 1 {
				ask(w*1000000 + n)
			}
		}()
	}
	done.Wait()
	total := float64(workers * (b.N/workers + 1))
	b.ReportMetric(total/(d.cpuTime()-cpu).Seconds(), "per-core-s")
	b.ReportMetric(total/time.Since(began).Seconds(), "per-s")
}

// BenchmarkMemory tells what a connection without a request and one with a
// request under way cost an entry.
func BenchmarkMemory(b *testing.B) {
	const count = 1000
	address := startPlatform(b)
	upstream := startUpstream(b, "--service-millis", "0", "--slots", "2000", "--pace", "100")
	d := startDaemon(b, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 2000\n", upstream))
	time.Sleep(5 * time.Second)
	for b.Loop() {
		empty := d.residentKB()
		var idle []net.Conn
		for range count {
			c, err := net.Dial("tcp", d.callers)
			if err != nil {
				b.Fatal(err)
			}
			idle = append(idle, c)
		}
		time.Sleep(time.Second)
		b.ReportMetric((d.residentKB()-empty)/count, "idle-KB")
		empty = d.residentKB()
		ctx, cancel := context.WithCancel(context.Background())
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}}
		var bodies []io.Closer
		for n := range count {
			q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/x?Token=t%d&Bytes=100000", d.callers, n), nil)
			if err != nil {
				b.Fatal(err)
			}
			q.Header.Set("Gullvale-Service", "keg-ledger")
			p, err := client.Do(q)
			if err != nil {
				b.Fatal(err)
			}
			bodies = append(bodies, p.Body)
		}
		b.ReportMetric((d.residentKB()-empty)/count, "active-KB")
		cancel()
		for _, x := range bodies {
			x.Close()
		}
		for _, c := range idle {
			c.Close()
		}
	}
}

// BenchmarkStart times a daemon from its start to its first answer.
func BenchmarkStart(b *testing.B) {
	address := startPlatform(b)
	upstream := startUpstream(b)
	first := startDaemon(b, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	first.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream))
	var took []time.Duration
	for n := 0; b.Loop(); n++ {
		began := time.Now()
		d := startDaemon(b, daemonOptions{name: fmt.Sprintf("erie-x%d", n), region: "erie", domain: "a", platform: address, seeds: []string{first.links}})
		for {
			p, err := d.send(context.Background(), http.MethodGet, "keg-ledger", "/x?Token=t", nil)
			if err == nil {
				p.Body.Close()
				if p.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(time.Millisecond)
		}
		took = append(took, time.Since(began))
		d.kill()
	}
	reportQuantiles(b, "first-answer", took)
}
