package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/version/applier"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
)

const (
	// inForceTimeout is how long a command waits for its change to be in force on all
	// daemons.
	inForceTimeout  = 10 * time.Second
	inForceInterval = 100 * time.Millisecond
)

// changeFlags are the flags of all commands that change settings.
type changeFlags struct {
	why    string
	dryRun bool
	force  bool
	noWait bool
}

func (f *changeFlags) add(c *cobra.Command) {
	c.Flags().StringVarP(&f.why, "why", "m", "", "reason, kept in the log")
	c.Flags().BoolVarP(&f.dryRun, "dry-run", "n", false, "show the effect without changing anything")
	c.Flags().BoolVar(&f.force, "force", false, "make the change even if it would overload a site")
	c.Flags().BoolVar(&f.noWait, "no-wait", false, "do not wait until the change is in force everywhere")
}

func (a *app) settings() *cobra.Command {
	c := &cobra.Command{
		Use:     "settings",
		Aliases: []string{"s"},
		Short:   "Show and change the tree of settings",
	}
	c.AddCommand(a.settingsShow(), a.settingsSet(), a.settingsUnset(), a.settingsApply(), a.settingsLog(),
		a.settingsUndo(), a.settingsCheck(), a.settingsKeys())
	return c
}

func (a *app) settingsShow() *cobra.Command {
	var asTOML bool
	c := &cobra.Command{
		Use:   "show [PATH]",
		Short: "Show the values in force at a path and the level each comes from",
		Args:  cobra.MaximumNArgs(1),
		RunE: withClient(func(ctx context.Context, cl *client, args []string) error {
			if asTOML {
				return a.showTOML(ctx, cl)
			}
			return a.showPath(ctx, cl, strings.Join(args, ""))
		}),
	}
	c.Flags().BoolVar(&asTOML, "toml", false, "print the whole tree as TOML, for `settings apply`")
	return c
}

func (a *app) showTOML(ctx context.Context, cl *client) error {
	var t operator.TOMLResponse
	if err := cl.get(ctx, operator.PathTOML, &t); err != nil {
		return err
	}
	return a.show(t, func() { a.printf("%s", t.Text) })
}

func (a *app) showPath(ctx context.Context, cl *client, path string) error {
	var s operator.SettingsResponse
	if err := cl.get(ctx, operator.PathSettings+"?Path="+url.QueryEscape(path), &s); err != nil {
		return err
	}
	return a.show(s, func() {
		a.printf("%s at change %d\n", s.Path, s.Number)
		for _, v := range s.Values {
			mark := " "
			if v.Own {
				mark = "*"
			}
			a.printf("%s %-20s %-24s %s\n", mark, v.Key, abbreviate(string(v.Value)), v.From)
		}
		if len(s.Beneath) > 0 {
			a.printf("set below:\n")
		}
		for _, e := range s.Beneath {
			a.printf("  %s %s = %s\n", e.Path, e.Key, abbreviate(string(e.Value)))
		}
	})
}

// abbreviate shortens long values, such as lists of upstreams, for narrow screens.
func abbreviate(s string) string {
	const maxLength = 40
	if len(s) <= maxLength {
		return s
	}
	return fmt.Sprintf("%s… (%d in all)", s[:maxLength-12], strings.Count(s, ",")+1)
}

func (a *app) settingsSet() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:     "set PATH KEY=VALUE...",
		Short:   "Set values at a path",
		Example: "  gullvale settings set michigan Limit=80%\n  gullvale s set michigan/a:keg-ledger Slots=4 -m 'slow disks'",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var edits []resolver.Edit
			for _, kv := range args[1:] {
				k, v, ok := strings.Cut(kv, "=")
				if !ok {
					return commandError{ExitInput, fmt.Sprintf("%q is not KEY=VALUE", kv)}
				}
				edits = append(edits, resolver.Edit{Path: args[0], Key: resolver.Key(k), Value: resolver.Value(v)})
			}
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	f.add(c)
	return c
}

func (a *app) settingsUnset() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "unset PATH KEY...",
		Short: "Remove values, so that those from further up apply",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: unsetEdits(args[0], args[1:]...)})
		},
	}
	f.add(c)
	return c
}

func unsetEdits(path string, keys ...string) []resolver.Edit {
	var edits []resolver.Edit
	for _, k := range keys {
		edits = append(edits, resolver.Edit{Path: path, Key: resolver.Key(k), Unset: true})
	}
	return edits
}

func (a *app) settingsApply() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the tree of settings with that of a TOML file",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, problems := checkFile(args[0])
			if len(problems) > 0 {
				return commandError{ExitInput, problems.Error()}
			}
			return a.change(c.Context(), f, operator.ChangeRequest{TOML: text, File: args[0]})
		},
	}
	f.add(c)
	return c
}

func (a *app) settingsCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a TOML file of the tree without contacting a daemon",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, problems := checkFile(args[0]); len(problems) > 0 {
				return commandError{ExitInput, problems.Error()}
			}
			return a.show(struct{ File, Result string }{args[0], "ok"}, func() { a.printf("%s: ok\n", args[0]) })
		},
	}
}

func checkFile(name string) (string, parser.Problems) {
	data, err := os.ReadFile(name)
	if err != nil {
		return "", parser.Problems{{Text: err.Error()}}
	}
	edits, problems := resolver.ReadTOML(name, data)
	_, more := resolver.Tree{}.Apply(edits)
	return string(data), append(problems, more...)
}

