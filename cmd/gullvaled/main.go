// Command gullvaled is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/process/configurer"
	"github.com/gullvale/gullvale/internal/process/follower"
	"github.com/gullvale/gullvale/internal/process/logger"
	"github.com/gullvale/gullvale/internal/process/runner"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/platform"
)

// defaultStop is the time from SIGTERM to the exit of an entry: longer than most
// requests, and shorter than supervisors wait before they kill a process.
const defaultStop = 6 * timekeeper.Second

// withoutUsage is the usage text of the flag that disables mechanisms.
const withoutUsage = "mechanisms to switch off, for experiments, with commas between them"

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadInput = 2
)

func main() {
	code := exitDone
	c := rootCommand(&code)
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitBadInput
	}
	os.Exit(code)
}

func rootCommand(code *int) *cobra.Command {
	var file string
	var check bool
	c := &cobra.Command{
		Use:           "gullvaled --settings FILE.toml",
		Short:         "Route requests from callers to upstreams on this entry VM",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		Run: func(*cobra.Command, []string) {
			*code = runDaemon(file, check)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of this daemon (required)")
	c.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	_ = c.MarkFlagRequired("settings")
	_ = c.MarkFlagFilename("settings", "toml")
	c.AddCommand(platformCommand(code), entryCommand(code))
	return c
}

// entryCommand returns the command that runs an entry with routes and upstreams from a
// file.
func entryCommand(code *int) *cobra.Command {
	o := follower.Options{StopTimeout: defaultStop}
	var check bool
	c := &cobra.Command{
		Use:   "entry --table FILE.toml",
		Short: "Serve routes from a table in a file, without other daemons",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			*code = runEntry(o, check)
		},
	}
	f := c.Flags()
	f.StringVar(&o.File, "table", "", "routes, services, upstreams and evacuations (required)")
	f.StringVar(&o.Name, "name", "entry", "name of this entry")
	f.StringVar((*string)(&o.Site), "site", "here/here", "region/domain of this entry")
	f.StringVar(&o.Callers, "callers", "127.0.0.1:7100", "address for callers")
	f.StringVar(&o.Checks, "checks", "", "address that serves /ready, none if empty")
	f.StringVar(&o.Metrics, "metrics", "", "address that serves /metrics, none if empty")
	f.Var(&o.Without, "without", withoutUsage)
	f.Int64Var((*int64)(&o.StopTimeout), "stop-millis", int64(defaultStop), "time from SIGTERM to exit, in milliseconds")
	f.BoolVar(&check, "check", false, "check the table and exit")
	_ = c.MarkFlagRequired("table")
	_ = c.MarkFlagFilename("table", "toml")
	return c
}

func runEntry(o follower.Options, check bool) int {
	o.Log = logger.New(os.Stdout, logrus.InfoLevel)
	f, problems := follower.New(o)
	if len(problems) > 0 {
		fmt.Fprintln(os.Stderr, problems.Error())
		return exitBadInput
	}
	if check {
		fmt.Printf("%s: ok\n", o.File)
		return exitDone
	}
	if err := f.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitDone
}

// platformCommand returns the command that runs the daemon with the settings file given
// by the platform.
func platformCommand(code *int) *cobra.Command {
	var without switcher.Set
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run on the users' platform, with the settings file that it provides",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			*code = runPlatform(without)
		},
	}
	c.Flags().Var(&without, "without", withoutUsage)
	return c
}

// runPlatform runs the daemon with the given mechanisms and those named in the settings
// disabled.
func runPlatform(without switcher.Set) int {
	path := platform.SettingsPath()
	s, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	s.Without |= without
	if err := platform.Run(path, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitDone
}

func runDaemon(file string, check bool) int {
	config, problems := configurer.ReadFile(file)
	if len(problems) > 0 {
		fmt.Fprintln(os.Stderr, problems.Error())
		return exitBadInput
	}
	if check {
		fmt.Printf("%s: ok\n", file)
		return exitDone
	}
	log := logger.New(os.Stderr, config.LogLevel)
	d, err := runner.New(runner.Options{Config: config, Log: log})
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		return exitFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Start(); err != nil {
		log.WithError(err).Error("cannot start")
		return exitFailed
	}
	s := <-signals
	log.WithField("signal", s.String()).Info("stop requested")
	d.Stop(context.Background())
	return exitDone
}
