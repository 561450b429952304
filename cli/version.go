package cli

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the version of this build.
const Version = "0.1.0-dev"

func newVersion() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  magnoliawharf version --output json",
		Args:    exactArgs(0),
	}
	format := addOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return printResult(cmd.OutOrStdout(), *format, fmt.Sprintln("magnoliawharf", Version), struct {
			Version string `json:"version"`
			Go      string `json:"go"`
		}{Version, runtime.Version()})
	}
	return cmd
}
