// Package cataloger holds the known upstreams: their incarnations, sites, warm-up state
// and whether they are leaving, and the failure domains that are evacuated. Readers use
// immutable snapshots; every change is published as a new snapshot.
package cataloger
