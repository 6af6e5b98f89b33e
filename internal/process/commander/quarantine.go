package commander

import (
	"context"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// quarantine returns the command that lists requests that crash upstreams and releases them.
func (a *app) quarantine() *cobra.Command {
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "List requests that are kept from upstreams because they crash them",
		Long: `List requests that are kept from upstreams because they crash them, and
requests that are suspected of it. Log lines with the fingerprint identify the
request. On the users' platform, ask the metrics address, such as
GULLVALE_OPERATORS=10.1.0.10:9464.`,
		Args: cobra.NoArgs,
		RunE: withClient(a.listQuarantine),
	}
	c.AddCommand(&cobra.Command{
		Use:   "lift FINGERPRINT",
		Short: "Release a request from quarantine on all daemons",
		Args:  cobra.ExactArgs(1),
		RunE:  withClient(a.lift),
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
	err := cl.tryDaemons(func(address string) error {
		return cl.call(ctx, http.MethodPost, address, path, nil, &l)
	})
	if err != nil {
		return err
	}
	return a.show(l, func() { a.printf("%s released from quarantine\n", l.Fingerprint) })
}
