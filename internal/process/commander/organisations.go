package commander

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/loader"
)

// organisations returns the command that lists the organisations of an entry's table.
func (a *app) organisations() *cobra.Command {
	return &cobra.Command{
		Use:   "organisations FILE",
		Short: "List the organisations of an entry's table, with their limits",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			t, problems := loader.ReadFile(args[0])
			if len(problems) > 0 {
				return commandError{ExitInput, problems.Error()}
			}
			return a.showOrganisations(t)
		},
	}
}

func (a *app) showOrganisations(t *loader.Table) error {
	type organisation struct {
		Name      authenticator.Name
		Rank      authenticator.Rank
		PerSecond float64
		Burst     float64
		Regions   []string
		Keys      []string
	}
	list := []organisation{}
	for _, o := range t.Config.Organisations.All() {
		x := organisation{Name: o.Name, Rank: o.Rank, PerSecond: o.Limit.PerSecond, Burst: o.Limit.Burst, Regions: o.Regions}
		for _, d := range o.Keys {
			x.Keys = append(x.Keys, d.String())
		}
		list = append(list, x)
	}
	return a.show(list, func() {
		if len(list) == 0 {
			a.printf("none: requests need no key\n")
		}
		for _, o := range list {
			limit := "no limit"
			if o.PerSecond > 0 {
				limit = fmt.Sprint(o.PerSecond) + " a second, burst " + fmt.Sprint(o.Burst)
			}
			where := "anywhere"
			if len(o.Regions) > 0 {
				where = "in " + strings.Join(o.Regions, ", ")
			}
			a.printf("%s  rank %d, %s, %s, %d keys\n", o.Name, o.Rank, limit, where, len(o.Keys))
		}
	})
}

// key returns the command that creates an API key or computes the digest of a given one.
func (a *app) key() *cobra.Command {
	c := &cobra.Command{
		Use:   "key",
		Short: "Create an API key, and its digest for an organisation's Keys",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.showKey(rand.Text())
		},
	}
	c.AddCommand(&cobra.Command{
		Use:   "digest",
		Short: "Read an API key from standard input and print its digest",
		Long: `Read an API key from standard input and print its digest. The key is not an
argument, which would leave it in the shell history and the process list.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			line, _ := bufio.NewReader(c.InOrStdin()).ReadString('\n')
			key, flaw := authenticator.Credential([]string{strings.TrimSpace(line)})
			if flaw != authenticator.Valid {
				return commandError{ExitInput, "standard input: " + string(flaw)}
			}
			d := authenticator.DigestOf(key).String()
			return a.show(struct{ Digest string }{d}, func() { a.printf("%s\n", d) })
		},
	})
	return c
}

func (a *app) showKey(key string) error {
	d := authenticator.DigestOf(key).String()
	return a.show(struct{ Key, Digest string }{key, d}, func() {
		a.printf("key, for the organisation only: %s\nunder [Organisation.NAME] of the table: Keys = [%q]\n", key, d)
	})
}
