// Package loader reads what an entry serves from a file of the product's own format:
// routes, limits on what callers may send, services, upstreams by incarnation, and
// failure domains that are evacuated. It fills the model that matcher and cataloger
// hold, as a source beside others.
//
// A file is TOML of nested tables, named in Pascal case:
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
