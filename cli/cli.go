// Package cli is the command line of magnoliawharf.
package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Run executes the command line and returns the exit code of the process.
func Run(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, "magnoliawharf:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "magnoliawharf",
		Short:         "A load balancer that runs as one small process beside each upstream",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "magnoliawharf", Version)
			return err
		},
	}
}

// Version is the version of this build.
const Version = "0.1.0-dev"
