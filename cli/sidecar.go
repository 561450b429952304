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
	// sidecarMemoryShare is the share of the process's memory at which the garbage collector works harder.
	sidecarMemoryShare = 0.6
	sidecarGCPercent   = 200
	// settingsPoll is how often the settings file is looked at for a change that came without a signal.
	settingsPoll = 2 * time.Second
)

func newSidecar() *cobra.Command {
	return group("sidecar", "Run the node on a platform with a key-value store", "  magnoliawharf sidecar run --settings node.toml",
		newSidecarRun(), newSidecarCheck())
}

func newSidecarRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run one node beside an upstream until SIGTERM",
		Long: `Run one node beside an upstream until SIGTERM or SIGINT, then stop gracefully within runtime.grace. Decisions are logged
to standard output as JSON lines. SIGHUP reads the settings file again.

The settings file is that of --settings, or else of the environment variable ` + platform.SettingsVariable + `.`,
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
		Long: `Check a settings file without starting anything. Each fault is named with file, key, value and what is allowed; the exit
code is then 3.

Keys:
` + settings.ReferenceOf(reflect.TypeFor[sidecar.Settings]()),
		Example: "  magnoliawharf sidecar check node.toml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			loaded, err := sidecar.LoadSettings(args[0])
			if err != nil {
				return &codedError{err, ExitSettings}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of node %s are valid\n", args[0], loaded.Node)
			return err
		},
	}
}

func runSidecar(cmd *cobra.Command, file string) (err error) {
	// First, since a platform may send SIGHUP to a process that has just started.
	defer holdTerminations()()
	load := func() (sidecar.Settings, error) { return sidecar.LoadSettings(file) }
	loaded, err := load()
	if err != nil {
		return &codedError{err, ExitSettings}
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
			s.Log.Error("node ended with an error", "cause", err.Error())
		}
	}()
	if err := s.Provision(); err != nil {
		return fmt.Errorf("node %s cannot start: %w", loaded.Node, err)
	}
	return s.Run(cmd.Context(), changesOf(cmd.Context(), file), load)
}

// holdTerminations keeps a second SIGTERM, and a SIGHUP that comes during the start or the stop, from ending the process: a platform may
// stop a machine for two reasons at once, and ends the process by SIGKILL when the grace is over. A second SIGINT still
// ends it. The function returned undoes it.
func holdTerminations() (release func()) {
	held := make(chan os.Signal, 1)
	signal.Notify(held, syscall.SIGTERM, syscall.SIGHUP)
	return func() { signal.Stop(held) }
}

// changesOf tells of each SIGHUP and of each change of the settings file.
func changesOf(ctx context.Context, file string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		ticker := time.NewTicker(settingsPoll)
		defer ticker.Stop()
		last := changeTime(file)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-ticker.C:
				if now := changeTime(file); now.Equal(last) {
					continue
				}
			}
			last = changeTime(file)
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}()
	return changed
}

// changeTime returns when the file was changed last, the zero time when it cannot be read.
func changeTime(file string) time.Time {
	if info, err := os.Stat(file); err == nil {
		return info.ModTime()
	}
	return time.Time{}
}
