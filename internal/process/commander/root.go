package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/process/logger"
	"github.com/gullvale/gullvale/internal/process/operator"
)

// Version is the version that `gullvale version` prints.
const Version = "0.1.0"

const (
	outputText = "text"
	outputJSON = "json"
)

// app holds the output settings that all commands share.
type app struct {
	output string
	out    io.Writer
}

// Run runs the command line and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	// Redirects the logger of go-zero, which would otherwise log failed calls to
	// standard output and corrupt the JSON there.
	logger.New(errs, logrus.ErrorLevel)
	a := &app{out: out}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err != nil {
		a.printError(errs, err)
	}
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	c := &cobra.Command{
		Use:   "gullvale",
		Short: "Steer traffic: settings, shifts, drains, status",
		Long: `Steer traffic: settings, shifts, drains, status.

Paths name a place and a service: / is everything, michigan a region,
michigan/a a failure domain, :keg-ledger a service, michigan:keg-ledger a
service in a region. A value set closer to a service overrides values set
further up; a drain applies from any level.

Exit codes: 0 done, 1 failed, 2 bad input or refused, 3 somebody else was
faster, 4 outcome unknown, 5 no daemon or no platform reached.

Addresses and token come from ` + defaultConfigFile + ` in the home directory
(Operators = ["ip:port"], Token = "..."), or from ` + EnvOperators + ` and ` + EnvToken + `.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != outputText && a.output != outputJSON {
				return commandError{ExitInput, fmt.Sprintf("--output: %q is neither text nor json", a.output)}
			}
			return nil
		},
	}
	c.PersistentFlags().StringVarP(&a.output, "output", "o", outputText, "text or json")
	c.AddCommand(a.settings(), a.drain(), a.undrain(), a.shift(), a.unshift(), a.status(), a.lookup(),
		a.quarantine(), a.blocks(), a.token(), a.explain(), a.routes(), a.organisations(), a.key(), a.demo(), a.version())
	return c
}

func (a *app) printError(errs io.Writer, err error) {
	if a.output == outputJSON {
		_ = json.NewEncoder(errs).Encode(struct {
			Error    string
			ExitCode int
		}{err.Error(), exitCode(err)})
		return
	}
	fmt.Fprintln(errs, err)
}

// withClient returns the run function of a command that calls a daemon.
func withClient(f func(ctx context.Context, cl *client, args []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		cl, err := newClient()
		if err != nil {
			return err
		}
		return f(c.Context(), cl, args)
	}
}

// show prints v as JSON, or calls text to print it as text.
func (a *app) show(v any, text func()) error {
	if a.output == outputJSON {
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	text()
	return nil
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.out, format, args...)
}

func (a *app) version() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.show(struct{ Version string }{Version}, func() { a.printf("gullvale %s\n", Version) })
		},
	}
}

// token returns the command that creates an operator's token and its line for the daemons'
// settings.
func (a *app) token() *cobra.Command {
	var role string
	c := &cobra.Command{
		Use:   "token WHO",
		Short: "Create a token for an operator, and the line for the daemons' settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			token := string(operator.NewChangeID() + operator.NewChangeID())
			line := fmt.Sprintf("%s = %q", args[0], role+" "+operator.HashToken(token))
			return a.show(struct{ Token, Line string }{token, line}, func() {
				a.printf("token for %s: %s\nunder [Tokens] of each daemon: %s\n", args[0], token, line)
			})
		},
	}
	c.Flags().StringVar(&role, "role", "steer", "view, steer or administer")
	return c
}

// blocks returns the command that stores tables of client blocks.
func (a *app) blocks() *cobra.Command {
	c := &cobra.Command{
		Use:   "blocks",
		Short: "Client blocks",
	}
	c.AddCommand(&cobra.Command{
		Use:   "load NAME FILE",
		Short: "Store a table of lines `BLOCK REGION/DOMAIN`; put it in force with `settings set / BlockTable=NAME`",
		Args:  cobra.ExactArgs(2),
		RunE: withClient(func(ctx context.Context, cl *client, args []string) error {
			text, err := os.ReadFile(args[1])
			if err != nil {
				return commandError{ExitInput, err.Error()}
			}
			var response operator.BlocksResponse
			if err := cl.postBlocks(ctx, args[0], text, &response); err != nil {
				return err
			}
			return a.show(response, func() { a.printf("stored %d blocks as %s\n", response.Blocks, response.Name) })
		}),
	})
	return c
}
