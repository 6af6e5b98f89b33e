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

// The benchmarks in this file start real processes and run in real time:
// go test -run xxx -bench . ./test/

// Units of the values in /proc.
const (
	ticksPerSecond = 100
	pageKB         = 4
)

// cpuTime returns the CPU time that the process has used.
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

// residentKB returns the resident set size of the process in KB.
func (p *process) residentKB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(b))[1])
	return float64(pages * pageKB)
}

// usageDuration is how long the resource usage of a fleet is measured.
const usageDuration = 15 * time.Second

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

// fleetSettings returns settings with one keg-ledger upstream in each failure domain.
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

// BenchmarkIdle reports the cost of the control plane per daemon of an idle fleet.
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
				reportUsage(b, all)
			}
		})
	}
}

// reportUsage reports the resource usage per daemon over usageDuration, and the calls and writes
// of all daemons to the platform.
func reportUsage(b *testing.B, all []*daemon) {
	b.Helper()
	before := measureUsage(all)
	time.Sleep(usageDuration)
	after := measureUsage(all)
	n := float64(len(all))
	report := func(name string, from, to, divisor float64) {
		b.ReportMetric((to-from)/usageDuration.Seconds()/divisor, name)
	}
	report("link-B/s", before.link, after.link, n)
	report("wire-B/s", before.wire, after.wire, n)
	report("pings/s", before.pings, after.pings, n)
	var busiest float64
	for i := range all {
		busiest = max(busiest, after.links[i]-before.links[i])
	}
	b.ReportMetric(busiest/usageDuration.Seconds(), "most-link-B/s")
	report("platform-B/s", before.platform, after.platform, n)
	report("cpu-ms/s", before.cpuTime, after.cpuTime, n)
	// The first measureUsage made each daemon call the platform once.
	report("calls/s", before.calls+n, after.calls, 1)
	report("writes/s", before.writes, after.writes, 1)
	b.ReportMetric(after.residentKB/n, "rss-KB")
}

// BenchmarkLeaderTraffic reports the link traffic of the leader, as most-link-B/s, for regions of
// different sizes.
func BenchmarkLeaderTraffic(b *testing.B) {
	for _, n := range []int{10, 20, 40, 71} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := startFleet(b, startPlatform(b), n, "erie")
			all[0].applySettings(n, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
			for b.Loop() {
				reportUsage(b, all)
			}
		})
	}
}

// BenchmarkControlPlaneUnderLoad reports the cost of the control plane while requests are served:
// load reports, and the free slots that owners announce to the daemons of their site.
func BenchmarkControlPlaneUnderLoad(b *testing.B) {
	for _, rate := range []float64{100, 300, 900} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			all := startFleet(b, startPlatform(b), 12)
			all[0].applySettings(12, fleetSettings(b, func() string { return startUpstream(b) }))
			load := startTraffic(b, rate, all...)
			load.waitProgress()
			for b.Loop() {
				forwarded := forwardedRequests(all)
				reportUsage(b, all)
				b.ReportMetric((forwardedRequests(all)-forwarded)/usageDuration.Seconds(), "handed/s")
			}
			load.cancel()
			load.done.Wait()
		})
	}
}

// BenchmarkPlatformRecovery takes the platform down for longer than any lease and reports the
// highest number of calls per second in the first 5 s after it is back.
func BenchmarkPlatformRecovery(b *testing.B) {
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
				var peak uint64
				for range 5 {
					time.Sleep(time.Second)
					now := platformCalls(b, address)
					peak = max(peak, now-before)
					before = now
				}
				b.ReportMetric(float64(peak), "most-calls/s")
			}
		})
	}
}

func platformCalls(b *testing.B, address string) uint64 {
	b.Helper()
	resp, err := http.Get(address + "/Counts")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var c platform.Counts
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		b.Fatal(err)
	}
	return c.Reads + c.Writes + c.Watches
}

// forwardedRequests returns how many requests the daemons forwarded to other daemons.
func forwardedRequests(all []*daemon) float64 {
	var n float64
	for _, d := range all {
		n += float64(d.status().Control.RequestsHanded)
	}
	return n
}

// BenchmarkRegions reports how the calls to the platform grow with the number of regions.
func BenchmarkRegions(b *testing.B) {
	names := []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6"}
	for _, n := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := startFleet(b, startPlatform(b), 14, names[:n]...)
			all[0].applySettings(14, "Limit = \"80%\"\n")
			for b.Loop() {
				reportUsage(b, all)
			}
		})
	}
}

// resourceUsage is the total usage of all daemons; links holds the link bytes of each.
type resourceUsage struct {
	link, wire, pings, platform, calls, writes, cpuTime, residentKB float64

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
		s.cpuTime += float64(d.cpuTime().Milliseconds())
		s.residentKB += d.residentKB()
	}
	return s
}

