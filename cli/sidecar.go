package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/logs"
	"github.com/magnoliawharf/magnoliawharf/platform"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
)

const (
	// sidecarMemoryShare is the share of the configured memory that is the soft memory limit of the Go runtime, near
	// which the garbage collector runs more often.
	sidecarMemoryShare = 0.6
	sidecarGCPercent   = 200
	// settingsPollInterval is how often the modification time of the settings file is checked, for a change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
)

func newSidecar() *cobra.Command {
	return newGroup("sidecar", "Run the node on a platform with a key-value store", "  magnoliawharf sidecar run --settings node.toml",
		newSidecarRun(), newSidecarCheck(), newSidecarExplain())
}

func newSidecarRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run one node beside an upstream until SIGTERM",
		Long: `Run one node beside an upstream until SIGTERM or SIGINT, then stop gracefully within runtime.grace. Decisions are logged
to standard output as JSON lines. SIGHUP reloads the settings file.

The settings file is the one named by --settings, or else by the environment variable ` + platform.SettingsVariable + `.`,
		Example: "  magnoliawharf sidecar run --settings node.toml",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			return runSidecar(cmd, file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	_ = cmd.MarkFlagFilename("settings", "toml")
	return cmd
}

func newSidecarCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check the settings file of a sidecar node",
		Long: `Check a settings file without starting a node. Each error names the file, the key, the value and what is permitted; the
exit code is then 3.

Keys:
` + settings.ReferenceOf(reflect.TypeFor[sidecar.Settings]()),
		Example: "  magnoliawharf sidecar check node.toml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			loaded, err := sidecar.LoadSettings(args[0])
			if err != nil {
				return &exitError{err, ExitSettings}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of node %s are valid\n", args[0], loaded.Node)
			return err
		},
	}
}

func runSidecar(cmd *cobra.Command, file string) (err error) {
	// Comes first, since a platform may send SIGHUP to a process that has just started.
	defer suppressTermination()()
	load := func() (sidecar.Settings, error) { return sidecar.LoadSettings(file) }
	loaded, err := load()
	if err != nil {
		return &exitError{err, ExitSettings}
	}
	debug.SetGCPercent(sidecarGCPercent)
	debug.SetMemoryLimit(int64(sidecarMemoryShare * float64(loaded.Runtime.Memory)))
	level := new(slog.LevelVar)
	if err := level.UnmarshalText([]byte(loaded.Runtime.LogLevel)); err != nil {
		return err
	}
	writer := logs.NewWriter(cmd.OutOrStdout(), logs.DefaultBufferSize)
	defer writer.Close()
	s := &sidecar.Sidecar{Settings: loaded, Platform: platform.New(loaded.Store.Address), Log: logs.New(writer, level), LogLevel: level}
	defer func() {
		err = errors.Join(err, s.Cleanup())
		if err != nil {
			s.Log.Error("node stopped with an error", "cause", err.Error())
		}
	}()
	if err := s.Provision(cmd.Context()); err != nil {
		return fmt.Errorf("node %s cannot start: %w", loaded.Node, err)
	}
	return s.Run(cmd.Context(), watchSettings(cmd.Context(), file), load)
}

// suppressTermination prevents a second SIGTERM, and a SIGHUP during the start or the stop, from ending the process: a
// platform may stop a machine for two reasons at once, and sends SIGKILL when the grace period is over. A second SIGINT
// still ends the process. restore undoes this.
func suppressTermination() (restore func()) {
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGTERM, syscall.SIGHUP)
	return func() { signal.Stop(ignored) }
}

// watchSettings returns a channel that receives a value after a SIGHUP and after a change of the settings file's
// modification time. Signals and changes that follow before it is read are merged into one value.
func watchSettings(ctx context.Context, file string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		last := modTime(file)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-ticker.C:
				if now := modTime(file); now.Equal(last) {
					continue
				}
			}
			last = modTime(file)
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}()
	return changed
}

// modTime returns the modification time of the file, or the zero time when it cannot be read.
func modTime(file string) time.Time {
	if info, err := os.Stat(file); err == nil {
		return info.ModTime()
	}
	return time.Time{}
}
