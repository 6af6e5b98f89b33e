package commander

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/demonstrator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
)

const watchInterval = time.Second

func (a *app) drain() *cobra.Command {
	var f changeFlags
	var duration time.Duration
	c := &cobra.Command{
		Use:     "drain PATH",
		Short:   "Move all traffic away from a region, a failure domain or a service there",
		Example: "  gullvale drain michigan/a --for 2h -m 'new switches'",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			edits := []resolver.Edit{{Path: args[0], Key: resolver.KeyDrain, Value: "true"}}
			if duration > 0 {
				until := time.Now().Add(duration).UTC().Format(time.RFC3339)
				edits = append(edits, resolver.Edit{Path: args[0], Key: resolver.KeyDrainUntil, Value: resolver.Value(until)})
			} else {
				edits = append(edits, unsetEdits(args[0], string(resolver.KeyDrainUntil))...)
			}
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	c.Flags().DurationVar(&duration, "for", 0, "end the drain automatically after this time")
	f.add(c)
	return c
}

func (a *app) undrain() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "undrain PATH",
		Short: "End a drain",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			edits := unsetEdits(args[0], string(resolver.KeyDrainUntil), string(resolver.KeyDrain))
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	f.add(c)
	return c
}

func (a *app) shift() *cobra.Command {
	var f changeFlags
	var from, to, share, shiftCap string
	c := &cobra.Command{
		Use:     "shift SERVICE --from REGION --to REGION --share 30% --cap 5%/min",
		Short:   "Move a part of a service's traffic between regions, no faster than a cap",
		Example: "  gullvale shift keg-ledger --from erie --to michigan --share 30% --cap 5%/min",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := from + ":" + args[0]
			edits := []resolver.Edit{
				{Path: path, Key: resolver.KeyShiftTo, Value: resolver.Value(to)},
				{Path: path, Key: resolver.KeyShiftShare, Value: resolver.Value(share)},
				{Path: path, Key: resolver.KeyShiftCap, Value: resolver.Value(shiftCap)},
			}
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	c.Flags().StringVar(&from, "from", "", "region to move traffic from (required)")
	c.Flags().StringVar(&to, "to", "", "region to move traffic to (required)")
	c.Flags().StringVar(&share, "share", "", "part of the traffic of --from, such as 30% (required)")
	c.Flags().StringVar(&shiftCap, "cap", "", "maximum rate of the shift, such as 5%/min (required)")
	for _, n := range []string{"from", "to", "share", "cap"} {
		_ = c.MarkFlagRequired(n)
	}
	f.add(c)
	return c
}

func (a *app) unshift() *cobra.Command {
	var f changeFlags
	var from string
	c := &cobra.Command{
		Use:   "unshift SERVICE --from REGION",
		Short: "End a shift; the traffic goes back",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			edits := unsetEdits(from+":"+args[0], string(resolver.KeyShiftTo), string(resolver.KeyShiftShare), string(resolver.KeyShiftCap))
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	c.Flags().StringVar(&from, "from", "", "region that traffic was moved from (required)")
	_ = c.MarkFlagRequired("from")
	f.add(c)
	return c
}

func (a *app) status() *cobra.Command {
	var watch bool
	c := &cobra.Command{
		Use:     "status",
		Aliases: []string{"st"},
		Short:   "Show the fleet: settings in force, use of slots, drains, shifts, held moves",
		Args:    cobra.NoArgs,
		RunE: withClient(func(ctx context.Context, cl *client, _ []string) error {
			for {
				var s operator.Status
				if err := cl.get(ctx, operator.PathStatus, &s); err != nil {
					return err
				}
				if !watch {
					var o operator.Outlook
					if cl.get(ctx, operator.PathOutlook, &o) == nil {
						s.Outlook = &o
					}
				}
				if err := a.show(s, func() { a.printStatus(s) }); err != nil || !watch {
					return err
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(watchInterval):
				}
			}
		}),
	}
	c.Flags().BoolVarP(&watch, "watch", "w", false, "refresh every second")
	return c
}

func (a *app) printStatus(s operator.Status) {
	a.printf("settings %d in force on %d of %d, plan %d\n", s.Settings, s.InForce, s.Members, s.Plan)
	if !s.Platform && !s.LeadReached {
		a.printf("CUT OFF: %s reaches neither platform nor leader and continues with its last known state\n", s.Daemon)
	}
	if !s.Platform {
		a.printf("PLATFORM NOT REACHED: the following is the last known state of %s; no change can be made\n", s.Daemon)
	}
	for _, r := range s.Regions {
		a.printf("%s: %d daemons", r.Region, r.Members)
		if r.Leaving > 0 {
			a.printf(", %d leaving", r.Leaving)
		}
		a.printf("\n")
		for _, v := range r.Services {
			a.printf("  %-16s %4d of %4d slots (%3.0f%%), limit %.0f", v.Service, v.Busy, v.Slots,
				percent(float64(v.Busy), float64(v.Slots)), v.Limit)
			if v.Waiting > 0 {
				a.printf(", %d waiting", v.Waiting)
			}
			a.printf("\n")
		}
	}
	for _, d := range s.Drained {
		a.printf("drained: %s\n", d)
	}
	for _, x := range s.Shifts {
		a.printf("shift %s %s → %s: %.1f%% of %.1f%%\n", x.Service, x.From, x.To, 100*x.Have, 100*x.Want)
	}
	for _, h := range s.Holds {
		a.printf("waits: %s from %s: %s\n", h.Service, h.Origin, h.Reason)
	}
	if s.Outlook != nil {
		a.printOutlook(*s.Outlook)
	}
}

// printOutlook prints the headroom, and the losses of domains or regions whose load the
// remaining sites could not carry.
func (a *app) printOutlook(o operator.Outlook) {
	for _, h := range o.Headroom {
		a.printf("headroom %s %s: %.0f%%", h.Region, h.Service, 100*h.Now)
		if h.Without != "" {
			a.printf(", %.0f%% without %s", 100*h.After, h.Without)
		}
		a.printf("\n")
	}
	covered := true
	for _, l := range o.Losses {
		for _, n := range l.Unserved {
			a.printf("NOT COVERED: loss of %s leaves no site for %s\n", l.Lost, n)
		}
		for _, u := range l.Over {
			a.printf("NOT COVERED: loss of %s: %s at %s would need %.0f of the %.0f slots it may fill\n",
				l.Lost, u.Service, u.Site, u.Slots, u.Limit)
		}
		covered = covered && l.Covered()
	}
	if covered && len(o.Losses) > 0 {
		a.printf("any one domain or region may be lost: the rest can carry it\n")
	}
}

func percent(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}

func (a *app) lookup() *cobra.Command {
	return &cobra.Command{
		Use:   "lookup SERVICE [BLOCK]",
		Short: "Show which entries a caller in a client block is told to use",
		Args:  cobra.RangeArgs(1, 2),
		RunE: withClient(func(ctx context.Context, cl *client, args []string) error {
			v := url.Values{"Service": {args[0]}}
			if len(args) > 1 {
				v.Set("Block", args[1])
			}
			var response steerer.Response
			if err := cl.get(ctx, operator.PathLookup+"?"+v.Encode(), &response); err != nil {
				return err
			}
			return a.show(response, func() {
				a.printf("%s at %s, settings %d, plan %d, for %s\n", response.Service, response.Site,
					response.Settings, response.Plan, response.LifetimeMillis)
				for _, e := range response.Entries {
					a.printf("  %s\n", e.Address)
				}
			})
		}),
	}
}

func (a *app) demo() *cobra.Command {
	o := demonstrator.Options{Out: a.out}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in this process on loopback, with a shift and a drain under load",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Length < demonstrator.ShortestRun {
				return commandError{ExitInput, fmt.Sprintf("--for: at least %s", demonstrator.ShortestRun)}
			}
			r, err := demonstrator.Run(c.Context(), o)
			if err != nil {
				return commandError{ExitFailed, err.Error()}
			}
			if err := a.show(r, func() { r.Print(a.out) }); err != nil {
				return err
			}
			if r.Violated() {
				return commandError{ExitFailed, "an invariant was broken"}
			}
			return nil
		},
	}
	c.Flags().DurationVar(&o.Length, "for", 20*time.Second, "duration of the load")
	c.Flags().StringVar(&o.Shape, "shape", demonstrator.ShapeKegloop, "kegloop or athath")
	c.Flags().Float64Var(&o.LoadFraction, "load", 0.6, "load, as a fraction of all slots")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the load")
	return c
}
