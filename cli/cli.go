// Package cli implements the command line of magnoliawharf.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Run executes the command line and returns the exit code of the process.
func Run(args []string, stdout, stderr io.Writer) int {
	// The first SIGTERM or SIGINT requests a graceful stop; the second ends the process at once,
	// because the default action of the signals has then been restored. The command "sidecar run"
	// ignores a second SIGTERM.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		printError(stderr, err)
		return exitCode(err)
	}
	return ExitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "magnoliawharf",
		Short: "A load balancer that runs as one small process beside each upstream",
		Long: `A load balancer that runs as one small process, the node, beside each upstream.

Exit codes:
  0  success
  1  the command failed
  2  wrong usage: unknown command, flag or argument
  3  a settings file was refused
  4 to 9  see the help of the command`,
		Example:       "  magnoliawharf demo\n  magnoliawharf node run --settings node.toml",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageError(fmt.Errorf("%w; see `%s --help`", err, cmd.CommandPath()))
	})
	root.AddCommand(newNode(), newSidecar(), newSettings(), newDev(), newDemo(), newVersion())
	root.AddCommand(newBundle())
	return root
}

// newGroup returns a command that only has subcommands.
func newGroup(use, short, example string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Example: example, Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return usageError(fmt.Errorf("%s needs a subcommand; see `%s --help`", cmd.CommandPath(), cmd.CommandPath()))
		}}
	cmd.AddCommand(commands...)
	return cmd
}
