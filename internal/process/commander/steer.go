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

const watchPace = time.Second

func (a *app) drain() *cobra.Command {
	var f changeFlags
	var length time.Duration
	c := &cobra.Command{
		Use:     "drain PATH",
		Short:   "Move all traffic away from a region, a failure domain or a service there",
		Example: "  gullvale drain michigan/a --for 2h -m 'new switches'",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			edits := []resolver.Edit{{Path: args[0], Key: resolver.KeyDrain, Value: "true"}}
			if length > 0 {
				until := time.Now().Add(length).UTC().Format(time.RFC3339)
				edits = append(edits, resolver.Edit{Path: args[0], Key: resolver.KeyDrainUntil, Value: resolver.Value(until)})
			} else {
				edits = append(edits, unset(args[0], string(resolver.KeyDrainUntil))...)
			}
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	c.Flags().DurationVar(&length, "for", 0, "end the drain by itself after this time")
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
			edits := unset(args[0], string(resolver.KeyDrainUntil), string(resolver.KeyDrain))
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	f.add(c)
	return c
}

func (a *app) shift() *cobra.Command {
	var f changeFlags
	var from, to, share, limit string
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
				{Path: path, Key: resolver.KeyShiftCap, Value: resolver.Value(limit)},
			}
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	c.Flags().StringVar(&from, "from", "", "region that gives traffic (required)")
	c.Flags().StringVar(&to, "to", "", "region that takes it (required)")
	c.Flags().StringVar(&share, "share", "", "part of the traffic of --from, such as 30% (required)")
	c.Flags().StringVar(&limit, "cap", "", "how fast, such as 5%/min (required)")
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
			edits := unset(from+":"+args[0], string(resolver.KeyShiftTo), string(resolver.KeyShiftShare), string(resolver.KeyShiftCap))
			return a.change(c.Context(), f, operator.ChangeRequest{Edits: edits})
		},
	}
	c.Flags().StringVar(&from, "from", "", "region that gave traffic (required)")
	_ = c.MarkFlagRequired("from")
	f.add(c)
	return c
}

func (a *app) status() *cobra.Command {
	var watch bool
	c := &cobra.Command{
		Use:     "status",
		Aliases: []string{"st"},
		Short:   "Show the fleet: settings in force, use of slots, drains, shifts, what waits",
		Args:    cobra.NoArgs,
		RunE: asking(func(ctx context.Context, cl *client, _ []string) error {
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
				case <-time.After(watchPace):
				}
			}
		}),
	}
	c.Flags().BoolVarP(&watch, "watch", "w", false, "show it again every second")
	return c
}

func (a *app) printStatus(s operator.Status) {
	a.printf("settings %d in force on %d of %d, plan %d\n", s.Settings, s.InForce, s.Members, s.Plan)
	if !s.Platform && !s.LeadReached {
		a.printf("CUT OFF: %s reaches neither platform nor lead and goes on with what it has\n", s.Daemon)
	}
	if !s.Platform {
		a.printf("PLATFORM NOT REACHED: what follows is what %s last knew; no change can be made\n", s.Daemon)
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
				a.printf(", %d wait", v.Waiting)
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

// printOutlook prints what is free, and the losses that the rest cannot carry.
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
		RunE: asking(func(ctx context.Context, cl *client, args []string) error {
			v := url.Values{"Service": {args[0]}}
			if len(args) > 1 {
				v.Set("Block", args[1])
			}
			var answer steerer.Answer
			if err := cl.get(ctx, operator.PathLookup+"?"+v.Encode(), &answer); err != nil {
				return err
			}
			return a.show(answer, func() {
				a.printf("%s at %s, settings %d, plan %d, for %s\n", answer.Service, answer.Site,
					answer.Settings, answer.Plan, answer.LifetimeMillis)
				for _, e := range answer.Entries {
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
				return failure{ExitInput, fmt.Sprintf("--for: at least %s", demonstrator.ShortestRun)}
			}
			r, err := demonstrator.Run(c.Context(), o)
			if err != nil {
				return failure{ExitFailed, err.Error()}
			}
			if err := a.show(r, func() { r.Print(a.out) }); err != nil {
				return err
			}
			if r.Broken() {
				return failure{ExitFailed, "a promise was broken"}
			}
			return nil
		},
	}
	c.Flags().DurationVar(&o.Length, "for", 20*time.Second, "how long the load lasts")
	c.Flags().StringVar(&o.Shape, "shape", demonstrator.ShapeKegloop, "kegloop or athath")
	c.Flags().Float64Var(&o.Load, "load", 0.6, "load, as a part of all slots")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the load")
	return c
}