// BenchmarkChangeInForce reports the time from a change of settings until it is in force on all
// daemons.
func BenchmarkChangeInForce(b *testing.B) {
	for _, n := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			address := startPlatform(b)
			all := startFleet(b, address, n)
			all[0].applySettings(n, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
			const changes = 100
			for b.Loop() {
				var durations []time.Duration
				for i := range changes {
					began := time.Now()
					var accepted operator.ChangeResponse
					all[i%n].callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
						Edits: []resolver.Edit{{Path: "/", Key: resolver.KeySlots, Value: resolver.Value(fmt.Sprint(i%7 + 1))}},
					}, &accepted)
					for {
						var status operator.InForceResponse
						all[i%n].callOperator(http.MethodGet, fmt.Sprintf("%s?Number=%d", operator.PathInForce, accepted.Number), nil, &status)
						if status.InForce == n {
							break
						}
						time.Sleep(2 * time.Millisecond)
					}
					durations = append(durations, time.Since(began))
				}
				reportQuantiles(b, "inforce", durations)
			}
		})
	}
}

func reportQuantiles(b *testing.B, name string, durations []time.Duration) {
	b.Helper()
	slices.Sort(durations)
	at := func(q float64) float64 {
		return float64(durations[min(int(q*float64(len(durations))), len(durations)-1)].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), name+"-p50-ms")
	b.ReportMetric(at(0.99), name+"-p99-ms")
	b.ReportMetric(at(1), name+"-max-ms")
}

// BenchmarkEntry compares requests through an entry with direct requests to the stand-in upstream,
// alternating in the same run, and reports the requests per second and per core.
func BenchmarkEntry(b *testing.B) {
	address := startPlatform(b)
	upstream := startUpstream(b, "--service-millis", "0", "--slots", "1000")
	d := startDaemon(b, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 1000\n", upstream))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	get := func(to string, n int) time.Duration {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/x?Token=t%d&Bytes=600", to, n), nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Gullvale-Service", "keg-ledger")
		began := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return time.Since(began)
	}
	time.Sleep(5 * time.Second) // warm-up of the upstream
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
			resp, err := client.Get("http://" + d.callers + "/Lookup?Service=keg-ledger&Block=10.1.2.3")
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		})
	})
}

// reportThroughput sends requests from 32 workers and reports the rate, per second and per core.
func reportThroughput(b *testing.B, d *daemon, sendRequest func(n int)) {
	b.Helper()
	const workers = 32
	cpuTime, began := d.cpuTime(), time.Now()
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range b.N/workers + 1 {
				sendRequest(w*1000000 + n)
			}
		}()
	}
	wg.Wait()
	total := float64(workers * (b.N/workers + 1))
	b.ReportMetric(total/(d.cpuTime()-cpuTime).Seconds(), "per-core-s")
	b.ReportMetric(total/time.Since(began).Seconds(), "per-s")
}

// BenchmarkMemory reports the memory of an entry per idle connection and per request in flight.
func BenchmarkMemory(b *testing.B) {
	const count = 1000
	address := startPlatform(b)
	upstream := startUpstream(b, "--service-millis", "0", "--slots", "2000", "--pace", "100")
	d := startDaemon(b, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 2000\n", upstream))
	time.Sleep(5 * time.Second)
	for b.Loop() {
		baseline := d.residentKB()
		var idle []net.Conn
		for range count {
			c, err := net.Dial("tcp", d.callers)
			if err != nil {
				b.Fatal(err)
			}
			idle = append(idle, c)
		}
		time.Sleep(time.Second)
		b.ReportMetric((d.residentKB()-baseline)/count, "idle-KB")
		baseline = d.residentKB()
		ctx, cancel := context.WithCancel(context.Background())
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}}
		var bodies []io.Closer
		for n := range count {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/x?Token=t%d&Bytes=100000", d.callers, n), nil)
			if err != nil {
				b.Fatal(err)
			}
			req.Header.Set("Gullvale-Service", "keg-ledger")
			resp, err := client.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			bodies = append(bodies, resp.Body)
		}
		b.ReportMetric((d.residentKB()-baseline)/count, "active-KB")
		cancel()
		for _, body := range bodies {
			body.Close()
		}
		for _, c := range idle {
			c.Close()
		}
	}
}

// BenchmarkStart reports the time from the start of a daemon to its first successful response.
func BenchmarkStart(b *testing.B) {
	address := startPlatform(b)
	upstream := startUpstream(b)
	first := startDaemon(b, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	first.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream))
	var durations []time.Duration
	for n := 0; b.Loop(); n++ {
		began := time.Now()
		d := startDaemon(b, daemonOptions{name: fmt.Sprintf("erie-x%d", n), region: "erie", domain: "a", platform: address, seeds: []string{first.links}})
		for {
			resp, err := d.send(context.Background(), http.MethodGet, "keg-ledger", "/x?Token=t", nil)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(time.Millisecond)
		}
		durations = append(durations, time.Since(began))
		d.kill()
	}
	reportQuantiles(b, "first-answer", durations)
}
