//go:build !race

package integration_test

var buildFlags []string
