// Command gullvale is the operators' command line.
package main

import (
	"os"

	"github.com/gullvale/gullvale/internal/process/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
