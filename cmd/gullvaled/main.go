// Command gullvaled is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/process/configurer"
	"github.com/gullvale/gullvale/internal/process/logger"
	"github.com/gullvale/gullvale/internal/process/runner"
	"github.com/gullvale/gullvale/platform"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadInput = 2
)

func main() {
	code := exitDone
	c := command(&code)
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitBadInput
	}
	os.Exit(code)
}

func command(code *int) *cobra.Command {
	var file string
	var check bool
	c := &cobra.Command{
		Use:           "gullvaled --settings FILE.toml",
		Short:         "Steer callers to upstreams from this entry VM",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		Run: func(*cobra.Command, []string) {
			*code = run(file, check)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of this daemon (required)")
	c.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	_ = c.MarkFlagRequired("settings")
	_ = c.MarkFlagFilename("settings", "toml")
	c.AddCommand(platformCommand(code))
	return c
}

// platformCommand runs the daemon where the platform names its settings file.
func platformCommand(code *int) *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run on the users' platform, with the settings that it gives",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			*code = runPlatform()
		},
	}
}

func runPlatform() int {
	path := platform.SettingsPath()
	s, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if err := platform.Run(path, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitDone
}

func run(file string, check bool) int {
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
		log.WithError(err).Error("not started")
		return exitFailed
	}
	s := <-signals
	log.WithField("signal", s.String()).Info("stop asked for")
	d.Stop(context.Background())
	return exitDone
}
