package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/settings"
)

func newNode() *cobra.Command {
	return newGroup("node", "Run the node beside an upstream", "  magnoliawharf node run --settings node.toml", newNodeRun())
}

func newNodeRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run one node until SIGTERM",
		Long: `Run one node until SIGTERM or SIGINT, then stop gracefully: new requests for its upstream are refused, and
requests in flight are finished within runtime.stop_timeout. A second signal ends the process at once.`,
		Example: "  magnoliawharf node run --settings node.toml",
		Args:    exactArgs(0),
	}
	format := addOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		loaded, err := settings.Load(file)
		if err != nil {
			return &exitError{err, ExitSettings}
		}
		debug.SetGCPercent(loaded.Runtime.GCPercent)
		debug.SetMemoryLimit(int64(loaded.Runtime.MemoryLimit))
		n := &node.Node{Settings: loaded, Log: newLog(cmd.ErrOrStderr(), loaded.Runtime.LogLevel)}
		return runNode(cmd.Context(), n, func() error { return printAddresses(cmd.OutOrStdout(), *format, n) })
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	_ = cmd.MarkFlagRequired("settings")
	_ = cmd.MarkFlagFilename("settings", "toml")
	return cmd
}

// printAddresses prints the addresses of the node's listeners, which the settings do not determine with port 0.
func printAddresses(w io.Writer, format string, n *node.Node) error {
	text := fmt.Sprintf("node %s: callers %s, peers %s, local %s\n", n.Settings.ID, n.CallerAddr(), n.PeerAddr(), n.LocalAddr())
	return printResult(w, format, text, struct {
		ID      string `json:"id"`
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		Local   string `json:"local"`
	}{n.Settings.ID, n.CallerAddr(), n.PeerAddr(), n.LocalAddr()})
}

// runNode provisions, validates and runs the node and cleans up after it. started is called when its listeners
// are bound.
func runNode(ctx context.Context, n *node.Node, started func() error) (err error) {
	defer func() { err = errors.Join(err, n.Cleanup()) }()
	if err := n.Provision(); err != nil {
		return fmt.Errorf("node %s cannot start: %w", n.Settings.ID, err)
	}
	if err := n.Validate(); err != nil {
		return &exitError{err, ExitSettings}
	}
	if err := started(); err != nil {
		return err
	}
	return n.Run(ctx)
}

// newLog returns a text logger; an unknown level means info.
func newLog(w io.Writer, level string) *slog.Logger {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel}))
}
