package commander

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/gullvale/gullvale/internal/process/explainer"
)

// explain returns the command that explains from logs how a request ended.
func (a *app) explain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Explain from the logs of all VMs how a request ended and why",
		Long: `Explain from the logs of all VMs how a request ended and why.

Each FILE holds log lines of one or several VMs. Without FILE, standard input
is read. The last word before the JSON object of a line, such as a name added
by a log collector, names the VM.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var l explainer.Log
			if err := readLogs(&l, args[1:]); err != nil {
				return commandError{ExitInput, err.Error()}
			}
			explanations := l.Explain(args[0])
			if len(explanations) == 0 {
				return commandError{ExitFailed, fmt.Sprintf("no line about request %s: it reached none of the VMs in these logs, or the VM terminated before the request ended", args[0])}
			}
			return a.show(explanations, func() {
				for _, e := range explanations {
					e.Write(a.out)
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
