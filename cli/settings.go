package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/settings"
)

func newSettings() *cobra.Command {
	return newGroup("settings", "Work with settings files", "  magnoliawharf settings check node.toml", newSettingsCheck())
}

func newSettingsCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long: `Check a settings file without starting a node. Each error names the file, the key, the value and what is
permitted; the exit code is then 3.

Keys:
` + settings.Reference(),
		Example: "  magnoliawharf settings check node.toml\n  magnoliawharf settings check node.toml --output json",
		Args:    exactArgs(1),
	}
	format := addOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		loaded, err := settings.Load(args[0])
		if err != nil {
			return &exitError{err, ExitSettings}
		}
		return printResult(cmd.OutOrStdout(), *format, fmt.Sprintf("%s: settings of node %s are valid\n", args[0], loaded.ID), struct {
			File string `json:"file"`
			ID   string `json:"id"`
		}{args[0], loaded.ID})
	}
	return cmd
}
