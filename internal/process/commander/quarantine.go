package commander

import (
	"context"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// quarantine lists requests that crash upstreams, and lifts one.
func (a *app) quarantine() *cobra.Command {
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "List requests that are kept from upstreams since these end under them",
		Long: `List requests that are kept from upstreams since these end under them, and
those that may be such. A line of a log that names a fingerprint tells which
request it is. On the users' platform the daemons to ask are those of the
metrics address, such as GULLVALE_OPERATORS=10.1.0.10:9464.`,
		Args: cobra.NoArgs,
		RunE: asking(a.listQuarantine),
	}
	c.AddCommand(&cobra.Command{
		Use:   "lift FINGERPRINT",
		Short: "Let a request through again, on all daemons",
		Args:  cobra.ExactArgs(1),
		RunE:  asking(a.lift),
	})
	return c
}

func (a *app) listQuarantine(ctx context.Context, cl *client, _ []string) error {
	var l quarantiner.Listing
	if err := cl.get(ctx, quarantiner.PathList, &l); err != nil {
		return err
	}
	return a.show(l, func() {
		if len(l.Suspects) == 0 {
			a.printf("no request is suspected\n")
		}
		for _, s := range l.Suspects {
			state := "suspected"
			if s.Quarantined {
				state = "in quarantine for " + s.LeftMillis.String() + " more"
			}
			a.printf("%s  %d upstreams in a row, the last %s ago, %s\n", s.Fingerprint, s.Crashes, s.AgeMillis, state)
		}
	})
}

func (a *app) lift(ctx context.Context, cl *client, args []string) error {
	path := quarantiner.PathLift + "?" + url.Values{quarantiner.FieldFingerprint: args}.Encode()
	var l quarantiner.Lifted
	err := cl.each(func(address string) error {
		return cl.call(ctx, http.MethodPost, address, path, nil, &l)
	})
	if err != nil {
		return err
	}
	return a.show(l, func() { a.printf("%s is let through again\n", l.Fingerprint) })
}
