// Command gullvale is the command line for operators.
package main

import (
	"os"

	"github.com/gullvale/gullvale/internal/process/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