func (a *app) settingsKeys() *cobra.Command {
	return &cobra.Command{
		Use:   "keys",
		Short: "List every setting with its default",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			all := resolver.Definitions()
			return a.show(all, func() {
				for _, d := range all {
					a.printf("%-20s %-16s %s\n", d.Key, d.Default, d.Help)
				}
			})
		},
	}
}

func (a *app) settingsLog() *cobra.Command {
	var last int
	c := &cobra.Command{
		Use:   "log",
		Short: "Show the last changes: number, who, when, what, why",
		Args:  cobra.NoArgs,
		RunE: withClient(func(ctx context.Context, cl *client, _ []string) error {
			var now operator.SettingsResponse
			if err := cl.get(ctx, operator.PathSettings, &now); err != nil {
				return err
			}
			after := uint64(0)
			if n := uint64(now.Number); n > uint64(last) {
				after = n - uint64(last)
			}
			var l operator.LogResponse
			if err := cl.get(ctx, operator.PathLog+"?After="+strconv.FormatUint(after, 10), &l); err != nil {
				return err
			}
			return a.show(l, func() { a.printLog(l.Changes) })
		}),
	}
	c.Flags().IntVarP(&last, "last", "l", 20, "how many changes")
	return c
}

func (a *app) printLog(changes []recorder.Change) {
	for _, x := range changes {
		a.printf("%d  %s  %s  %s", x.Number, x.AtMillis.Time().Local().Format("01-02 15:04:05"), x.Who, x.ID)
		if x.Undoes > 0 {
			a.printf("  undoes %d", x.Undoes)
		}
		if x.Why != "" {
			a.printf("  %q", x.Why)
		}
		a.printf("\n")
		for _, line := range formatChange(x.Body) {
			a.printf("    %s\n", line)
		}
	}
}

// formatChange returns the edits in the body of a change, one line per setting, or nil if
// the body cannot be decoded.
func formatChange(body json.RawMessage) []string {
	var c applier.Content
	if err := json.Unmarshal(body, &c); err != nil {
		return nil
	}
	return formatEdits(c.Edits)
}

func formatEdits(edits []resolver.Edit) []string {
	var out []string
	for _, e := range edits {
		if e.Unset {
			out = append(out, fmt.Sprintf("%s %s unset", e.Path, e.Key))
			continue
		}
		out = append(out, fmt.Sprintf("%s %s = %s", e.Path, e.Key, abbreviate(string(e.Value))))
	}
	return out
}

func (a *app) settingsUndo() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "undo NUMBER",
		Short: "Undo a change",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || n == 0 {
				return commandError{ExitInput, fmt.Sprintf("%q is not a change number", args[0])}
			}
			return a.change(c.Context(), f, operator.ChangeRequest{Undo: recorder.Number(n)})
		},
	}
	f.add(c)
	return c
}

// change makes a change, waits until it is in force on all daemons and prints the result.
func (a *app) change(ctx context.Context, f changeFlags, q operator.ChangeRequest) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	q.Why = f.why
	q.DryRun = f.dryRun
	q.Force = f.force
	began := time.Now()
	response, err := cl.change(ctx, q)
	if err != nil {
		return err
	}
	result := changeResult{ChangeResponse: response}
	if !response.DryRun && !f.noWait {
		result.InForce, result.Members = cl.awaitInForce(ctx, response.Number)
		result.AfterMillis = time.Since(began).Milliseconds()
	}
	return a.show(result, func() { a.printChange(result) })
}

// changeResult is the JSON output of commands that change settings.
type changeResult struct {
	operator.ChangeResponse
	InForce     int
	Members     int
	AfterMillis int64
}

func (a *app) printChange(r changeResult) {
	for _, line := range formatEdits(r.Edits) {
		a.printf("  %s\n", line)
	}
	for _, w := range r.Warnings {
		a.printf("warning: %s\n", w.Error())
	}
	if r.DryRun {
		for _, u := range r.Predicted {
			a.printf("  %-28s %6.1f of %.1f slots\n", resolver.PathOf(u.Site, u.Service), u.Slots, u.Limit)
		}
		a.printf("dry run: nothing changed\n")
		return
	}
	a.printf("change %d accepted", r.Number)
	if r.Members > 0 {
		a.printf(", in force on %d of %d after %.1f s", r.InForce, r.Members, float64(r.AfterMillis)/1000)
	}
	a.printf("\n")
}

// awaitInForce waits up to inForceTimeout until change n is in force on all daemons, and
// returns on how many of the members it is.
func (c *client) awaitInForce(ctx context.Context, n recorder.Number) (inForce, members int) {
	end := time.Now().Add(inForceTimeout)
	for {
		var f operator.InForceResponse
		err := c.get(ctx, fmt.Sprintf("%s?Number=%d", operator.PathInForce, n), &f)
		if err == nil {
			inForce, members = f.InForce, f.Members
			if inForce >= members && members > 0 {
				return inForce, members
			}
		}
		if time.Now().After(end) {
			return inForce, members
		}
		time.Sleep(inForceInterval)
	}
}

func (c *client) postBlocks(ctx context.Context, name string, text []byte, response any) error {
	return c.tryDaemons(func(address string) error {
		return c.call(ctx, http.MethodPost, address, operator.PathBlocks+"?Name="+url.QueryEscape(name), text, response)
	})
}
