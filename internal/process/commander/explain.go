package commander

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/process/explainer"
)

// explain tells how a request ended, from logs.
func (a *app) explain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell from the logs of all VMs how a request ended and why",
		Long: `Tell from the logs of all VMs how a request ended and why.

Each FILE holds lines of one VM or of several; without any, standard input is
read. Text before the object of a line, such as a name that a collector put
there, tells the VM.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var l explainer.Log
			if err := readLogs(&l, args[1:]); err != nil {
				return failure{ExitInput, err.Error()}
			}
			tries := l.Explain(args[0])
			if len(tries) == 0 {
				return failure{ExitFailed, fmt.Sprintf("no line about request %s: it reached no VM whose log this is, or the VM ended before the request", args[0])}
			}
			return a.show(tries, func() {
				for _, t := range tries {
					t.Write(a.out)
				}
			})
		},
	}
}

func readLogs(l *explainer.Log, files []string) error {
	if len(files) == 0 {
		return l.Read(os.Stdin, "stdin")
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = l.Read(f, name)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
