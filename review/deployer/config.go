package deployer

import "fmt"

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
	var rules, clusters []any
	services := map[string]bool{}
	for i, r := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": r.Kind, "target-latency-ms": 800, "priority": 1, "sticky-sessions": true,
			"match": map[string]any{"path-prefix": r.Path},
			"action": map[string]any{
				"service": r.Service, "timeout-ms": r.TimeoutMS, "max-attempts": r.Attempts, "allowed-regions": []string{},
			},
		})
		if services[r.Service] {
			continue
		}
		services[r.Service] = true
		clusters = append(clusters, map[string]any{
			"name": r.Service, "health-path": "/health", "max-connections": 330, "protocol": "h1", "tls": false,
			"warmup-s": 3.0, "warmup-per-s": 7.2,
		})
	}
	d.Store.Put("config", "main", map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": 64 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"listeners": []any{map[string]any{"host": Host, "rules": rules}},
		"clusters":  clusters,
	})
	d.Record.Add("operator: configuration r%d acknowledged", version)
}

// Register writes the entry of a server.
func (d *Deployment) Register(e ServerEntry) {
	d.Store.Put("servers", e.ID, map[string]any{
		"address": e.Address,
		"info":    map[string]any{"service": e.Service, "version": "v1", "zone": e.Zone, "slots": e.Slots},
		"status":  map[string]any{"state": e.State, "seq": e.Seq, "warmup-left-ms": 0},
	})
	d.Record.Add("server %s (%s at %s): entry %s acknowledged", e.ID, e.Service, e.Address, e.State)
}
