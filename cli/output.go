package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// addOutput adds the flag --output to a command whose output a program may read.
func addOutput(cmd *cobra.Command) *string {
	format := outputText
	cmd.Flags().StringVarP(&format, "output", "o", outputText, "output format: text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	return &format
}

// print writes value as one JSON line, or text when the format is text.
func print(w io.Writer, format, text string, value any) error {
	switch format {
	case outputText:
		_, err := io.WriteString(w, text)
		return err
	case outputJSON:
		return json.NewEncoder(w).Encode(value)
	default:
		return usageError(fmt.Errorf("--output %q is unknown; use text or json", format))
	}
}
