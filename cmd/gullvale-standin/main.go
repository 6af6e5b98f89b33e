// Command gullvale-standin runs stand-ins for the systems around gullvale: the
// platform's object API, upstreams, and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/standin/server"
	"github.com/gullvale/gullvale/pkg/finder"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	exitBadInput = 2
	stopTimeout  = 5 * time.Second
)

// listenInfo is the JSON line with the address on which a stand-in listens.
type listenInfo struct {
	Address string
}

func main() {
	root := &cobra.Command{
		Use:          "gullvale-standin",
		Short:        "Stand-ins for the platform, upstreams and callers",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), upstreamCommand(), callersCommand())
	if err := root.Execute(); err != nil {
		os.Exit(exitBadInput)
	}
}

func platformCommand() *cobra.Command {
	var listen string
	s := &platform.Server{}
	c := &cobra.Command{
		Use:   "platform",
		Short: "Serve the object API; PUT /Faults injects faults, GET /Counts returns call counts",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve(listen, &http.Server{Handler: s})
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&s.Token, "token", "", "token required from callers")
	return c
}

func upstreamCommand() *cobra.Command {
	var listen string
	var connMillis, probeMillis, lagMillis int64
	s := &server.Server{}
	c := &cobra.Command{
		Use:   "upstream",
		Short: "Serve short responses or long exports; GET /Journal lists the requests run, POST /Drain drains",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s.ConnMillis = timekeeper.Millis(connMillis)
			s.ProbeMillis = timekeeper.Millis(probeMillis)
			s.LagMillis = timekeeper.Millis(lagMillis)
			return serve(listen, s.HTTP())
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.IntVar(&s.Slots, "slots", 6, "requests served concurrently; further ones are shed")
	f.Float64Var(&s.ServiceMillis, "service-millis", 20, "mean time to serve a request, in milliseconds")
	f.Int64Var(&s.Bytes, "bytes", 512, "default response length in bytes")
	f.Int64Var(&s.Pace, "pace", 0, "response rate in bytes per second; 0 means no limit")
	f.Int64Var(&connMillis, "conn-millis", 1, "cost of a new connection in milliseconds")
	f.Int64Var(&probeMillis, "probe-millis", 6, "cost of a probe in milliseconds")
	f.Int64Var(&s.ColdRequests, "cold-requests", 0, "number of initial requests that take twice as long")
	f.Int64Var(&lagMillis, "lag-millis", 0, "age of the load that /load reports, in milliseconds")
	f.Uint64Var(&s.Seed, "seed", 1, "random seed of the service times")
	return c
}

func callersCommand() *cobra.Command {
	var seeds []string
	var duration time.Duration
	s := caller.Stream{Class: "short"}
	c := &cobra.Command{
		Use:   "callers",
		Short: "Send requests at random times, check every response, and print statistics",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runCallers(s, seeds, duration)
		},
	}
	f := c.Flags()
	f.StringSliceVar(&seeds, "seeds", nil, "callers' listener addresses of some daemons (required)")
	f.StringVar(&s.Service, "service", "", "service to request (required)")
	f.Float64Var(&s.Rate, "rate", 10, "requests per second")
	f.Float64Var(&s.PostFraction, "post", 0.3, "fraction of requests that must not run twice")
	f.Int64Var(&s.Bytes, "bytes", 512, "response length in bytes")
	f.StringSliceVar(&s.Blocks, "blocks", []string{""}, "client blocks to send from; empty means the caller's own address")
	f.DurationVar(&duration, "for", 10*time.Second, "how long to keep starting requests")
	f.Uint64Var(&s.Seed, "seed", uint64(time.Now().UnixNano()), "random seed of times and tokens")
	_ = c.MarkFlagRequired("seeds")
	_ = c.MarkFlagRequired("service")
	return c
}

func runCallers(s caller.Stream, seeds []string, duration time.Duration) error {
	f := &finder.Finder{Seeds: seeds, HTTP: caller.NewClient(nil)}
	s.Finder = func(string) *finder.Finder { return f }
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var l caller.Load
	l.Run(ctx, s)
	l.Wait()
	for _, a := range l.Accounts() {
		fmt.Printf("%s: %d requests, %d answered, %d not run, %d unknown, %d cut, %d wrong; p50 %.1f ms, p99 %.1f ms\n",
			a.Class, a.Requests, a.Answered, a.NotRun, a.Unknown, a.Cut, a.Wrong,
			float64(a.Latency.ValueAtQuantile(50))/1000, float64(a.Latency.ValueAtQuantile(99))/1000)
		for r, n := range a.Reasons {
			fmt.Printf("  %d × %s\n", n, strings.TrimSpace(r))
		}
	}
	return nil
}

// serve prints the listening address and serves until SIGTERM or SIGINT, then shuts down
// gracefully for at most stopTimeout.
func serve(listen string, s *http.Server) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(listenInfo{Address: l.Addr().String()}); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return s.Shutdown(shutdownCtx)
}
