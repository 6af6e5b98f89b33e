//go:build race

package integration_test

// buildFlags enables the race detector in the binaries when it is enabled in the tests.
var buildFlags = []string{"-race"}
