package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/version/loader"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/hasher"
)

const (
	checkArgs = 1
	matchArgs = 3
)

// routes returns the command that checks an entry's table or shows the route of a request.
func (a *app) routes() *cobra.Command {
	var key string
	c := &cobra.Command{
		Use:   "routes FILE [HOST PATH]",
		Short: "Check an entry's table, or show the route of a request",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != checkArgs && len(args) != matchArgs {
				return commandError{ExitInput, "routes takes FILE, or FILE HOST PATH"}
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			t, problems := loader.ReadFile(args[0])
			if len(problems) > 0 {
				return commandError{ExitInput, problems.Error()}
			}
			if len(args) == checkArgs {
				return a.showTable(t)
			}
			return a.showMatch(t, args[1], args[2], key)
		},
	}
	c.Flags().StringVar(&key, "key", "", "key of the request, which selects among weighted services")
	return c
}

func (a *app) showTable(t *loader.Table) error {
	response := struct {
		Version   matcher.Version
		Routes    int
		Services  int
		Upstreams int
		Evacuated []string
	}{t.Config.Version, t.Config.Routes(), len(t.Config.Services), len(t.Upstreams), t.Evacuated}
	return a.show(response, func() {
		a.printf("ok: version %d, %d routes, %d services, %d upstreams, evacuated %v\n",
			response.Version, response.Routes, response.Services, response.Upstreams, response.Evacuated)
	})
}

func (a *app) showMatch(t *loader.Table, host, path, key string) error {
	r := t.Config.Match(host, path)
	if r == nil {
		return commandError{ExitFailed, fmt.Sprintf("no route for %s%s", host, path)}
	}
	service := r.Service(hasher.Mix(hasher.OfString(key), r.Hash()))
	response := struct {
		Route, Service, Kind string
		TimeoutMillis        int64
		Attempts             int
		Regions              []string
	}{r.Name, string(service), r.Kind.String(), int64(r.Timeout), r.Attempts, r.Regions}
	return a.show(response, func() {
		a.printf("route %s to %s, %s, at most %d ms and %d attempts\n",
			response.Route, response.Service, response.Kind, response.TimeoutMillis, response.Attempts)
	})
}
