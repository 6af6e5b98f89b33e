// Package seeder fixes the seed of property-based tests, so that CI gives the same
// result on every run. Use the flags of rapid for long runs with other seeds.
package seeder

import (
	"flag"
	"os"
	"testing"
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "20261202"
	unset       = "0"
)

// Main runs the tests of a package with the fixed seed, unless the command line
// sets another. It does not return.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup(seedFlag); f != nil && f.Value.String() == unset {
		_ = f.Value.Set(defaultSeed)
	}
	os.Exit(m.Run())
}
