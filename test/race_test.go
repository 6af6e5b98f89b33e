//go:build race

package integration_test

// buildFlags has the processes look for data races when the tests do.
var buildFlags = []string{"-race"}
