package deployer

import (
	"encoding/json"
	"slices"
)

type (
	// Route is a route of the configuration.
	Route struct {
		Path      string
		Kind      string
		Service   string
		TimeoutMS int
		Attempts  int
	}

	// ServerEntry is what a server writes of itself into the store.
	ServerEntry struct {
		ID      string
		Address string
		Service string
		Zone    string
		Slots   int
		State   string
		Seq     int
	}
)

// Configure writes a configuration.
func (d *Deployment) Configure(version int, routes ...Route) {
	var services []string
	for _, r := range routes {
		if !slices.Contains(services, r.Service) {
			services = append(services, r.Service)
		}
	}
	d.Store.Put("config", "main", json.RawMessage(render("config.tmpl", map[string]any{
		"Version": version, "Host": Host, "Routes": routes, "Services": services,
	})))
	d.Record.Add("operator: configuration r%d acknowledged", version)
}

// Register writes the entry of a server.
func (d *Deployment) Register(e ServerEntry) {
	d.Store.Put("servers", e.ID, json.RawMessage(render("server.tmpl", e)))
	d.Record.Add("server %s (%s at %s): entry %s acknowledged", e.ID, e.Service, e.Address, e.State)
}
