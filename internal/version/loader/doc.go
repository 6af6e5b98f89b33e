// Package loader loads the configuration of an entry from a file: routes, limits on
// requests, services, upstreams, organisations and evacuated failure domains. It is one
// of several sources of the data that matcher and cataloger hold.
//
// A file is TOML with nested tables whose names are in Pascal case:
//
//	Version = 3
//	Evacuated = ["erie-a"]
//	[Limits]
//	BodyBytes = 1048576
//	[Service.keg-ledger]
//	WarmupMillis = 3000
//	[Route.returns]
//	Host = "kegs.example"
//	Prefix = "/returns/"
//	Kind = "once"
//	[Route.returns.Weights]
//	keg-ledger = 1
//	[Upstream.u1]
//	Service = "keg-ledger"
//	Address = "10.0.0.1:80"
//	Site = "erie/erie-a"
//	Slots = 6
package loader
